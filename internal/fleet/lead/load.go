package lead

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/fleet/tail"
)

// load reads jobs, cancellations, VMs and progress, and returns the revision
// from which to watch.
func (l *Leader) load(ctx context.Context) (uint64, error) {
	items, revision, err := l.opts.Store.Range(ctx, fleet.WatchedBase)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	// Keys come in order: cancellations before jobs, so they are applied after.
	for _, item := range items {
		if !strings.HasPrefix(item.Key, fleet.CancelBase) {
			l.apply(ctx, fleet.Change{Item: item}, true, now)
		}
	}
	progress, _, err := l.opts.Store.Range(ctx, fleet.ProgressBase)
	if err != nil {
		return 0, err
	}
	l.loadLearned(ctx, now)
	for _, item := range progress {
		if err := l.ledger.Restore(strings.TrimPrefix(item.Key, fleet.ProgressBase), item.Value, item.Revision, now); err != nil {
			return 0, err
		}
	}
	for _, item := range items {
		if strings.HasPrefix(item.Key, fleet.CancelBase) {
			l.apply(ctx, fleet.Change{Item: item}, true, now)
		}
	}
	return revision, nil
}

// loadLearned reads what an earlier leader has learned of images. Without it the
// leader learns anew.
func (l *Leader) loadLearned(ctx context.Context, now time.Time) {
	item, err := l.opts.Store.Get(ctx, fleet.LearnedKey)
	if isNotFound(err) {
		return
	}
	var learned []tail.Learned
	if err == nil {
		err = json.Unmarshal(item.Value, &learned)
	}
	if err != nil {
		l.opts.Log.Warn("What was learned of images is not readable.", "err", err)
		return
	}
	l.planner.book.Import(learned, now)
}

// storeLearned stores what has been learned of images. It is repeated soon, so a
// failure is only logged.
func (l *Leader) storeLearned(ctx context.Context) {
	value, err := json.Marshal(l.planner.book.Export())
	if err != nil { // structs of strings and numbers always encode
		l.opts.Log.Error("What was learned of images not encoded.", "err", err)
		return
	}
	if bytes.Equal(value, l.learned) {
		return
	}
	l.learned = value
	txn := l.txn()
	txn.Put = []fleet.Write{{Key: fleet.LearnedKey, Value: value}}
	go func() {
		if _, err := l.opts.Store.Commit(ctx, txn); err != nil && ctx.Err() == nil {
			l.opts.Log.Warn("What was learned of images not stored.", "err", err)
		}
	}()
}

// apply takes in one change of the watched keys. Links of VMs found while
// loading are started by run.
func (l *Leader) apply(ctx context.Context, c fleet.Change, loading bool, now time.Time) {
	switch {
	case strings.HasPrefix(c.Key, fleet.JobBase):
		if !c.Removed {
			l.addJob(c.Value, c.Created, now)
		}
	case strings.HasPrefix(c.Key, fleet.CancelBase):
		if !c.Removed {
			l.ledger.Cancel(strings.TrimPrefix(c.Key, fleet.CancelBase), now)
		}
	case strings.HasPrefix(c.Key, fleet.NodeBase):
		l.applyNode(ctx, strings.TrimPrefix(c.Key, fleet.NodeBase), c, loading)
	}
}

// addJob adds a job from the store, where it was created at a revision. An
// earlier leader may have started tasks of a job that it could know.
func (l *Leader) addJob(value []byte, created uint64, now time.Time) {
	var job fleet.Job
	if err := json.Unmarshal(value, &job); err != nil {
		l.opts.Log.Error("Stored job is not readable.", "err", err)
		return
	}
	if l.ledger.Jobs[job.ID] != nil {
		return
	}
	inherited := l.exclusive == 0 || created <= l.exclusive
	l.ledger.AddJob(job, inherited, now)
	if created > l.term {
		l.opts.Log.Info("job accepted", "job", job.ID, "queue", job.Queue, "steps", len(job.Steps), "age", now.Sub(job.Accepted).Round(time.Millisecond))
	}
}

func (l *Leader) applyNode(ctx context.Context, name string, c fleet.Change, loading bool) {
	if c.Removed {
		if link := l.links[name]; link != nil {
			link.stop()
			delete(l.links, name)
			l.ledger.RemoveNode(name)
		}
		return
	}
	var record link.NodeRecord
	if err := json.Unmarshal(c.Value, &record); err != nil {
		l.opts.Log.Error("Registration is not readable.", "vm", name, "err", err)
		return
	}
	l.ledger.AddNode(name)
	if known := l.links[name]; known != nil {
		known.setAddress(record.Address)
		return
	}
	n := newNodeLink(record.Address)
	l.links[name] = n
	if !loading {
		go n.run(ctx, l, name)
	}
}

// watch follows the watched keys.
func (l *Leader) watch(ctx context.Context, after uint64) {
	for ctx.Err() == nil {
		changes, next, err := l.opts.Store.Watch(ctx, fleet.WatchedBase, after, watchWait)
		if errors.Is(err, fleet.ErrCompacted) {
			l.opts.Log.Warn("Store's history has been dropped, reading again.", "after", after)
			var items []fleet.Item
			items, next, err = l.opts.Store.Range(ctx, fleet.WatchedBase)
			for _, item := range items {
				changes = append(changes, fleet.Change{Item: item})
			}
		}
		if err != nil {
			fleet.Pause(ctx, watchRetry)
			continue
		}
		after = next
		if len(changes) > 0 {
			l.post(ctx, func() {
				now := time.Now()
				for _, c := range changes {
					l.apply(ctx, c, false, now)
				}
			})
		}
	}
}
