// Package client implements a typed Go client of the HTTP API.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/obs"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// maxResponseBytes bounds a response, which is read into memory. The largest
// responses are lists of jobs.
const maxResponseBytes = 64 << 20

// dialTimeout bounds a connection attempt, so that time is left for the next entry
// when one does not respond.
const dialTimeout = 2 * time.Second

// Client sends calls to the first entry that it can connect to, in the given order.
// It tries the next entry only when the connection cannot be made, so that no call
// is sent twice.
type Client struct {
	entries []string
	http    *http.Client
}

// New returns a client of the entries with the given base URLs. If httpClient is
// nil, a client without a proxy is used.
func New(entries []string, httpClient *http.Client) (*Client, error) {
	if len(entries) == 0 {
		return nil, errors.New("client: no entry URL")
	}
	c := &Client{http: httpClient}
	if c.http == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.Proxy = nil
		transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
		c.http = &http.Client{Transport: transport}
	}
	for _, e := range entries {
		u, err := url.Parse(e)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, fmt.Errorf("client: %q is not an http:// or https:// URL", e)
		}
		c.entries = append(c.entries, strings.TrimRight(e, "/"))
	}
	return c, nil
}

// APIError is an error response of an entry. Unwrap yields its rescode.Error.
type APIError struct {
	api.ErrorBody
}

// Error implements error.
func (e *APIError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the error with its result code.
func (e *APIError) Unwrap() error {
	return &rescode.Error{Code: e.Code, Field: e.Field, Err: errors.New(e.Message)}
}

// call describes one HTTP call.
type call struct {
	method, path string
	header       http.Header
	in, out      any  // body of the call and destination of the response; may be nil
	acceptAnswer bool // an answer is a result whatever its HTTP status
}

// do sends the call to the first entry that can be reached and decodes the
// response.
func (c *Client) do(ctx context.Context, k call) error {
	var body []byte
	if k.in != nil {
		var err error
		if body, err = json.Marshal(k.in); err != nil {
			return fmt.Errorf("client: encoding the body: %w", err)
		}
	}
	var lastErr error
	for _, entry := range c.entries {
		response, err := c.send(ctx, entry, k, body)
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			lastErr = rescode.Errorf(rescode.NoUpstream, "entry %s: %w", entry, err)
			continue
		}
		if err != nil {
			return rescode.Errorf(rescode.AnswerLost, "entry %s: %w", entry, err)
		}
		return decodeResponse(response, k)
	}
	return lastErr
}

func (c *Client) send(ctx context.Context, entry string, k call, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, k.method, entry+k.path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if body == nil {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	// With GetBody set, net/http would by itself repeat idempotent methods after a
	// broken connection.
	r.GetBody = nil
	for name, values := range k.header {
		r.Header[name] = values
	}
	if parent := obs.Traceparent(ctx); parent != "" {
		r.Header.Set(api.HeaderTraceparent, parent)
	}
	return c.http.Do(r)
}

// decodeResponse decodes a result into k.out, or returns the error that the
// response holds. A response that cannot be read leaves the outcome unknown.
func decodeResponse(response *http.Response, k call) error {
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return rescode.Errorf(rescode.AnswerLost, "reading the response: %w", err)
	}
	if len(data) > maxResponseBytes {
		return rescode.Errorf(rescode.AnswerLost, "the response exceeds %d bytes", maxResponseBytes)
	}
	if response.StatusCode < 300 || k.acceptAnswer && isAnswer(data) {
		if k.out == nil {
			return nil
		}
		if err := json.Unmarshal(data, k.out); err != nil {
			return rescode.Errorf(rescode.AnswerLost, "decoding the response: %w", err)
		}
		return nil
	}
	var failure APIError
	if err := json.Unmarshal(data, &failure.ErrorBody); err != nil || failure.Code == rescode.OK {
		return rescode.Errorf(rescode.AnswerLost, "HTTP status %s without an error body", response.Status)
	}
	return &failure
}

// isAnswer reports whether a response body is an answer and not an error: only an
// error has a message.
func isAnswer(data []byte) bool {
	var probe struct {
		Message *string `json:"message"`
		Outcome string  `json:"outcome"`
	}
	return json.Unmarshal(data, &probe) == nil && probe.Message == nil && probe.Outcome != ""
}

