package api

import (
	"encoding/json"
	"unicode/utf8"

	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// Headers of the API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestTimeout carries the time allowed for a request as a Go
	// duration such as "900ms".
	HeaderRequestTimeout = "Request-Timeout"
	// HeaderRequestAttempt numbers the calls for one request or submission, from
	// 1. A caller that repeats a call whose answer it did not receive sends 2 or
	// more. The entry then states "not run" only with a proof that covers the
	// earlier calls too.
	HeaderRequestAttempt = "Request-Attempt"
	// HeaderIfMatch carries the version of the object that the operator read.
	HeaderIfMatch = "If-Match"
	// HeaderTraceparent carries the W3C trace context.
	HeaderTraceparent = "Traceparent"
)

// AnswerBody is the JSON form of an answer. Body holds the upstream's body:
// unchanged if it is JSON, otherwise as a JSON string. A body that is not UTF-8 is
// in BodyBase64 instead.
type AnswerBody struct {
	RequestID  string          `json:"request_id"`
	Outcome    string          `json:"outcome"` // done, not_run or unknown
	Code       rescode.Code    `json:"code"`
	Detail     string          `json:"detail,omitempty"`
	Body       json.RawMessage `json:"body,omitempty"`
	BodyBase64 []byte          `json:"body_base64,omitempty"`
	Upstream   string          `json:"upstream,omitempty"`
}

// ErrorBody is the JSON form of an error. Current is the stored object after a
// version conflict.
type ErrorBody struct {
	Code    rescode.Code    `json:"code"`
	Message string          `json:"message"`
	Field   string          `json:"field,omitempty"`
	Outcome string          `json:"outcome"`
	Current json.RawMessage `json:"current,omitempty"`
}

// JobList is the JSON form of a list of jobs.
type JobList struct {
	Jobs []structs.Job `json:"jobs"`
}

// TemplateList is the JSON form of a list of templates.
type TemplateList struct {
	Templates []structs.Template `json:"templates"`
}

// CustomerList is the JSON form of a list of customers.
type CustomerList struct {
	Customers []structs.Customer `json:"customers"`
}

// NewAnswerBody converts an answer to its JSON form.
func NewAnswerBody(a structs.Answer) AnswerBody {
	out := AnswerBody{
		RequestID: a.RequestID, Outcome: a.Outcome.String(), Code: a.Code,
		Detail: a.Detail, Upstream: a.Upstream,
	}
	switch {
	case len(a.Body) == 0:
	case !utf8.Valid(a.Body):
		out.BodyBase64 = a.Body
	case json.Valid(a.Body):
		out.Body = a.Body
	default:
		// Encoding a valid UTF-8 string never fails.
		out.Body, _ = json.Marshal(string(a.Body))
	}
	return out
}
