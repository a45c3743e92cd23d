package lead_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/lead"
	"vanillalock.example/vanillalock/internal/kv"
)

// lateStore carries out the commits of submissions only once it is released, while it holds them.
type lateStore struct {
	fleet.Store
	holds      atomic.Bool
	unanswered bool // their callers get no answer
	released   chan struct{}
	held       chan struct{} // a commit is held back
	done       chan struct{} // it has been carried out or refused
}

func newLateStore(s fleet.Store, unanswered bool) *lateStore {
	late := &lateStore{Store: s, unanswered: unanswered, released: make(chan struct{}), held: make(chan struct{}, 16), done: make(chan struct{}, 16)}
	late.holds.Store(true)
	return late
}

func (s *lateStore) Commit(ctx context.Context, txn fleet.Txn) (uint64, error) {
	if !s.holds.Load() || !slices.ContainsFunc(txn.Put, func(w fleet.Write) bool { return strings.HasPrefix(w.Key, fleet.JobBase) }) {
		return s.Store.Commit(ctx, txn)
	}
	type answer struct {
		revision uint64
		err      error
	}
	answers := make(chan answer, 1)
	go func() {
		<-s.released
		revision, err := s.Store.Commit(context.Background(), txn)
		answers <- answer{revision, err}
		s.done <- struct{}{}
	}()
	s.held <- struct{}{}
	if s.unanswered {
		return 0, fmt.Errorf("%w: injected", kv.ErrUncertain)
	}
	a := <-answers
	return a.revision, a.err
}

// refusingStore refuses commits, so that they are relayed through other entries.
type refusingStore struct {
	fleet.Store
	refuses atomic.Bool
}

func (s *refusingStore) Commit(ctx context.Context, txn fleet.Txn) (uint64, error) {
	if s.refuses.Load() {
		return 0, fmt.Errorf("%w: injected", kv.ErrUnavailable)
	}
	return s.Store.Commit(ctx, txn)
}

// withdrawnRig is a fleet with two entries on a late store.
type withdrawnRig struct {
	*testFleet
	late *lateStore
}

// Guards against a job that runs for good after its caller was told that there is no such job:
// each way on which its submission may be stored after that, also once the entry that said so
// has ended.
func TestJobIsNotStoredOnceItsCallerWasToldThatThereIsNone(t *testing.T) {
	submitted := func(e *lead.Entry, job fleet.Job) <-chan fleet.Answer {
		answers := make(chan fleet.Answer, 1)
		go func() { answers <- e.Submit(context.Background(), job) }()
		return answers
	}
	for name, submit := range map[string]func(r *withdrawnRig, job fleet.Job) (release func()){
		"entry that stands still": func(r *withdrawnRig, job fleet.Job) func() {
			s := newLateStore(r.store, false)
			answers := submitted(r.newEntry("late", s), job)
			<-s.held
			return func() {
				close(s.released)
				a := <-answers
				require.Equal(r.t, fleet.ResultNotRun, a.Result, a.Cause)
			}
		},
		"write that is carried out late": func(r *withdrawnRig, job fleet.Job) func() {
			s := newLateStore(r.store, true)
			answers := submitted(r.newEntry("late", s), job)
			require.Equal(r.t, fleet.ResultUnknown, (<-answers).Result)
			return func() {
				close(s.released)
				<-s.done
			}
		},
		"write of another entry": func(r *withdrawnRig, job fleet.Job) func() {
			refusing := &refusingStore{Store: r.store}
			from := r.addEntry("from", refusing)
			require.Eventually(r.t, from.Ready, waitTimeout, 10*time.Millisecond)
			refusing.refuses.Store(true)
			r.late.holds.Store(true)
			require.Eventually(r.t, func() bool { // until it goes through another entry
				from.Submit(context.Background(), job)
				return len(r.late.held) > 0
			}, waitTimeout, 10*time.Millisecond)
			r.late.holds.Store(false)
			return func() {
				close(r.late.released)
				for range len(r.late.held) {
					<-r.late.done
				}
			}
		},
		"retry of the caller": func(r *withdrawnRig, job fleet.Job) func() {
			e := r.newEntry("retry", r.store)
			return func() {
				a := e.Submit(context.Background(), job)
				require.Equal(r.t, fleet.ResultNotRun, a.Result, a.Cause)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := &withdrawnRig{testFleet: newTestFleet(t, 0, 1, 10*time.Millisecond)}
			r.late = newLateStore(r.store, true)
			r.late.holds.Store(false)
			r.addEntry("entry-0", r.late)
			r.addEntry("entry-1", r.late)
			r.submit(r.entries[0], jobOf("before", 1))
			r.await(r.entries[0], "before", "done")
			job := jobOf("job", 1)
			release := submit(r, job)
			canceller := r.newEntry("canceller", r.store)
			require.Equal(t, fleet.ResultNoSuchJob, canceller.Cancel(context.Background(), job.ID).Result)
			release()
			_, err := r.store.Get(context.Background(), fleet.JobBase+job.ID)
			require.ErrorIs(t, err, kv.ErrNotFound)
			r.submit(r.entries[0], jobOf("after", 1))
			r.await(r.entries[0], "after", "done")
			require.Zero(t, r.audit.Done(fleet.TaskID{Job: job.ID}))
			require.Equal(t, fleet.ResultNoSuchJob, r.entries[0].State(context.Background(), job.ID).Result)
		})
	}
}
