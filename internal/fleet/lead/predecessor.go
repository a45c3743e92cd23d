package lead

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/fleet/quorum"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// A leader that ends without a handover record may be cut off from the store only, and
// then grants leases for termGrace. The next one waits as long for VMs out of reach, unless
// the agents show that the leases have ended (contact.go), or the entry that led says that it
// does not lead any more: it has been started anew, or has ended its term. Then no lease is
// granted later than that.

// lastLeaderTimeout is the time for which a campaign waits for the last leader's answer.
const lastLeaderTimeout = 300 * time.Millisecond

// predecessor bounds the effects of earlier leaders when a term begins.
type predecessor struct {
	maxLease       time.Duration // longest time that their leases may still last
	exclusiveSince uint64        // store revision from which on none of them orders starts; 0: not known
	// quorums are the sets of agents by which their leases that may last were granted. Empty:
	// some were granted without.
	quorums []quorum.Set
	// own are the sets of agents by which the last one has granted the leases that may last,
	// and left bounds those of the leaders before it. Empty: some were granted without.
	own  []quorum.Set
	left time.Duration
}

// mayBeOfEarlierVersion reports whether a leader of an earlier version may still order starts.
// Such leaders store no sets.
func (p predecessor) mayBeOfEarlierVersion() bool {
	return len(p.quorums) == 0 && p.exclusiveSince == 0
}

// lastTerm is what the store holds of the last term.
type lastTerm struct {
	handover, term fleet.Item // the items of HandoverKey and TermKey; no revision: there is none
}

// readLastTerm reads what the store holds of the last term.
func (e *Entry) readLastTerm(ctx context.Context) (lastTerm, error) {
	var last lastTerm
	for key, item := range map[string]*fleet.Item{fleet.HandoverKey: &last.handover, fleet.TermKey: &last.term} {
		var err error
		if *item, err = e.opts.Store.Get(ctx, key); err != nil && !isNotFound(err) {
			return last, fmt.Errorf("read %s: %w", key, err)
		}
	}
	return last, nil
}

// endOfLastLeader returns how long ago the last leader has certainly stopped to grant
// leases. It is asked after the records of its term were read, whose revisions are
// conditions of the election, so that it cannot have led again in between.
func (e *Entry) endOfLastLeader(ctx context.Context, last lastTerm) (ago time.Duration, known bool) {
	if last.term.Revision == 0 || last.term.Revision != last.handover.Revision {
		return 0, false // of another term
	}
	var record link.TermRecord
	if err := json.Unmarshal(last.term.Value, &record); err != nil {
		e.opts.Log.Error("Cannot decode the record of the last term.", "err", err)
		return 0, false
	}
	if !record.Alone {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, lastLeaderTimeout)
	defer cancel()
	asked := time.Now()
	leading := e.leading()
	if record.Address != e.opts.Advertise {
		reply, err := e.peers.ask(ctx, record.Address, &pb.FleetAsk{Kind: link.AskLeading})
		if err == nil {
			err = json.Unmarshal(reply.GetData(), &leading)
		}
		if err != nil {
			e.opts.Log.Warn("The last leader does not answer, its leases may last.", "address", record.Address, "err", err)
			return 0, false
		}
	}
	if leading.Leads {
		return 0, false
	}
	// The answer was true at some time after the question.
	return max(0, time.Duration(leading.ForMs)*time.Millisecond-time.Since(asked)), true
}

// leading answers AskLeading.
func (e *Entry) leading() link.Leading {
	if e.localLeader.Load() != nil {
		return link.Leading{Leads: true}
	}
	return link.Leading{ForMs: time.Duration(sinceStart() - e.ledUntil.Load()).Milliseconds()}
}

// answerLeading returns the reply to AskLeading.
func (e *Entry) answerLeading() (*pb.FleetReply, error) {
	raw, err := json.Marshal(e.leading())
	if err != nil {
		return nil, fmt.Errorf("encode the answer: %w", err)
	}
	return &pb.FleetReply{Data: raw}, nil
}

// sets returns the sets of agents by which leases that may last were granted, by all leaders and
// by the last one alone, and how long leases of the leaders before it may last from now on.
// There are no sets where some leases were granted without.
func (t lastTerm) sets() (all, own []quorum.Set, left time.Duration) {
	var handover *link.Handover
	if t.handover.Revision == 0 || json.Unmarshal(t.handover.Value, &handover) != nil {
		return nil, nil, 0 // predecessor logs what can't be decoded
	}
	if handover != nil {
		return handover.Quorums, handover.Own, time.Duration(handover.LeaseMs) * time.Millisecond
	}
	var term link.TermRecord
	if t.term.Revision != t.handover.Revision || json.Unmarshal(t.term.Value, &term) != nil {
		return nil, nil, 0
	}
	return term.Quorums, term.Own, time.Duration(term.LeftMs) * time.Millisecond
}

// predecessor returns the bounds that the handover record states, else those that follow
// from the end of the last leader if it is known, else the safe ones.
func (e *Entry) predecessor(handover fleet.Item, term uint64, ended time.Duration, endKnown bool) predecessor {
	p := predecessor{maxLease: maxLeaseDuration(e.opts.termGrace())}
	if handover.Revision == 0 {
		return p
	}
	var record *link.Handover
	if err := json.Unmarshal(handover.Value, &record); err != nil {
		e.opts.Log.Error("Cannot decode the handover record.", "err", err)
		return p
	}
	switch {
	case record != nil:
		p.maxLease = min(p.maxLease, time.Duration(record.LeaseMs)*time.Millisecond)
		if record.Exclusive {
			p.exclusiveSince = term
		}
	case endKnown:
		p.maxLease = max(0, min(p.maxLease, maxLeaseDuration(executorLease)-ended))
		p.exclusiveSince = term
	}
	return p
}

// termRecord returns the writes that a term begins with, or changes its record by. Both
// keys get one revision, which shows that they are of one term.
func (o Options) termRecord(s termState) ([]fleet.Write, error) {
	value, err := json.Marshal(link.TermRecord{Address: o.Advertise, Alone: s.alone, Quorums: s.quorums, Own: s.own, LeftMs: s.left.Milliseconds()})
	if err != nil {
		return nil, fmt.Errorf("encode the record of the term: %w", err)
	}
	// The old handover record covers earlier terms only.
	return []fleet.Write{{Key: fleet.HandoverKey, Value: noHandover}, {Key: fleet.TermKey, Value: value}}, nil
}
