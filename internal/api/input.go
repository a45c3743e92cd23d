package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// Limits of input.
const (
	// MaxNameLength is the largest length of a name or id in bytes. Names and
	// ids become part of keys in the key-value service.
	MaxNameLength = 64
	// MaxKeyLength is the largest length of an idempotency key in bytes.
	MaxKeyLength = 128
	// MaxParameters is the largest number of parameters of a request, job or
	// template.
	MaxParameters = 64
	// MaxParameterLength is the largest length of a parameter value in bytes.
	MaxParameterLength = 64 * 1024
	// MaxJobTasks is the largest number of tasks of a job. The job's record must
	// fit a page of the shard log.
	MaxJobTasks = 1000
	// MaxMillis is the largest time in a template, in milliseconds: 30 days.
	MaxMillis = int64(30 * 24 * time.Hour / time.Millisecond)
	// MaxAttempts is the largest number of attempts of a task.
	MaxAttempts = 1000
)

var (
	namePattern           = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	idempotencyKeyPattern = regexp.MustCompile(`^[!-~]+$`)
)

// decode reads a body of at most limit bytes that holds exactly one JSON value
// and decodes it into into. Unknown fields and trailing data are errors.
func decode(r io.Reader, limit int64, into any) error {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return rescode.Errorf(rescode.MalformedBody, "reading the body: %w", err)
	}
	if int64(len(data)) > limit {
		return rescode.Errorf(rescode.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return decodeError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return rescode.Errorf(rescode.MalformedBody, "data after the JSON value")
	}
	return nil
}

// decodeError converts an error of encoding/json to one with a result code and,
// if known, the field.
func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return rescode.FieldErrorf(rescode.MalformedBody, wrongType.Field, "expected %s, found %s", wrongType.Type, wrongType.Value)
	}
	if name, ok := strings.CutPrefix(err.Error(), `json: unknown field "`); ok {
		return rescode.FieldErrorf(rescode.MalformedBody, strings.TrimSuffix(name, `"`), "unknown field")
	}
	return rescode.Errorf(rescode.MalformedBody, "malformed JSON: %w", err)
}

// checkName reports a name or id that is empty, too long or has other characters
// than namePattern allows.
func checkName(field, value string) error {
	if value == "" || len(value) > MaxNameLength || !namePattern.MatchString(value) {
		return rescode.FieldErrorf(rescode.InvalidName, field, "must be 1 to %d of A-Z a-z 0-9 . _ - and start with a letter or digit", MaxNameLength)
	}
	return nil
}

// checkIdempotencyKey reports an invalid key. An empty key means that the caller
// sent none.
func checkIdempotencyKey(value string) error {
	if value != "" && (len(value) > MaxKeyLength || !idempotencyKeyPattern.MatchString(value)) {
		return rescode.FieldErrorf(rescode.InvalidName, HeaderIdempotencyKey, "must be 1 to %d printable ASCII characters without spaces", MaxKeyLength)
	}
	return nil
}

func checkParameters(field string, parameters map[string]string) error {
	if len(parameters) > MaxParameters {
		return rescode.FieldErrorf(rescode.OutOfRange, field, "%d parameters, at most %d", len(parameters), MaxParameters)
	}
	for name, value := range parameters {
		if err := checkName(field, name); err != nil {
			return err
		}
		if len(value) > MaxParameterLength {
			return rescode.FieldErrorf(rescode.OutOfRange, field+"."+name, "%d bytes, at most %d", len(value), MaxParameterLength)
		}
	}
	return nil
}

func checkRange(field string, value, low, high int64) error {
	if value < low || value > high {
		return rescode.FieldErrorf(rescode.OutOfRange, field, "%d is out of range %d to %d", value, low, high)
	}
	return nil
}

// Largest resources that a template, job or customer can declare. They exceed
// those of any VM.
const (
	maxMilliCPU     = 10_000_000
	maxMemoryMB     = 100_000_000
	maxAccelerators = 1024
)

func checkResources(field string, r structs.Resources) error {
	return firstError(
		checkRange(field+".milli_cpu", r.MilliCPU, 0, maxMilliCPU),
		checkRange(field+".memory_mb", r.MemoryMB, 0, maxMemoryMB),
		checkRange(field+".accelerators", r.Accelerators, 0, maxAccelerators))
}

// firstError returns the first error that is not nil, because a response names
// one field.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// readRequest decodes and checks the body and headers of a request.
func readRequest(body io.Reader, header http.Header, limits Limits) (RequestInput, error) {
	var in RequestInput
	if err := decode(body, limits.MaxBodyBytes, &in); err != nil {
		return in, err
	}
	in.IdempotencyKey = header.Get(HeaderIdempotencyKey)
	var err error
	if in.Repeat, err = readAttempt(header); err != nil {
		return in, err
	}
	if in.ID != "" {
		if err := checkName("id", in.ID); err != nil {
			return in, err
		}
	}
	if text := header.Get(HeaderRequestTimeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > limits.MaxTimeout {
			return in, rescode.FieldErrorf(rescode.InvalidDeadline, HeaderRequestTimeout, "must be a duration such as 900ms, above 0 and at most %s", limits.MaxTimeout)
		}
		in.Timeout = d
	}
	return in, firstError(checkIdempotencyKey(in.IdempotencyKey), checkName("template", in.Template),
		checkName("customer", in.Customer), checkParameters("parameters", in.Parameters))
}

