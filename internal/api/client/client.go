// Package client is the typed Go client of the HTTP API.
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

// maxResponseBytes bounds a response that is read into memory: a list of jobs
// is the largest.
const maxResponseBytes = 64 << 20

// dialTimeout leaves time for the next entry when one does not respond.
const dialTimeout = 2 * time.Second

// Client calls entries in the given order. It goes on to the next entry only
// when no connection to one can be made, so that no call is sent twice.
type Client struct {
	entries []string
	http    *http.Client
}

// New returns a client of the entries' base URLs. httpClient may be nil.
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

// call describes one HTTP call. An answer may come with any status.
type call struct {
	method, path string
	header       http.Header
	in, out      any
	answer       bool
}

func (c *Client) do(ctx context.Context, k call) error {
	var body []byte
	if k.in != nil {
		var err error
		if body, err = json.Marshal(k.in); err != nil {
			return fmt.Errorf("client: encoding the body: %w", err)
		}
	}
	var last error
	for _, entry := range c.entries {
		response, err := c.send(ctx, entry, k, body)
		var network *net.OpError
		if errors.As(err, &network) && network.Op == "dial" {
			last = rescode.Errorf(rescode.NoUpstream, "entry %s: %w", entry, err)
			continue
		}
		if err != nil {
			return rescode.Errorf(rescode.AnswerLost, "entry %s: %w", entry, err)
		}
		return receive(response, k)
	}
	return last
}

func (c *Client) send(ctx context.Context, entry string, k call, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, k.method, entry+k.path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if body == nil {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	// net/http repeats idempotent methods on a broken connection by itself when
	// the body can be read again.
	r.GetBody = nil
	for name, values := range k.header {
		r.Header[name] = values
	}
	if parent := obs.Traceparent(ctx); parent != "" {
		r.Header.Set(api.HeaderTraceparent, parent)
	}
	return c.http.Do(r)
}

func receive(response *http.Response, k call) error {
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return rescode.Errorf(rescode.AnswerLost, "reading the response: %w", err)
	}
	if len(data) > maxResponseBytes {
		return rescode.Errorf(rescode.AnswerLost, "the response exceeds %d bytes", maxResponseBytes)
	}
	if response.StatusCode < 300 || k.answer && isAnswer(data) {
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

// isAnswer tells an answer from an error: only an error has a message.
func isAnswer(data []byte) bool {
	var probe struct {
		Message *string `json:"message"`
		Outcome string  `json:"outcome"`
	}
	return json.Unmarshal(data, &probe) == nil && probe.Message == nil && probe.Outcome != ""
}

// SubmitRequest runs a request. The answer states the outcome; the error is
// for rejected input and lost responses.
func (c *Client) SubmitRequest(ctx context.Context, in api.RequestInput) (out api.AnswerBody, err error) {
	h := keyHeader(in.IdempotencyKey)
	if in.Timeout != 0 {
		h.Set(api.HeaderRequestTimeout, in.Timeout.String())
	}
	err = c.do(ctx, call{method: http.MethodPost, path: "/v1/requests", header: h, in: in, out: &out, answer: true})
	return out, err
}

// FetchAnswer returns the answer of an earlier request.
func (c *Client) FetchAnswer(ctx context.Context, id string) (out api.AnswerBody, err error) {
	err = c.do(ctx, call{method: http.MethodGet, path: "/v1/requests/" + url.PathEscape(id), out: &out, answer: true})
	return out, err
}

// SubmitJob submits a job.
func (c *Client) SubmitJob(ctx context.Context, in api.JobInput) (out structs.Job, err error) {
	err = c.do(ctx, call{method: http.MethodPost, path: "/v1/jobs", header: keyHeader(in.Key), in: in, out: &out})
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

// GetObject decodes a configuration object into out.
func (c *Client) GetObject(ctx context.Context, kind api.ObjectKind, name string, out any) error {
	return c.do(ctx, call{method: http.MethodGet, path: objectPath(kind, name), out: out})
}

// SetObject writes a configuration object if its version is expected (0: it
// must not exist) and decodes the stored object into out.
func (c *Client) SetObject(ctx context.Context, kind api.ObjectKind, name string, in any, expected uint64, out any) error {
	return c.do(ctx, call{method: http.MethodPut, path: objectPath(kind, name), header: versionHeader(expected), in: in, out: out})
}

// DeleteObject deletes a configuration object if its version is expected.
func (c *Client) DeleteObject(ctx context.Context, kind api.ObjectKind, name string, expected uint64) error {
	return c.do(ctx, call{method: http.MethodDelete, path: objectPath(kind, name), header: versionHeader(expected)})
}

// Status returns the state of the first entry that can be reached.
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

func keyHeader(key string) http.Header {
	h := http.Header{}
	if key != "" {
		h.Set(api.HeaderIdempotencyKey, key)
	}
	return h
}
