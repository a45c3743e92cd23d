package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"vanillalock.example/vanillalock/internal/httpjson"
	"vanillalock.example/vanillalock/internal/structs"
)

// PathExecute takes a POST of a structs.Request and answers with a Result.
const PathExecute = "/execute"

// MaxRequestBytes bounds the body of a request.
const MaxRequestBytes = 1 << 20

const (
	// defaultTimeout bounds a request whose context and deadline set no limit.
	defaultTimeout = 15 * time.Minute
	// maxResultBytes bounds the body of a response. A result of 1 MB in base64 fits.
	maxResultBytes = 2 << 20
)

// HTTPOptions configure an HTTPClient. Zero fields take the defaults.
type HTTPOptions struct {
	Timeout        time.Duration // of one request; 15 min
	MaxConnections int           // at most as many as the upstream accepts; 64
}

// HTTPClient is a Client over HTTP.
type HTTPClient struct {
	caller *httpjson.Caller
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client of the executor at baseURL.
func NewHTTPClient(baseURL string, o HTTPOptions) (*HTTPClient, error) {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	caller, err := httpjson.NewCaller(baseURL, httpjson.Options{
		Timeout: o.Timeout, MaxConnections: o.MaxConnections, MaxBody: maxResultBytes,
	})
	if err != nil {
		return nil, fmt.Errorf("upstream: %w", err)
	}
	return &HTTPClient{caller: caller}, nil
}

// Close closes the idle connections.
func (c *HTTPClient) Close() { c.caller.CloseIdle() }

// Do implements Client. It ends with ctx, but not at the request's deadline: the
// caller may prefer a late answer to none. A refusal by the upstream counts as
// ErrUncertain, because the request did reach it.
func (c *HTTPClient) Do(ctx context.Context, req structs.Request) (Result, error) {
	var r Result
	err := c.caller.Call(ctx, PathExecute, req, &r)
	if err == nil {
		return r, nil
	}
	var transport *httpjson.TransportError
	if errors.As(err, &transport) && !transport.Sent {
		return Result{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return Result{}, fmt.Errorf("%w: %w", ErrUncertain, err)
}