// SubmitRequest runs a request and returns its answer, which states the outcome. It
// returns an error for rejected input and lost responses.
func (c *Client) SubmitRequest(ctx context.Context, in api.RequestInput) (out api.AnswerBody, err error) {
	h := idempotencyHeader(in.IdempotencyKey)
	if in.Timeout != 0 {
		h.Set(api.HeaderRequestTimeout, in.Timeout.String())
	}
	err = c.do(ctx, call{method: http.MethodPost, path: "/v1/requests", header: h, in: in, out: &out, acceptAnswer: true})
	return out, err
}

// FetchAnswer returns the answer of an earlier request.
func (c *Client) FetchAnswer(ctx context.Context, id string) (out api.AnswerBody, err error) {
	err = c.do(ctx, call{method: http.MethodGet, path: "/v1/requests/" + url.PathEscape(id), out: &out, acceptAnswer: true})
	return out, err
}

// SubmitJob submits a job.
func (c *Client) SubmitJob(ctx context.Context, in api.JobInput) (out structs.Job, err error) {
	err = c.do(ctx, call{method: http.MethodPost, path: "/v1/jobs", header: idempotencyHeader(in.Key), in: in, out: &out})
	return out, err
}

// GetJob returns a job.
func (c *Client) GetJob(ctx context.Context, id string) (out structs.Job, err error) {
	err = c.do(ctx, call{method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(id), out: &out})
	return out, err
}

// CancelJob cancels a job and returns it.
func (c *Client) CancelJob(ctx context.Context, id string) (out structs.Job, err error) {
	err = c.do(ctx, call{method: http.MethodDelete, path: "/v1/jobs/" + url.PathEscape(id), out: &out})
	return out, err
}

// ListJobs returns all jobs that the entry knows.
func (c *Client) ListJobs(ctx context.Context) ([]structs.Job, error) {
	var out api.JobList
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/jobs", out: &out})
	return out.Jobs, err
}

// ListTemplates returns all templates.
func (c *Client) ListTemplates(ctx context.Context) ([]structs.Template, error) {
	var out api.TemplateList
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/templates", out: &out})
	return out.Templates, err
}

// ListCustomers returns all customers.
func (c *Client) ListCustomers(ctx context.Context) ([]structs.Customer, error) {
	var out api.CustomerList
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/customers", out: &out})
	return out.Customers, err
}

// GetObject reads a configuration object into out.
func (c *Client) GetObject(ctx context.Context, kind api.ObjectKind, name string, out any) error {
	return c.do(ctx, call{method: http.MethodGet, path: objectPath(kind, name), out: out})
}

// SetObject writes a configuration object if its stored version equals expected,
// and decodes the stored object into out. Expected 0 means that the object must not
// exist.
func (c *Client) SetObject(ctx context.Context, kind api.ObjectKind, name string, in any, expected uint64, out any) error {
	return c.do(ctx, call{method: http.MethodPut, path: objectPath(kind, name), header: versionHeader(expected), in: in, out: out})
}

// DeleteObject deletes a configuration object if its stored version equals
// expected.
func (c *Client) DeleteObject(ctx context.Context, kind api.ObjectKind, name string, expected uint64) error {
	return c.do(ctx, call{method: http.MethodDelete, path: objectPath(kind, name), header: versionHeader(expected)})
}

// Status returns the status of the first entry that can be reached.
func (c *Client) Status(ctx context.Context) (out api.EntryStatus, err error) {
	err = c.do(ctx, call{method: http.MethodGet, path: "/v1/status", out: &out})
	return out, err
}

func objectPath(kind api.ObjectKind, name string) string {
	return "/v1/" + string(kind) + "s/" + url.PathEscape(name)
}

func versionHeader(v uint64) http.Header {
	h := http.Header{}
	h.Set(api.HeaderIfMatch, strconv.FormatUint(v, 10))
	return h
}

func idempotencyHeader(key string) http.Header {
	h := http.Header{}
	if key != "" {
		h.Set(api.HeaderIdempotencyKey, key)
	}
	return h
}
