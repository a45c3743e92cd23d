package lead

import (
	"context"
	"errors"
	"fmt"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
)

// txn returns a transaction that is applied only while this term lasts.
func (l *Leader) txn() fleet.Txn {
	return fleet.Txn{If: []fleet.Condition{{Key: fleet.LeaderKey, Revision: l.term}}}
}

// commit stores the progress of jobs. One commit is under way at a time.
func (l *Leader) commit(ctx context.Context, now time.Time) {
	if l.committing || now.Before(l.commitAfter) {
		return
	}
	records, err := l.ledger.Dirty(maxRecords)
	if err != nil {
		l.opts.Log.Error("Progress not stored.", "err", err)
		return
	}
	if len(records) == 0 {
		l.deleteForgotten(ctx)
		return
	}
	txn := l.txn()
	for _, r := range records {
		key := fleet.ProgressBase + r.Job
		txn.If = append(txn.If, fleet.Condition{Key: key, Revision: r.Revision})
		txn.Put = append(txn.Put, fleet.Write{Key: key, Value: r.Value})
	}
	l.committing = true
	go func() {
		sent := time.Now()
		revision, err := l.opts.Store.Commit(ctx, txn)
		l.post(ctx, func() { l.committed(sent, records, revision, err) })
	}()
}

func (l *Leader) committed(sent time.Time, records []ledger.Record, revision uint64, err error) {
	l.committing = false
	l.opts.Metrics.Commit.Observe(time.Since(sent))
	var conflict *fleet.ConflictError
	switch {
	case err == nil:
		l.verified = maxTime(l.verified, sent)
		l.ledger.Stored(records, revision)
	case errors.As(err, &conflict):
		l.conflict(records, conflict)
	default:
		l.opts.Log.Warn("Progress not stored, trying again.", "jobs", len(records), "err", err)
		l.commitAfter = time.Now().Add(commitRetry)
	}
}

// conflict resolves a commit that met other revisions: this leader's own commit
// without an answer, or a late one of an earlier leader, has been applied.
func (l *Leader) conflict(records []ledger.Record, conflict *fleet.ConflictError) {
	current := map[string]fleet.Item{}
	for _, item := range conflict.Current {
		current[item.Key] = item
	}
	if current[fleet.LeaderKey].Revision != l.term {
		l.depose(fmt.Errorf("%w: a commit met revision %d of the key", errDeposed, current[fleet.LeaderKey].Revision))
		return
	}
	for _, r := range records {
		item := current[fleet.ProgressBase+r.Job]
		l.ledger.Rebase(r.Job, item.Revision)
	}
}

// deleteForgotten removes the records of jobs that no caller may ask for.
func (l *Leader) deleteForgotten(ctx context.Context) {
	const keysPerJob = 3
	n := min(len(l.removing), (fleet.MaxTxn-1)/keysPerJob)
	if n == 0 {
		return
	}
	txn := l.txn()
	for _, id := range l.removing[:n] {
		txn.Delete = append(txn.Delete, fleet.JobBase+id, fleet.CancelBase+id, fleet.ProgressBase+id)
	}
	l.committing = true
	go func() {
		_, err := l.opts.Store.Commit(ctx, txn)
		l.post(ctx, func() {
			l.committing = false
			if err != nil {
				l.opts.Log.Warn("Records of old jobs not removed.", "jobs", n, "err", err)
				l.commitAfter = time.Now().Add(commitRetry)
				return
			}
			l.removing = l.removing[n:]
		})
	}()
}

// removeGone removes the registrations of VMs whose agents have not been heard
// of for a long time. Nothing runs there any more.
func (l *Leader) removeGone(ctx context.Context, now time.Time) {
	for name, n := range l.ledger.Nodes {
		link := l.links[name]
		if link == nil || link.up || len(n.Runs) > 0 || now.Sub(maxTime(n.Heard, l.began)) < goneAfter || now.Before(n.LeaseUntil) {
			continue
		}
		txn := l.txn()
		txn.Delete = []string{fleet.NodeBase + name}
		go func() {
			if _, err := l.opts.Store.Commit(ctx, txn); err != nil {
				l.opts.Log.Warn("Registration not removed.", "vm", name, "err", err)
				return
			}
			l.opts.Log.Info("VM removed, its agent is out of reach.", "vm", name)
		}()
	}
}
