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

// Times of the election.
const (
	// storeLease is how long the key of a leader that has died stays. It leaves
	// two renewals to be lost or late.
	storeLease    = 2 * time.Second
	campaignRetry = 200 * time.Millisecond
	leaderWatch   = 1500 * time.Millisecond
	// yieldTime is how much longer an entry without processors waits before it
	// campaigns than one with a whole core: the leader needs most.
	yieldTime    = 250 * time.Millisecond
	handOverTime = 500 * time.Millisecond // to remove the key at a graceful stop
)

// elect keeps the entry informed of the leader, and leads when there is none.
func (e *Entry) elect(ctx context.Context) {
	for ctx.Err() == nil {
		item, err := e.opts.Store.Get(ctx, fleet.LeaderKey)
		switch {
		case err == nil:
			e.follow(ctx, item)
		case isNotFound(err):
			if e.leaving.Load() {
				fleet.Pause(ctx, campaignRetry)
				continue
			}
			fleet.Pause(ctx, time.Duration(max(0, 1-e.opts.CPUShare)*float64(yieldTime)))
			if err := e.campaign(ctx); err != nil && ctx.Err() == nil {
				e.opts.Log.Warn("Not elected.", "err", err)
				fleet.Pause(ctx, campaignRetry)
			}
		default:
			fleet.Pause(ctx, campaignRetry)
		}
	}
}

// follow takes note of the leader and waits until its key changes.
func (e *Entry) follow(ctx context.Context, item fleet.Item) {
	var record link.LeaderRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		e.opts.Log.Error("The leader's record is not readable.", "err", err)
		fleet.Pause(ctx, campaignRetry)
		return
	}
	e.setLeader(record, item.Revision)
	if record.Node == e.opts.Node && !e.leaving.Load() {
		e.removeOwnKey(ctx, item.Revision)
		return
	}
	after := item.Revision
	for ctx.Err() == nil {
		changes, next, err := e.opts.Store.Watch(ctx, fleet.LeaderKey, after, leaderWatch)
		if err != nil {
			fleet.Pause(ctx, campaignRetry)
			return
		}
		if len(changes) > 0 {
			return
		}
		if next == after { // no change within the wait: read once more, a watch may miss one
			return
		}
		after = next
	}
}

// removeOwnKey removes the key of an earlier life of this entry, or of a term
// that it has given up, instead of waiting for its lease.
func (e *Entry) removeOwnKey(ctx context.Context, revision uint64) {
	_, err := e.opts.Store.Commit(ctx, fleet.Txn{
		If: []fleet.Condition{{Key: fleet.LeaderKey, Revision: revision}}, Delete: []string{fleet.LeaderKey},
	})
	if err != nil {
		e.opts.Log.Warn("Own earlier key of the leader not removed.", "err", err)
		fleet.Pause(ctx, campaignRetry)
	}
}

// campaign tries to become the leader, and leads until the term ends.
func (e *Entry) campaign(ctx context.Context) error {
	value, err := json.Marshal(link.LeaderRecord{Node: e.opts.Node, Address: e.opts.Advertise})
	if err != nil {
		return fmt.Errorf("encode the leader's record: %w", err)
	}
	handover, err := e.opts.Store.Get(ctx, fleet.HandoverKey)
	if err != nil && !isNotFound(err) {
		return fmt.Errorf("handover: %w", err)
	}
	lease, err := e.opts.Store.GrantLease(ctx, max(storeLease, e.opts.StoreLease))
	if err != nil {
		return fmt.Errorf("lease of the leader's key: %w", err)
	}
	sent := time.Now()
	term, err := e.opts.Store.Commit(ctx, fleet.Txn{
		If: []fleet.Condition{{Key: fleet.LeaderKey}, {Key: fleet.HandoverKey, Revision: handover.Revision}},
		Put: []fleet.Write{
			{Key: fleet.LeaderKey, Value: value, Lease: lease},
			{Key: fleet.HandoverKey, Value: noHandover}, // the old one speaks for earlier terms only
		},
	})
	if err != nil {
		e.endLease(lease)
		var conflict *fleet.ConflictError
		if errors.As(err, &conflict) {
			return nil // another entry was first
		}
		return fmt.Errorf("leader's key: %w", err)
	}
	leader := newLeader(e.opts, term, lease, sent, e.predecessor(handover, term))
	e.setLeader(link.LeaderRecord{Node: e.opts.Node, Address: e.opts.Advertise}, term)
	e.leading.Store(leader)
	err = leader.run(ctx)
	e.leading.Store(nil)
	e.opts.Log.Warn("Leading ends.", "term", term, "why", err)
	e.stepDown(leader)
	e.endLease(lease)
	return nil
}

// noHandover is the record during a term, an empty one.
var noHandover = []byte("null")

// predecessor returns what may be left of earlier leaders.
func (e *Entry) predecessor(handover fleet.Item, term uint64) predecessor {
	p := predecessor{lease: lasting(e.opts.MaxLease)}
	if handover.Revision == 0 {
		return p
	}
	var record *link.Handover
	if err := json.Unmarshal(handover.Value, &record); err != nil {
		e.opts.Log.Error("Handover is not readable.", "err", err)
		return p
	}
	if record == nil { // the leader has not stepped down
		return p
	}
	p.lease = min(p.lease, time.Duration(record.LeaseMs)*time.Millisecond)
	if record.Alone {
		p.exclusive = term
	}
	return p
}

// stepDown removes the leader's key and tells the next leader what is left of
// the term. A leader that has been deposed has nothing to hand over.
func (e *Entry) stepDown(l *Leader) {
	value, err := json.Marshal(l.handover(time.Now()))
	if err != nil { // a struct of a number and a bool always encodes
		e.opts.Log.Error("Handover not encoded.", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTime)
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

// endLease removes the leader's key, so that another entry may lead at once.
func (e *Entry) endLease(lease uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTime)
	defer cancel()
	if err := e.opts.Store.EndLease(ctx, lease); err != nil {
		e.opts.Log.Warn("Lease of the leader's key not ended.", "err", err)
	}
}
