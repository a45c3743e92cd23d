// Package upstream defines the call to the executor of an upstream, which runs
// requests in its slots, and a client over HTTP.
package upstream

import (
	"context"
	"errors"

	"vanillalock.example/vanillalock/internal/structs"
)

// Errors of a Client.
var (
	// ErrNotSent means that the request did not reach the upstream.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrUncertain means that the upstream may have run the request.
	ErrUncertain = errors.New("upstream: outcome uncertain")
)

// Result is the upstream's answer to a request that it has run.
type Result struct {
	Failed bool   `json:"failed"` // the upstream ran the request and reports a failure
	Body   []byte `json:"body"`
}

// Client makes calls to the executor of one upstream.
type Client interface {
	// Do runs a request and waits for its end. Errors match ErrNotSent or
	// ErrUncertain.
	Do(ctx context.Context, req structs.Request) (Result, error)
}
