package lead

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/link"
)

// Timing of the election.
const (
	// storeLease is the lease of the leader's key, and so how long the key of a
	// crashed leader remains. Two renewals may be lost or late.
	storeLease         = 2 * time.Second
	campaignRetry      = 200 * time.Millisecond
	leaderWatchTimeout = 1500 * time.Millisecond
	// campaignDelay is the delay before an entry without any CPU share campaigns. It
	// shrinks to 0 for a whole core, as the leader needs the most CPU.
	campaignDelay   = 250 * time.Millisecond
	handoverTimeout = 500 * time.Millisecond // limit of each store call at the end of a term
)

// elect follows the current leader, and campaigns when there is none.
func (e *Entry) elect(ctx context.Context) {
	for ctx.Err() == nil {
		item, err := e.opts.Store.Get(ctx, fleet.LeaderKey)
		switch {
		case err == nil:
			e.follow(ctx, item)
		case isNotFound(err):
			if e.leaving.Load() {
				fleet.Sleep(ctx, campaignRetry)
				continue
			}
			fleet.Sleep(ctx, time.Duration(max(0, 1-e.opts.CPUShare)*float64(campaignDelay)))
			if err := e.campaign(ctx); err != nil && ctx.Err() == nil {
				e.opts.Log.Warn("Not elected.", "err", err)
				fleet.Sleep(ctx, campaignRetry)
			}
		default:
			fleet.Sleep(ctx, campaignRetry)
		}
	}
}

// follow records the current leader and waits until its key changes.
func (e *Entry) follow(ctx context.Context, item fleet.Item) {
	var record link.LeaderRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		e.opts.Log.Error("Cannot decode the leader's record.", "err", err)
		fleet.Sleep(ctx, campaignRetry)
		return
	}
	e.setLeader(record, item.Revision)
	if record.Node == e.opts.Node && !e.leaving.Load() {
		e.removeOwnKey(ctx, item.Revision)
		return
	}
	after := max(item.Revision, item.AsOf) // the store may have dropped the history after the revision
	for ctx.Err() == nil {
		changes, next, err := e.opts.Store.Watch(ctx, fleet.LeaderKey, after, leaderWatchTimeout)
		if err != nil {
			fleet.Sleep(ctx, campaignRetry)
			return
		}
		if len(changes) > 0 {
			return
		}
		if next == after { // no progress within the wait: read the key again, a watch may miss a change
			return
		}
		after = next
	}
}

// removeOwnKey deletes a leader's key left by an earlier process of this entry, or
// by a term that it has ended, instead of waiting for its lease to expire.
func (e *Entry) removeOwnKey(ctx context.Context, revision uint64) {
	_, err := e.opts.Store.Commit(ctx, fleet.Txn{
		If: []fleet.Condition{{Key: fleet.LeaderKey, Revision: revision}}, Delete: []string{fleet.LeaderKey},
	})
	if err != nil {
		e.opts.Log.Warn("Own leader's key of an earlier term not removed.", "err", err)
		fleet.Sleep(ctx, campaignRetry)
	}
}

// campaign tries to become the leader, and if elected leads until the term ends. It
// returns nil if another entry was elected.
func (e *Entry) campaign(ctx context.Context) error {
	value, err := json.Marshal(link.LeaderRecord{Node: e.opts.Node, Address: e.opts.Advertise})
	if err != nil {
		return fmt.Errorf("encode the leader's record: %w", err)
	}
	last, err := e.readLastTerm(ctx)
	if err != nil {
		return err
	}
	ended, endKnown := e.endOfLastLeader(ctx, last)
	asked := time.Now()
	quorums, own, left := last.sets()
	record, err := e.opts.termRecord(termState{quorums: quorums})
	if err != nil {
		return err
	}
	lease, err := e.opts.Store.GrantLease(ctx, max(storeLease, e.opts.StoreLease))
	if err != nil {
		return fmt.Errorf("grant the lease of the leader's key: %w", err)
	}
	sent := time.Now()
	term, err := e.opts.Store.Commit(ctx, fleet.Txn{
		If:  []fleet.Condition{{Key: fleet.LeaderKey}, {Key: fleet.HandoverKey, Revision: last.handover.Revision}},
		Put: append(record, fleet.Write{Key: fleet.LeaderKey, Value: value, Lease: lease}),
	})
	if err != nil {
		e.endLease(lease)
		var conflict *fleet.ConflictError
		if errors.As(err, &conflict) {
			return nil // another entry was first
		}
		return fmt.Errorf("write the leader's key: %w", err)
	}
	before := e.predecessor(last.handover, term, ended+time.Since(asked), endKnown)
	before.quorums, before.own, before.left = quorums, own, left
	leader := newLeader(e.opts, term, lease, sent, before)
	e.setLeader(link.LeaderRecord{Node: e.opts.Node, Address: e.opts.Advertise}, term)
	e.localLeader.Store(leader)
	err = leader.run(ctx)
	e.ledUntil.Store(sinceStart())
	e.localLeader.Store(nil)
	e.opts.Log.Warn("Leading ends.", "term", term, "why", err)
	e.stepDown(leader)
	e.endLease(lease)
	return nil
}

// noHandover is the value of the handover key during a term.
var noHandover = []byte("null")

// stepDown deletes the leader's key and writes the handover record for the next
// leader. The store does neither if another leader has been elected, as a deposed
// one has nothing to hand over.
func (e *Entry) stepDown(l *Leader) {
	value, err := json.Marshal(l.handover(time.Now()))
	if err != nil { // a struct of a number and a bool always encodes
		e.opts.Log.Error("Cannot encode the handover record.", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	txn := l.txn()
	txn.Put = []fleet.Write{{Key: fleet.HandoverKey, Value: value}}
	txn.Delete = []string{fleet.LeaderKey}
	_, err = e.opts.Store.Commit(ctx, txn)
	var conflict *fleet.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		e.opts.Log.Warn("Leadership not handed over.", "term", l.term, "err", err)
	}
}

// endLease ends the lease of the leader's key, which deletes the key, so that
// another entry can be elected at once.
func (e *Entry) endLease(lease uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := e.opts.Store.EndLease(ctx, lease); err != nil {
		e.opts.Log.Warn("Lease of the leader's key not ended.", "err", err)
	}
}
