// Package upstream is the interface to an upstream's executor, which runs
// requests in its slots.
package upstream

import (
	"context"
	"errors"

	"vanillalock.example/vanillalock/internal/structs"
)

// Errors of a Client.
var (
	// ErrNotSent means the request did not reach the upstream.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrUncertain means the upstream may have run the request.
	ErrUncertain = errors.New("upstream: outcome uncertain")
)

// Result is the upstream's answer.
type Result struct {
	Failed bool   `json:"failed"` // the upstream ran the request and reports a failure
	Body   []byte `json:"body"`
}

// Client is the executor of one upstream.
type Client interface {
	// Do runs a request to its end. Errors are ErrNotSent or ErrUncertain.
	Do(ctx context.Context, req structs.Request) (Result, error)
}
