package bench

import (
	"context"
	"sync"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/upstream"
	"vanillalock.example/vanillalock/internal/worker"
)

// vm is a worker and an executor in this process. It holds as little state as
// possible, so that its share of the measured memory is small. Attempts do not
// expire when they are not renewed.
type vm struct {
	mu       sync.Mutex
	attempts map[structs.TaskID]*vmAttempt
	onStart  func(structs.TaskID)
}

type vmAttempt struct {
	spec    worker.Spec
	ends    time.Time // zero: runs until stopped
	stopped bool
}

var (
	_ worker.Client   = (*vm)(nil)
	_ upstream.Client = (*vm)(nil)
)

func newVM(onStart func(structs.TaskID)) *vm {
	return &vm{attempts: map[structs.TaskID]*vmAttempt{}, onStart: onStart}
}

// Do answers immediately.
func (v *vm) Do(_ context.Context, req structs.Request) (upstream.Result, error) {
	return upstream.Result{Body: []byte(`{"request":"` + req.ID + `"}`)}, nil
}

func (v *vm) Run(_ context.Context, spec worker.Spec, _ time.Duration) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if a := v.attempts[spec.Task]; a != nil && a.spec.Token == spec.Token {
		return nil
	}
	a := &vmAttempt{spec: spec}
	if spec.DurationMs > 0 {
		a.ends = time.Now().Add(time.Duration(spec.DurationMs) * time.Millisecond)
	}
	v.attempts[spec.Task] = a
	if v.onStart != nil {
		v.onStart(spec.Task)
	}
	return nil
}

func (v *vm) Renew(context.Context, structs.TaskID, structs.Token, time.Duration) error { return nil }

func (v *vm) Throttle(context.Context, structs.TaskID, structs.Token, float64) error { return nil }

func (v *vm) Checkpoint(_ context.Context, id structs.TaskID, _ structs.Token) (worker.Status, error) {
	return v.status(id, false)
}

func (v *vm) Stop(_ context.Context, id structs.TaskID, _ structs.Token) (worker.Status, error) {
	return v.status(id, true)
}

func (v *vm) status(id structs.TaskID, stop bool) (worker.Status, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	a := v.attempts[id]
	if a == nil {
		return worker.Status{}, worker.ErrNotRunning
	}
	a.stopped = a.stopped || stop
	return worker.Status{Spec: a.spec, State: a.state()}, nil
}

func (a *vmAttempt) state() worker.State {
	switch {
	case !a.ends.IsZero() && !time.Now().Before(a.ends):
		return worker.Done
	case a.stopped:
		return worker.Stopped
	default:
		return worker.Running
	}
}

// List returns all attempts and forgets the ended ones, so that each of those is
// listed once.
func (v *vm) List(context.Context) ([]worker.Status, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]worker.Status, 0, len(v.attempts))
	for id, a := range v.attempts {
		state := a.state()
		out = append(out, worker.Status{Spec: a.spec, State: state})
		if state != worker.Running {
			delete(v.attempts, id)
		}
	}
	return out, nil
}

// Usage returns one measurement for each running attempt.
func (v *vm) Usage(context.Context) ([]worker.Usage, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]worker.Usage, 0, len(v.attempts))
	for id, a := range v.attempts {
		out = append(out, worker.Usage{Task: id, Used: a.spec.Resources, Slowdown: 1.02, At: time.Now()})
	}
	return out, nil
}