// readAttempt reports whether the header Request-Attempt marks the call as a
// repetition of an earlier one.
func readAttempt(header http.Header) (repeat bool, err error) {
	text := header.Get(HeaderRequestAttempt)
	if text == "" {
		return false, nil
	}
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil || n == 0 {
		return false, rescode.FieldErrorf(rescode.OutOfRange, HeaderRequestAttempt, "must be a number from 1 to 65535")
	}
	return n > 1, nil
}

// readJob decodes and checks the body and headers of a submission of a job.
func readJob(body io.Reader, header http.Header, limits Limits) (JobInput, error) {
	var in JobInput
	if err := decode(body, limits.MaxBodyBytes, &in); err != nil {
		return in, err
	}
	in.Key = header.Get(HeaderIdempotencyKey)
	var err error
	if in.Repeat, err = readAttempt(header); err != nil {
		return in, err
	}
	if in.Resources != nil {
		if err := checkResources("resources", *in.Resources); err != nil {
			return in, err
		}
	}
	return in, firstError(checkIdempotencyKey(in.Key), checkName("template", in.Template), checkName("customer", in.Customer),
		checkRange("count", int64(in.Count), 0, MaxJobTasks), checkParameters("parameters", in.Parameters))
}

// readVersion parses the header If-Match. Without the header it returns 0, which
// means that the object must not exist.
func readVersion(header http.Header) (uint64, error) {
	text := strings.Trim(header.Get(HeaderIfMatch), `"`)
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, rescode.FieldErrorf(rescode.OutOfRange, HeaderIfMatch, "%q is not a version number", text)
	}
	return v, nil
}

// bindName sets the object's name to the one in the path. A different name in the
// body is an error.
func bindName(c *gin.Context, inBody *string) error {
	name := c.Param("name")
	if err := checkName("name", name); err != nil {
		return err
	}
	if *inBody != "" && *inBody != name {
		return rescode.FieldErrorf(rescode.InvalidName, "name", "differs from the name in the path")
	}
	*inBody = name
	return nil
}

// CheckTemplate reports the first invalid field of a template.
func CheckTemplate(t structs.Template) error {
	if t.Kind != structs.KindRequest && t.Kind != structs.KindTask {
		return rescode.FieldErrorf(rescode.OutOfRange, "kind", "must be %s or %s", structs.KindRequest, structs.KindTask)
	}
	if t.QoS != structs.LatencyCritical && t.QoS != structs.Batch {
		return rescode.FieldErrorf(rescode.OutOfRange, "qos", "must be %s or %s", structs.LatencyCritical, structs.Batch)
	}
	if t.Deleted {
		return rescode.FieldErrorf(rescode.OutOfRange, "deleted", "use DELETE")
	}
	if len(t.Parameters) > MaxParameters {
		return rescode.FieldErrorf(rescode.OutOfRange, "parameters", "%d parameters, at most %d", len(t.Parameters), MaxParameters)
	}
	seen := map[string]string{}
	for _, p := range t.Parameters {
		if _, ok := seen[p.Name]; ok {
			return rescode.FieldErrorf(rescode.InvalidName, "parameters", "%q is repeated", p.Name)
		}
		seen[p.Name] = p.Default
	}
	return firstError(checkResources("resources", t.Resources), checkParameters("parameters", seen),
		checkRange("expected_ms", t.ExpectedMillis, 0, MaxMillis), checkRange("deadline_ms", t.DeadlineMillis, 0, MaxMillis),
		checkRange("checkpoint_ms", t.CheckpointMillis, 0, MaxMillis), checkRange("max_attempts", int64(t.MaxAttempts), 0, MaxAttempts))
}

// CheckCustomer reports the first invalid field of a customer.
func CheckCustomer(c structs.Customer) error {
	if c.Deleted {
		return rescode.FieldErrorf(rescode.OutOfRange, "deleted", "use DELETE")
	}
	if c.RequestsPerSecond < 0 || c.RequestsPerSecond > 1e6 {
		return rescode.FieldErrorf(rescode.OutOfRange, "requests_per_second", "%g is out of range 0 to 1000000", c.RequestsPerSecond)
	}
	for template, parameters := range c.Parameters {
		if err := firstError(checkName("parameters", template), checkParameters("parameters."+template, parameters)); err != nil {
			return err
		}
	}
	return firstError(checkName("team", c.Team), checkResources("quota", c.Quota))
}
