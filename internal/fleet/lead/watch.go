package lead

import (
	"context"
	"errors"
	"maps"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

// watch posts the changes of the watched keys after a revision to the event loop,
// until ctx ends.
func (l *Leader) watch(ctx context.Context, after uint64) {
	for ctx.Err() == nil {
		changes, next, err := l.opts.Store.Watch(ctx, fleet.WatchedBase, after, watchWait)
		if errors.Is(err, fleet.ErrCompacted) {
			next, err = l.reload(ctx, after)
		}
		if err != nil {
			fleet.Sleep(ctx, watchRetry)
			continue
		}
		after = next
		l.post(ctx, func() {
			now := time.Now()
			for _, c := range changes {
				l.apply(ctx, c, false, now)
			}
			l.setWatched(next)
		})
	}
}

// setWatched records that the changes of the watched keys are applied up to a revision.
func (l *Leader) setWatched(revision uint64) {
	l.watched = max(l.watched, revision)
	if asked := l.jobsAsked; asked.number != 0 && l.watched >= asked.number {
		l.jobsAsked.number = 0
		l.ledger.JobsKnown(asked.sent)
	}
}

// reload reads the state again after the store has dropped the history of the changes
// after a revision, and posts what is new to the event loop. It returns the revision
// from which to watch for changes, and fails only once ctx has ended.
func (l *Leader) reload(ctx context.Context, after uint64) (uint64, error) {
	l.opts.Log.Warn("The store has dropped the history after this revision, reading the state again.", "after", after)
	state, err := readState(ctx, &stateReader{l.opts.Store, l.opts.Log, func() error { return nil }})
	if err != nil { // ctx has ended
		return 0, err
	}
	l.post(ctx, func() {
		jobs := len(l.ledger.Jobs)
		l.restore(ctx, state, false, time.Now())
		l.removeUnregistered(ctx, state)
		l.removeForgotten(state)
		l.opts.Log.Info("State read again.", "keys", len(state.items), "revision", state.revision, "new jobs", len(l.ledger.Jobs)-jobs)
	})
	return state.revision, nil
}

// removeUnregistered removes the VMs whose registrations are not part of the state that
// was read again: they were deleted meanwhile.
func (l *Leader) removeUnregistered(ctx context.Context, state storedState) {
	registered := state.namesUnder(fleet.NodeBase)
	for name := range l.links {
		if _, ok := registered[name]; !ok {
			l.applyNode(ctx, name, fleet.Change{Removed: true}, false)
		}
	}
}

// removeForgotten drops the forgotten jobs whose records are not part of the state that
// was read again.
func (l *Leader) removeForgotten(state storedState) {
	stored := state.namesUnder(fleet.JobBase)
	maps.DeleteFunc(l.forgotten, func(id string, _ uint64) bool {
		_, ok := stored[id]
		return !ok
	})
}
