package lead

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/fleet/tail"
)

// load restores the ledger from the store: jobs, cancellations, VMs, progress and evacuations. It
// returns the revision from which to watch for changes. After each page it handles the
// events of the leader, such as the confirmations of its term, and it fails only once the
// term has ended, as the next leader would have to read the same.
func (l *Leader) load(ctx context.Context) (uint64, error) {
	reader := &stateReader{l.opts.Store, l.opts.Log, func() error {
		l.drainEvents()
		l.checkTerm(time.Now())
		return l.deposed
	}}
	state, err := readState(ctx, reader)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	l.restore(ctx, state, true, now)
	l.setWatched(state.revision)
	l.loadLearned(ctx, now)
	return state.revision, l.loadEvacuations(ctx, reader)
}

// storedState is the state of the fleet in the store.
type storedState struct {
	items    []fleet.Item          // of the watched keys
	progress map[string]fleet.Item // by job
	revision uint64                // a watch after it misses no later change of the items
}

// namesUnder returns the IDs or names that follow a prefix of the watched keys.
func (s storedState) namesUnder(base string) map[string]struct{} {
	names := map[string]struct{}{}
	for _, item := range s.items {
		if name, ok := strings.CutPrefix(item.Key, base); ok {
			names[name] = struct{}{}
		}
	}
	return names
}

// readState reads the state of the fleet. Progress is read first, so that an ended job,
// whose records are deleted together, is never read without its final state. No other
// leader can store progress in the meantime.
func readState(ctx context.Context, s fleet.Store) (storedState, error) {
	progress, _, err := fleet.ReadAll(ctx, s, fleet.ProgressBase)
	if err != nil {
		return storedState{}, err
	}
	state := storedState{progress: make(map[string]fleet.Item, len(progress))}
	for _, item := range progress {
		state.progress[strings.TrimPrefix(item.Key, fleet.ProgressBase)] = item
	}
	state.items, state.revision, err = fleet.ReadAll(ctx, s, fleet.WatchedBase)
	return state, err
}

// restore applies what was read from the store, as far as it is not known yet. The tasks
// of ended jobs, which are most of the jobs, are not made.
func (l *Leader) restore(ctx context.Context, state storedState, loading bool, now time.Time) {
	for _, item := range state.items {
		if id, ok := strings.CutPrefix(item.Key, fleet.JobBase); ok && l.ledger.Jobs[id] == nil {
			l.restoreJob(ctx, id, item, state.progress, loading, now)
		} else if !ok {
			l.apply(ctx, fleet.Change{Item: item}, loading, now)
		}
	}
}

// restoreJob adds a stored job with its progress.
func (l *Leader) restoreJob(ctx context.Context, id string, item fleet.Item, progress map[string]fleet.Item, loading bool, now time.Time) {
	p, known := progress[id]
	if state, err := ledger.StoredState(p.Value); known && err == nil && state.IsFinal() {
		l.ledger.AddFinal(id, state, p.Revision, now)
		return
	}
	l.apply(ctx, fleet.Change{Item: item}, loading, now)
	if !known {
		return
	}
	if err := l.ledger.Restore(id, p.Value, p.Revision, now); err != nil {
		l.opts.Log.Error("Cannot restore the progress of a job, its tasks are not started.", "key", p.Key, "err", err)
	}
}

// stateReader is a store whose pages are read again after a failure until ctx ends or
// afterPage, which is called after each page, returns an error. One lost page of many
// would else have all of them read again.
type stateReader struct {
	fleet.Store
	log       *log.Logger
	afterPage func() error
}

// Page implements fleet.Store.
func (r *stateReader) Page(ctx context.Context, prefix, after string) (fleet.Page, error) {
	for {
		page, err := r.Store.Page(ctx, prefix, after)
		ended := r.afterPage()
		if ctx.Err() != nil {
			return page, ctx.Err()
		}
		if ended != nil {
			return page, ended
		}
		if err == nil {
			return page, nil
		}
		r.log.Warn("Page of the state not read, trying again.", "prefix", prefix, "after", after, "err", err)
		fleet.Sleep(ctx, pageRetry)
	}
}

