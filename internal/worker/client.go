package worker

import (
	"context"
	"errors"
	"fmt"
	"time"

	"vanillalock.example/vanillalock/internal/httpjson"
	"vanillalock.example/vanillalock/internal/structs"
)

// Paths of the HTTP API. Every request is a POST of a Call.
const (
	PathRun        = "/worker/run"
	PathRenew      = "/worker/renew"
	PathCheckpoint = "/worker/checkpoint"
	PathThrottle   = "/worker/throttle"
	PathStop       = "/worker/stop"
	PathList       = "/worker/list"
	PathUsage      = "/worker/usage"
)

// MaxCallBytes bounds the body of a request.
const MaxCallBytes = 1 << 20

// Codes of error answers.
const (
	CodeStaleToken = "stale_token"
	CodeNotRunning = "not_running"
	CodeCapacity   = "no_capacity"
)

// Call is the body of every request; each path uses some of the fields.
type Call struct {
	Spec    *Spec          `json:"spec,omitempty"`
	Task    structs.TaskID `json:"task,omitzero"`
	Token   structs.Token  `json:"token,omitzero"`
	LeaseNs int64          `json:"lease_ns,omitempty"`
	Share   float64        `json:"share,omitempty"`
	// SentUnixNs is when the call was sent, on the VM's clock, which client and
	// worker share. The worker subtracts the age of the call from the lease, so
	// that a call delayed in a buffer does not extend the lease beyond the permit.
	SentUnixNs int64 `json:"sent_unix_ns,omitempty"`
}

// Reply is the body of every response with status 200.
type Reply struct {
	Status   Status   `json:"status,omitzero"`
	Statuses []Status `json:"statuses,omitempty"`
	Usage    []Usage  `json:"usage,omitempty"`
}

// HTTPOptions configure an HTTPClient. Zero fields take the defaults.
type HTTPOptions struct {
	Timeout        time.Duration // of one call; 1 s
	MaxConnections int           // to the worker; 64
}

// HTTPClient is a Client over HTTP. A call fails with ErrUnavailable if its outcome
// is not known.
type HTTPClient struct {
	caller *httpjson.Caller
}

var _ Client = (*HTTPClient)(nil)

// maxReplyBytes bounds the body of a response; lists and usages are the largest.
const maxReplyBytes = 16 << 20

// NewHTTPClient returns a client of the worker at baseURL.
func NewHTTPClient(baseURL string, o HTTPOptions) (*HTTPClient, error) {
	caller, err := httpjson.NewCaller(baseURL, httpjson.Options{
		Timeout: o.Timeout, MaxConnections: o.MaxConnections, MaxBody: maxReplyBytes,
	})
	if err != nil {
		return nil, fmt.Errorf("worker: %w", err)
	}
	return &HTTPClient{caller: caller}, nil
}

// Close closes the idle connections.
func (c *HTTPClient) Close() { c.caller.CloseIdle() }

// Run implements Client.
func (c *HTTPClient) Run(ctx context.Context, spec Spec, lease time.Duration) error {
	_, err := c.call(ctx, PathRun, Call{Spec: &spec, LeaseNs: int64(lease)})
	return err
}

// Renew implements Client.
func (c *HTTPClient) Renew(ctx context.Context, task structs.TaskID, token structs.Token, lease time.Duration) error {
	_, err := c.call(ctx, PathRenew, Call{Task: task, Token: token, LeaseNs: int64(lease)})
	return err
}

// Checkpoint implements Client.
func (c *HTTPClient) Checkpoint(ctx context.Context, task structs.TaskID, token structs.Token) (Status, error) {
	r, err := c.call(ctx, PathCheckpoint, Call{Task: task, Token: token})
	return r.Status, err
}

// Throttle implements Client.
func (c *HTTPClient) Throttle(ctx context.Context, task structs.TaskID, token structs.Token, share float64) error {
	_, err := c.call(ctx, PathThrottle, Call{Task: task, Token: token, Share: share})
	return err
}

// Stop implements Client.
func (c *HTTPClient) Stop(ctx context.Context, task structs.TaskID, token structs.Token) (Status, error) {
	r, err := c.call(ctx, PathStop, Call{Task: task, Token: token})
	return r.Status, err
}

// List implements Client.
func (c *HTTPClient) List(ctx context.Context) ([]Status, error) {
	r, err := c.call(ctx, PathList, Call{})
	return r.Statuses, err
}

// Usage implements Client.
func (c *HTTPClient) Usage(ctx context.Context) ([]Usage, error) {
	r, err := c.call(ctx, PathUsage, Call{})
	return r.Usage, err
}

// call posts a call and converts error codes to the errors of Client.
func (c *HTTPClient) call(ctx context.Context, path string, call Call) (Reply, error) {
	call.SentUnixNs = time.Now().UnixNano()
	var r Reply
	err := c.caller.Call(ctx, path, call, &r)
	if err == nil {
		return r, nil
	}
	var status *httpjson.StatusError
	if errors.As(err, &status) {
		switch status.Code {
		case CodeStaleToken:
			return Reply{}, ErrStaleToken
		case CodeNotRunning:
			return Reply{}, ErrNotRunning
		case CodeCapacity:
			return Reply{}, ErrCapacity
		}
	}
	return Reply{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
}
