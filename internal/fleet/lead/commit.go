package lead

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
)

// txn returns a transaction that the store applies only while this term lasts.
func (l *Leader) txn() fleet.Txn {
	return fleet.Txn{If: []fleet.Condition{{Key: fleet.LeaderKey, Revision: l.term}}}
}

// commit stores the changed progress of jobs, or deletes records if none has
// changed. A further commit starts while others are in flight only with a full
// transaction: so ends share transactions, and a slow answer delays no other job.
func (l *Leader) commit(ctx context.Context, now time.Time) {
	for l.commits < maxCommits && !now.Before(l.commitAfter) {
		if l.commits > 0 && l.ledger.Unstored() < maxRecords {
			return
		}
		records, err := l.ledger.Dirty(l.recordLimit)
		if err != nil {
			l.opts.Log.Error("Progress not stored.", "err", err)
		}
		if len(records) == 0 {
			l.deleteExpired(ctx)
			l.deleteExpiredCancels(ctx)
			return
		}
		l.commitRecords(ctx, records)
	}
}

// commitRecords stores records of the ledger in the background.
func (l *Leader) commitRecords(ctx context.Context, records []ledger.Record) {
	txn := l.txn()
	for _, r := range records {
		key := fleet.ProgressBase + r.Job
		txn.If = append(txn.If, fleet.Condition{Key: key, Revision: r.Revision})
		txn.Put = append(txn.Put, fleet.Write{Key: key, Value: r.Value})
	}
	l.commits++
	go func() {
		sent := time.Now()
		revision, err := l.opts.Store.Commit(ctx, txn)
		l.post(ctx, func() { l.handleCommit(sent, records, revision, err) })
	}()
}

// handleCommit handles the result of a commit that was sent at the given time.
func (l *Leader) handleCommit(sent time.Time, records []ledger.Record, revision uint64, err error) {
	l.commits--
	l.opts.Metrics.Commit.Observe(time.Since(sent))
	var conflict *fleet.ConflictError
	switch {
	case err == nil:
		l.confirm(sent)
		l.recordLimit = min(maxRecords, 2*l.recordLimit)
		l.ledger.Stored(records, revision)
		return
	case errors.As(err, &conflict):
		l.handleConflict(records, conflict)
	default:
		l.opts.Log.Warn("Progress not stored, trying again.", "jobs", len(records), "err", err)
		l.commitAfter = time.Now().Add(commitRetry)
		// The store may refuse one of them.
		l.recordLimit = max(1, len(records)/2)
	}
	l.ledger.NotStored(records)
}

// handleConflict handles a commit whose conditions did not hold. Either the term has
// ended, or the revisions have changed since an earlier commit was applied: one of
// this leader that got no answer, or a delayed one of an earlier leader. In the
// latter case the records are written again on top of the current revisions.
func (l *Leader) handleConflict(records []ledger.Record, conflict *fleet.ConflictError) {
	current := map[string]fleet.Item{}
	for _, item := range conflict.Current {
		current[item.Key] = item
	}
	if current[fleet.LeaderKey].Revision != l.term {
		l.depose(fmt.Errorf("%w: a commit found the key at revision %d", errDeposed, current[fleet.LeaderKey].Revision))
		return
	}
	for _, r := range records {
		item := current[fleet.ProgressBase+r.Job]
		l.ledger.Rebase(r.Job, item.Revision)
	}
}

// deleteExpired deletes the records of jobs whose retention has ended.
func (l *Leader) deleteExpired(ctx context.Context) {
	const keysPerJob = 3
	n := min(len(l.expiredJobs), (fleet.MaxTxn-1)/keysPerJob)
	if n == 0 || l.commits > 0 {
		return
	}
	txn := l.txn()
	for _, id := range l.expiredJobs[:n] {
		txn.Delete = append(txn.Delete, fleet.JobBase+id, fleet.CancelBase+id, fleet.ProgressBase+id)
	}
	l.commitDeletion(ctx, txn, func(revision uint64, err error) {
		if err != nil {
			l.opts.Log.Warn("Records of old jobs not removed.", "jobs", n, "err", err)
			return
		}
		for _, id := range l.expiredJobs[:n] {
			if _, ok := l.forgotten[id]; ok {
				l.forgotten[id] = revision
			}
		}
		l.expiredJobs = l.expiredJobs[n:]
	})
}