// loadLearned imports what an earlier leader has learned about which images disturb
// each other. Without it this leader starts to learn from nothing.
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
		l.opts.Log.Warn("Cannot read what was learned about images.", "err", err)
		return
	}
	l.planner.estimator.Import(learned, now)
}

// storeLearned stores what was learned about which images disturb each other, if it
// has changed. A failure is only logged, as the next change is stored soon.
func (l *Leader) storeLearned(ctx context.Context) {
	value, err := json.Marshal(l.planner.estimator.Export())
	if err != nil { // structs of strings and numbers always encode
		l.opts.Log.Error("Cannot encode what was learned about images.", "err", err)
		return
	}
	if bytes.Equal(value, l.storedLearned) {
		return
	}
	l.storedLearned = value
	txn := l.txn()
	txn.Put = []fleet.Write{{Key: fleet.LearnedKey, Value: value}}
	go func() {
		if _, err := l.opts.Store.Commit(ctx, txn); err != nil && ctx.Err() == nil {
			l.opts.Log.Warn("What was learned about images not stored.", "err", err)
		}
	}()
}

// apply applies one change of the watched keys to the ledger and the links. While
// loading it does not start new links; run does so once all are known.
func (l *Leader) apply(ctx context.Context, c fleet.Change, loading bool, now time.Time) {
	switch {
	case strings.HasPrefix(c.Key, fleet.JobBase):
		if c.Removed {
			delete(l.forgotten, strings.TrimPrefix(c.Key, fleet.JobBase))
			return
		}
		l.addJob(c.Value, c.Created, now)
	case strings.HasPrefix(c.Key, fleet.CancelBase):
		if !c.Removed {
			l.ledger.Cancel(strings.TrimPrefix(c.Key, fleet.CancelBase), now)
		}
	case strings.HasPrefix(c.Key, fleet.NodeBase):
		l.applyNode(ctx, strings.TrimPrefix(c.Key, fleet.NodeBase), c, loading)
	}
}

// addJob adds a stored job to the ledger, unless it is or was there. created is the store
// revision that created it. The job counts as inherited if an earlier leader could
// know it, and so may have started tasks of it.
func (l *Leader) addJob(value []byte, created uint64, now time.Time) {
	var job fleet.Job
	if err := json.Unmarshal(value, &job); err != nil {
		l.opts.Log.Error("Cannot decode a stored job.", "err", err)
		return
	}
	if deleted, forgotten := l.forgotten[job.ID]; l.ledger.Jobs[job.ID] != nil || forgotten && created <= deleted {
		return
	}
	if err := job.Validate(); err != nil {
		l.opts.Log.Error("Stored job cannot run.", "job", job.ID, "err", err)
		return
	}
	inherited := l.exclusiveSince == 0 || created <= l.exclusiveSince
	l.ledger.AddJob(job, inherited, now)
	if created > l.term {
		l.opts.Log.Info("job accepted", "job", job.ID, "queue", job.Queue, "steps", len(job.Steps), "age", now.Sub(job.Accepted).Round(time.Millisecond))
	}
}

// applyNode applies a change of the registration of a VM.
func (l *Leader) applyNode(ctx context.Context, name string, c fleet.Change, loading bool) {
	if c.Removed {
		if link := l.links[name]; link != nil {
			link.stop()
			delete(l.links, name)
			if n := l.ledger.Nodes[name]; n != nil {
				l.noteDeparture(n.Executor, time.Now())
			}
			l.ledger.RemoveNode(name)
		}
		return
	}
	if c.Revision <= l.removing[name] {
		return // read before its deletion was carried out
	}
	var record link.NodeRecord
	if err := json.Unmarshal(c.Value, &record); err != nil {
		l.opts.Log.Error("Cannot decode a registration.", "vm", name, "err", err)
		return
	}
	l.ledger.AddNode(name)
	if known := l.links[name]; known != nil {
		known.setAddress(record.Address)
		known.revision = max(known.revision, c.Revision)
		return
	}
	n := newNodeLink(record.Address)
	n.revision = c.Revision
	l.links[name] = n
	if !loading {
		go n.run(ctx, l, name)
	}
}
