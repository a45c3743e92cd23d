package demo

import (
	"context"
	"strconv"
	"sync"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

const (
	editInterval  = time.Second
	checkInterval = 20 * time.Millisecond
	// inForceLimit is the required bound on the time until every entry shows an
	// accepted edit.
	inForceLimit = 13 * time.Second
)

// editResult counts the edits by outcome.
type editResult struct {
	Accepted   int   `json:"accepted"`
	Refused    int   `json:"refused"`
	Reverted   int   `json:"reverted"`     // times that an entry showed an older version than before
	NotInForce int   `json:"not_in_force"` // accepted edits that some entry did not show within 13 s
	SlowestMs  int64 `json:"slowest_ms"`
}

// editor edits one customer repeatedly, each time through the next entry, and
// checks that every entry shows the edit in time and does not return to an older
// version.
type editor struct {
	system   *System
	customer structs.Customer

	mu     sync.Mutex
	result editResult
}

func newEditor(s *System) *editor {
	return &editor{system: s, customer: s.Deployment.Customers[0]}
}

// run edits until ctx ends.
func (ed *editor) run(ctx context.Context) editResult {
	watchCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	for _, e := range ed.system.Entries {
		wg.Go(func() { ed.watch(watchCtx, e) })
	}
	ticker := time.NewTicker(editInterval)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		ed.edit(context.WithoutCancel(ctx), n)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	stop()
	wg.Wait()
	ed.mu.Lock()
	defer ed.mu.Unlock()
	return ed.result
}

// edit makes the n-th edit and waits until it is in force.
func (ed *editor) edit(ctx context.Context, n int) {
	entries := ed.system.Entries
	e := entries[n%len(entries)].Entry
	current, err := e.GetCustomer(ctx, ed.customer.Name)
	if err != nil {
		ed.countRefused()
		return
	}
	next := current
	next.Parameters = map[string]map[string]string{ed.system.Deployment.Mix[0].Template: {"day": strconv.Itoa(n), "park": strconv.Itoa(n)}}
	started := time.Now()
	stored, err := e.SetCustomer(ctx, next, current.Version)
	if err != nil {
		ed.countRefused()
		return
	}
	inForce := ed.waitInForce(ctx, stored.Version)
	ed.mu.Lock()
	defer ed.mu.Unlock()
	ed.result.Accepted++
	if !inForce {
		ed.result.NotInForce++
	}
	ed.result.SlowestMs = max(ed.result.SlowestMs, time.Since(started).Milliseconds())
}

func (ed *editor) countRefused() {
	ed.mu.Lock()
	defer ed.mu.Unlock()
	ed.result.Refused++
}

// waitInForce waits until every entry shows the version. It returns false after
// inForceLimit.
func (ed *editor) waitInForce(ctx context.Context, version uint64) bool {
	deadline := time.Now().Add(inForceLimit)
	for _, e := range ed.system.Entries {
		for {
			customer, err := e.Entry.GetCustomer(ctx, ed.customer.Name)
			if err == nil && customer.Version >= version {
				break
			}
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(time.Millisecond)
		}
	}
	return true
}

// watch counts the times that an entry shows an older version than before.
func (ed *editor) watch(ctx context.Context, e *RunningEntry) {
	var highest uint64
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		customer, err := e.Entry.GetCustomer(ctx, ed.customer.Name)
		if err != nil {
			continue
		}
		if customer.Version < highest {
			ed.mu.Lock()
			ed.result.Reverted++
			ed.mu.Unlock()
		}
		highest = max(highest, customer.Version)
	}
}
