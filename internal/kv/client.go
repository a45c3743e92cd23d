package kv

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"vanillalock.example/vanillalock/internal/httpjson"
)

// Paths of the HTTP API. Every call is a POST with a Call as its body.
const (
	PathGet       = "/kv/get"
	PathList      = "/kv/list"
	PathSwap      = "/kv/swap"
	PathDelete    = "/kv/delete"
	PathGrant     = "/kv/lease/grant"
	PathKeepAlive = "/kv/lease/keepalive"
	PathRevoke    = "/kv/lease/revoke"
	PathWatch     = "/kv/watch"
)

// Call is the body of every request; each path uses some of the fields.
type Call struct {
	Key      string  `json:"key,omitempty"`
	Prefix   string  `json:"prefix,omitempty"`
	Expected uint64  `json:"expected,omitempty"`
	Value    []byte  `json:"value,omitempty"`
	Lease    LeaseID `json:"lease,omitempty"`
	TTLMs    int64   `json:"ttl_ms,omitempty"`
	After    uint64  `json:"after,omitempty"`
	WaitMs   int64   `json:"wait_ms,omitempty"` // the longest wait of a watch
}

// Reply is the body of every answer with status 200.
type Reply struct {
	Entry    Entry   `json:"entry,omitzero"` // after a swap without its value, which the caller knows
	Entries  []Entry `json:"entries,omitempty"`
	Events   []Event `json:"events,omitempty"`
	Revision uint64  `json:"revision,omitempty"`
	Lease    LeaseID `json:"lease,omitempty"`
}

// Codes of error answers.
const (
	CodeConflict    = "conflict"
	CodeNotFound    = "not_found"
	CodeUnavailable = "unavailable"
	CodeTooLarge    = "too_large"
)

// Limits of the HTTP API.
const (
	// MaxCallBytes bounds a request body. It fits a value of MaxValueBytes in
	// base64 with its key.
	MaxCallBytes = 2 << 20
	// maxReplyBytes bounds a list or watch answer.
	maxReplyBytes = 32 << 20
	// defaultWatchWait is the longest wait of one watch call.
	defaultWatchWait = 30 * time.Second
)

// ClientOptions configure a Client. Zero fields take the defaults.
type ClientOptions struct {
	Timeout        time.Duration // of one call; default 1 s
	MaxConnections int           // default 64
	WatchWait      time.Duration // longest wait of one watch call; default 30 s
}

// Client is a Store over HTTP.
type Client struct {
	caller *httpjson.Caller
	wait   time.Duration
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the service at baseURL.
func NewClient(baseURL string, o ClientOptions) (*Client, error) {
	caller, err := httpjson.NewCaller(baseURL, httpjson.Options{
		Timeout: o.Timeout, MaxConnections: o.MaxConnections, MaxBody: maxReplyBytes,
	})
	if err != nil {
		return nil, fmt.Errorf("kv: %w", err)
	}
	if o.WatchWait <= 0 {
		o.WatchWait = defaultWatchWait
	}
	return &Client{caller: caller, wait: o.WatchWait}, nil
}

// Stats returns the traffic of the client so far.
func (c *Client) Stats() httpjson.Stats { return c.caller.Stats() }

// Close closes the idle connections.
func (c *Client) Close() { c.caller.CloseIdle() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	r, err := c.read(ctx, PathGet, Call{Key: key})
	return r.Entry, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	r, err := c.read(ctx, PathList, Call{Prefix: prefix})
	return r.Entries, r.Revision, err
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease LeaseID) (Entry, error) {
	if len(value) > MaxValueBytes {
		return Entry{}, ErrTooLarge
	}
	r, err := c.write(ctx, PathSwap, Call{Key: key, Expected: expected, Value: value, Lease: lease})
	if err != nil {
		return Entry{}, err
	}
	r.Entry.Value = bytes.Clone(value)
	return r.Entry, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	_, err := c.write(ctx, PathDelete, Call{Key: key, Expected: expected})
	return err
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	r, err := c.write(ctx, PathGrant, Call{TTLMs: ttl.Milliseconds()})
	return r.Lease, err
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	_, err := c.write(ctx, PathKeepAlive, Call{Lease: id})
	return err
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	_, err := c.write(ctx, PathRevoke, Call{Lease: id})
	return err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]Event, uint64, error) {
	wait := c.wait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline))
	}
	call := Call{Prefix: prefix, After: after, WaitMs: max(wait.Milliseconds(), 1)}
	var r Reply
	err := c.caller.CallTimeout(ctx, wait+c.caller.Timeout(), PathWatch, call, &r)
	if err != nil && ctx.Err() != nil {
		return nil, after, nil
	}
	if err != nil {
		return nil, after, readError(err)
	}
	return r.Events, r.Revision, nil
}

// read makes a call that changes nothing.
func (c *Client) read(ctx context.Context, path string, call Call) (Reply, error) {
	var r Reply
	if err := c.caller.Call(ctx, path, call, &r); err != nil {
		return Reply{}, readError(err)
	}
	return r, nil
}

// write makes a call that may change the store.
func (c *Client) write(ctx context.Context, path string, call Call) (Reply, error) {
	var r Reply
	if err := c.caller.Call(ctx, path, call, &r); err != nil {
		return Reply{}, writeError(err)
	}
	return r, nil
}

// serviceError returns the error of this package for the code that the service
// answered with, or nil if it stated none.
func serviceError(err error) error {
	var status *httpjson.StatusError
	if !errors.As(err, &status) {
		return nil
	}
	switch status.Code {
	case CodeConflict:
		return ErrConflict
	case CodeNotFound:
		return ErrNotFound
	case CodeUnavailable:
		return ErrUnavailable
	case CodeTooLarge:
		return ErrTooLarge
	}
	return nil
}

// readError maps the error of a read. One without a known code is
// ErrUnavailable, since a read changes nothing.
func readError(err error) error {
	if stated := serviceError(err); stated != nil {
		return stated
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// writeError maps the error of a write. It is ErrUncertain unless the service
// stated a code or the request was never sent.
func writeError(err error) error {
	if stated := serviceError(err); stated != nil {
		return stated
	}
	var transport *httpjson.TransportError
	if errors.As(err, &transport) && !transport.Sent {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrUncertain, err)
}