// deleteExpiredCancels deletes the cancellations of jobs that were not stored for as long as
// these are kept. A job that is stored and not known yet keeps its cancellation.
func (l *Leader) deleteExpiredCancels(ctx context.Context) {
	const entriesPerJob = 2
	n := min(len(l.expiredCancels), (fleet.MaxTxn-1)/entriesPerJob)
	if n == 0 || l.commits > 0 {
		return
	}
	txn := l.txn()
	for _, id := range l.expiredCancels[:n] {
		txn.If = append(txn.If, fleet.Condition{Key: fleet.JobBase + id})
		txn.Delete = append(txn.Delete, fleet.CancelBase+id)
	}
	l.commitDeletion(ctx, txn, func(_ uint64, err error) {
		var conflict *fleet.ConflictError
		switch {
		case err == nil:
			l.expiredCancels = l.expiredCancels[n:]
		case errors.As(err, &conflict):
			l.expiredCancels = slices.DeleteFunc(l.expiredCancels, func(id string) bool { return conflict.Has(fleet.JobBase + id) })
		default:
			l.opts.Log.Warn("Cancellations of jobs that were not stored not removed.", "jobs", n, "err", err)
		}
	})
}

// commitDeletion commits a deletion in the background and passes its result to handle in the
// event loop. After an error there is no further commit for commitRetry.
func (l *Leader) commitDeletion(ctx context.Context, txn fleet.Txn, handle func(revision uint64, err error)) {
	l.commits++
	go func() {
		revision, err := l.opts.Store.Commit(ctx, txn)
		l.post(ctx, func() {
			l.commits--
			if err != nil {
				l.commitAfter = time.Now().Add(commitRetry)
			}
			handle(revision, err)
		})
	}()
}

// deleteRegistration commits the deletion of a registration until it is carried out or no
// longer applies.
func (l *Leader) deleteRegistration(ctx context.Context, name string, txn fleet.Txn) {
	for ctx.Err() == nil {
		_, err := l.opts.Store.Commit(ctx, txn)
		if err == nil {
			l.opts.Log.Info("VM removed, its agent is out of reach.", "vm", name)
			return
		}
		l.opts.Log.Warn("Registration not removed.", "vm", name, "err", err)
		if errors.As(err, new(*fleet.ConflictError)) {
			return
		}
		fleet.Sleep(ctx, maintenanceInterval)
	}
}

// removeUnreachable deletes the registrations of VMs without runs and without a lease
// whose agents have been unreachable for removeNodeAfter. The leader opens no session to
// such a VM before its agent has written the registration again, which voids the deletion:
// a VM that runs tasks has to be registered, or the next leader does not know of it.
func (l *Leader) removeUnreachable(ctx context.Context, now time.Time) {
	for name, n := range l.ledger.Nodes {
		link := l.links[name]
		if link == nil || link.connected || len(n.Runs) > 0 || now.Sub(maxTime(n.ReportedAt, l.began)) < removeNodeAfter || now.Before(n.LeaseEnd()) {
			continue
		}
		txn := l.txn()
		key := fleet.NodeBase + name
		txn.If = append(txn.If, fleet.Condition{Key: key, Revision: link.revision})
		txn.Delete = []string{key}
		l.removing[name] = link.revision
		l.applyNode(ctx, name, fleet.Change{Removed: true}, false)
		go l.deleteRegistration(ctx, name, txn)
	}
}
