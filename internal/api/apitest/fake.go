// Package apitest provides an in-memory api.Service for tests.
package apitest

import (
	"context"
	"sync"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// Service is an api.Service that keeps objects in memory and executes nothing: it
// answers every request with Answer and AnswerErr.
type Service struct {
	mu        sync.Mutex
	templates map[string]structs.Template
	customers map[string]structs.Customer
	jobs      []structs.Job

	Answer    structs.Answer
	AnswerErr error
	Panic     bool                  // SubmitRequest panics
	Before    func(context.Context) // called by SubmitRequest
	NotReady  bool
	Requests  []api.RequestInput // received by SubmitRequest
	JobInputs []api.JobInput     // received by SubmitJob
}

var _ api.Service = (*Service)(nil)

// New returns an empty service that answers requests with the outcome done.
func New() *Service {
	return &Service{
		templates: map[string]structs.Template{}, customers: map[string]structs.Customer{},
		Answer: structs.Answer{RequestID: "r1", Outcome: rescode.Done, Body: []byte(`{"sum":3}`), Upstream: "vm-1"},
	}
}

// SubmitRequest implements api.Service.
func (s *Service) SubmitRequest(ctx context.Context, in api.RequestInput) (structs.Answer, error) {
	if s.Before != nil {
		s.Before(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Panic {
		panic("injected")
	}
	s.Requests = append(s.Requests, in)
	return s.Answer, s.AnswerErr
}

// FetchAnswer implements api.Service.
func (s *Service) FetchAnswer(_ context.Context, id string) (structs.Answer, error) {
	if id != s.Answer.RequestID {
		return structs.Answer{}, rescode.Errorf(rescode.NotFound, "request %s", id)
	}
	return s.Answer, nil
}

// SubmitJob implements api.Service.
func (s *Service) SubmitJob(_ context.Context, in api.JobInput) (structs.Job, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.JobInputs = append(s.JobInputs, in)
	job := structs.Job{ID: "j1", Template: in.Template, Customer: in.Customer, Count: in.Count, Tasks: []structs.Task{{State: structs.TaskQueued}}}
	s.jobs = []structs.Job{job}
	return job, nil
}

// GetJob implements api.Service.
func (s *Service) GetJob(_ context.Context, id string) (structs.Job, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if j.ID == id {
			return j, nil
		}
	}
	return structs.Job{}, rescode.Errorf(rescode.NotFound, "job %s", id)
}

// ListJobs implements api.Service.
func (s *Service) ListJobs(context.Context) ([]structs.Job, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs, nil
}

// CancelJob implements api.Service.
func (s *Service) CancelJob(ctx context.Context, id string) (structs.Job, error) {
	job, err := s.GetJob(ctx, id)
	if err == nil {
		job.Tasks = []structs.Task{{State: structs.TaskCancelled}}
	}
	return job, err
}

func get[T any](s *Service, m map[string]T, name string) (T, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := m[name]; ok {
		return v, nil
	}
	var zero T
	return zero, rescode.Errorf(rescode.NotFound, "%s", name)
}

func list[T any](s *Service, m map[string]T) ([]T, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []T
	for _, v := range m {
		out = append(out, v)
	}
	return out, nil
}

// set stores v if the stored version equals expected, and returns the stored
// object.
func set[T any](s *Service, m map[string]T, v T, name string, version func(*T) *uint64, expected uint64) (T, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := m[name]
	if *version(&current) != expected {
		return current, rescode.Errorf(rescode.VersionConflict, "%s has version %d", name, *version(&current))
	}
	*version(&v) = expected + 1
	m[name] = v
	return v, nil
}

func remove[T any](s *Service, m map[string]T, name string, version func(*T) *uint64, expected uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := m[name]
	if !ok {
		return rescode.Errorf(rescode.NotFound, "%s", name)
	}
	if *version(&current) != expected {
		return rescode.Errorf(rescode.VersionConflict, "%s has version %d", name, *version(&current))
	}
	delete(m, name)
	return nil
}

func templateVersion(t *structs.Template) *uint64 { return &t.Version }
func customerVersion(c *structs.Customer) *uint64 { return &c.Version }

// GetTemplate implements api.Service.
func (s *Service) GetTemplate(_ context.Context, name string) (structs.Template, error) {
	return get(s, s.templates, name)
}

// ListTemplates implements api.Service.
func (s *Service) ListTemplates(context.Context) ([]structs.Template, error) {
	return list(s, s.templates)
}

// SetTemplate implements api.Service.
func (s *Service) SetTemplate(_ context.Context, t structs.Template, expected uint64) (structs.Template, error) {
	return set(s, s.templates, t, t.Name, templateVersion, expected)
}

// DeleteTemplate implements api.Service.
func (s *Service) DeleteTemplate(_ context.Context, name string, expected uint64) error {
	return remove(s, s.templates, name, templateVersion, expected)
}

// GetCustomer implements api.Service.
func (s *Service) GetCustomer(_ context.Context, name string) (structs.Customer, error) {
	return get(s, s.customers, name)
}

// ListCustomers implements api.Service.
func (s *Service) ListCustomers(context.Context) ([]structs.Customer, error) {
	return list(s, s.customers)
}

// SetCustomer implements api.Service.
func (s *Service) SetCustomer(_ context.Context, c structs.Customer, expected uint64) (structs.Customer, error) {
	return set(s, s.customers, c, c.Name, customerVersion, expected)
}

// DeleteCustomer implements api.Service.
func (s *Service) DeleteCustomer(_ context.Context, name string, expected uint64) error {
	return remove(s, s.customers, name, customerVersion, expected)
}

// Status implements api.Service.
func (s *Service) Status(context.Context) api.EntryStatus {
	return api.EntryStatus{Entry: "entry-1", Ready: !s.NotReady, Upstreams: []api.UpstreamStatus{{ID: "vm-1", State: "alive"}}}
}

// Ready implements api.Service.
func (s *Service) Ready() bool { return !s.NotReady }
