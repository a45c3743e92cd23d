// Package api implements the HTTP API for callers and operators: it parses and
// checks calls, passes them to a Service and encodes the results.
package api

import (
	"context"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// RequestInput is a request as the caller sent it, without the values that the
// entry adds from the template and the customer.
type RequestInput struct {
	ID             string            `json:"id,omitempty"` // assigned if empty
	IdempotencyKey string            `json:"-"`            // header Idempotency-Key
	Template       string            `json:"template"`
	Customer       string            `json:"customer"`
	Parameters     map[string]string `json:"parameters,omitempty"`
	Timeout        time.Duration     `json:"-"` // header Request-Timeout; 0: the template's deadline
	Repeat         bool              `json:"-"` // header Request-Attempt above 1
}

// JobInput is a submission of a job. A repeated submission with the same Key
// returns the job that already exists.
type JobInput struct {
	Key        string             `json:"-"` // header Idempotency-Key
	Repeat     bool               `json:"-"` // header Request-Attempt above 1
	Template   string             `json:"template"`
	Customer   string             `json:"customer"`
	Count      int                `json:"count,omitempty"` // tasks; 0 means 1
	Parameters map[string]string  `json:"parameters,omitempty"`
	Resources  *structs.Resources `json:"resources,omitempty"` // overrides the template's
}

// EntryStatus is the state of one entry for operators.
type EntryStatus struct {
	Entry          string           `json:"entry"`
	FailureDomain  string           `json:"failure_domain"`
	Ready          bool             `json:"ready"`
	Leaving        bool             `json:"leaving"`
	StoreContact   bool             `json:"store_contact"`
	ConfigRevision uint64           `json:"config_revision"`
	MembersEpoch   uint64           `json:"members_epoch"`
	Members        []string         `json:"members"`
	Peers          []string         `json:"peers"` // other live entries
	OwnedShards    []uint32         `json:"owned_shards"`
	InFlight       int              `json:"in_flight"`
	Queued         int              `json:"queued"`
	Upstreams      []UpstreamStatus `json:"upstreams"`
	Tasks          map[string]int   `json:"tasks"` // number of tasks by state, in owned shards
}

// UpstreamStatus is one upstream as this entry sees it.
type UpstreamStatus struct {
	ID            string            `json:"id"`
	Incarnation   uint64            `json:"incarnation"`
	FailureDomain string            `json:"failure_domain"`
	Rack          string            `json:"rack"`
	State         string            `json:"state"` // alive, suspect, leaving, ejected, quarantined
	SlotsBusy     int               `json:"slots_busy"`
	Slots         int               `json:"slots"`
	Queued        int               `json:"queued"`
	Reserved      structs.Resources `json:"reserved"`
	Capacity      structs.Resources `json:"capacity"`
}

// ObjectKind names a kind of configuration object.
type ObjectKind string

// Kinds of configuration objects.
const (
	KindTemplate ObjectKind = "template"
	KindCustomer ObjectKind = "customer"
)

// Service is the part of the entry that the API calls. Its errors carry a result
// code (package rescode).
type Service interface {
	// SubmitRequest runs a request and waits for its answer, which states one of
	// the three outcomes. It returns an error only for rejected input.
	SubmitRequest(ctx context.Context, in RequestInput) (structs.Answer, error)
	// FetchAnswer returns the answer of an earlier request, including one that
	// another entry served.
	FetchAnswer(ctx context.Context, requestID string) (structs.Answer, error)

	SubmitJob(ctx context.Context, in JobInput) (structs.Job, error)
	GetJob(ctx context.Context, id string) (structs.Job, error)
	ListJobs(ctx context.Context) ([]structs.Job, error)
	CancelJob(ctx context.Context, id string) (structs.Job, error)

	GetTemplate(ctx context.Context, name string) (structs.Template, error)
	ListTemplates(ctx context.Context) ([]structs.Template, error)
	// SetTemplate writes t if the stored version equals expected; 0 means that
	// the template must not exist. With the error VersionConflict it also returns
	// the current template.
	SetTemplate(ctx context.Context, t structs.Template, expected uint64) (structs.Template, error)
	DeleteTemplate(ctx context.Context, name string, expected uint64) error

	GetCustomer(ctx context.Context, name string) (structs.Customer, error)
	ListCustomers(ctx context.Context) ([]structs.Customer, error)
	SetCustomer(ctx context.Context, c structs.Customer, expected uint64) (structs.Customer, error)
	DeleteCustomer(ctx context.Context, name string, expected uint64) error

	Status(ctx context.Context) EntryStatus
	// Ready reports whether the entry accepts requests: it has a configuration
	// and is not shutting down.
	Ready() bool
}
