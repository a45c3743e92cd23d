package lead

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/quorum"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// A leader grants leases, and orders starts, only while it is in contact with a quorum of
// the agents of its set, which the record of its term holds. So the next leader learns from
// the agents when no lease of an earlier one lasts any more, also if that one does not answer.

const (
	// contactGrace is how long after its last contact with a quorum a leader goes on to
	// grant leases. Agents report every 0.3 s, so that most leases have their full length.
	contactGrace = executorLease + 500*time.Millisecond
	// staleContact is the age of a contact from which on it counts as lost.
	staleContact = time.Second
	// contactLostFor is how long the contact with a quorum is lost before the leader turns
	// to the agents that it can reach. Leases end later.
	contactLostFor = 400 * time.Millisecond
	// contactCacheTime bounds how often the contact is computed, which takes time for each VM.
	contactCacheTime = 50 * time.Millisecond
	recordRetry      = 500 * time.Millisecond
	// leftStep is the step in which a term states what is left of the leases of earlier ones.
	// Each one is a write, until these leases have expired.
	leftStep = time.Second
)

// contacts is by which agents a term grants leases, and what they say of earlier leaders.
type contacts struct {
	sets quorum.Sets // the current one is stored
	// heard holds, by the address of an agent, when it last heard from an earlier leader.
	heard map[string]time.Time

	last       time.Time // contact with a quorum; zero: none
	computedAt time.Time
	lostSince  time.Time // when the contact was first found lost; zero: it is not

	revision   uint64 // of the record of the term
	stored     termState
	unsure     bool // the record may be another one than stored
	recording  bool
	retryAfter time.Time
}

// termState is what the record of a term says besides its entry.
type termState struct {
	alone   bool // no lease of an earlier leader lasts
	quorums []quorum.Set
	own     []quorum.Set  // of this term
	left    time.Duration // of leases of earlier terms, if own is not empty
}

func (s termState) equal(o termState) bool {
	equal := func(a, b []quorum.Set) bool { return slices.EqualFunc(a, b, quorum.Set.Equal) }
	return s.alone == o.alone && s.left == o.left && equal(s.quorums, o.quorums) && equal(s.own, o.own)
}

// newContacts returns the contacts of a term that begins, whose record has the given revision.
func newContacts(before predecessor, began time.Time, revision uint64) contacts {
	return contacts{
		sets: quorum.Inherit(before.quorums, before.own, began), heard: map[string]time.Time{}, revision: revision,
		stored: termState{quorums: before.quorums},
	}
}

// contact returns when a frame was last sent to a quorum of the set that it is known to
// have received. It reports false if there is no such contact.
func (l *Leader) contact(now time.Time) (time.Time, bool) {
	c := &l.contacts
	if c.computedAt.IsZero() || now.Sub(c.computedAt) >= contactCacheTime {
		received := make(map[string]time.Time, len(l.links))
		for _, n := range l.links {
			if !n.contact.At().IsZero() {
				received[n.contact.Address()] = n.contact.At()
			}
		}
		c.last, _ = c.sets.Current().Contact(received)
		c.computedAt = now
	}
	return c.last, !c.last.IsZero()
}

// contactLeft returns for how long leases may be granted, and starts ordered, as of the last
// contact with a quorum.
func (l *Leader) contactLeft(now time.Time) time.Duration {
	if l.contacts.sets.Current() == nil {
		return math.MaxInt64
	}
	last, ok := l.contact(now)
	if !ok {
		return 0
	}
	return contactGrace - l.elapsed(last, l.wallOffset(last), now)
}

// hearOfEarlierLeaders records what the first report of a session says of earlier leaders. It
// holds for good: an agent that is started anew counts for none of them, as none is confirmed
// any more.
func (l *Leader) hearOfEarlierLeaders(address string, m *pb.NodeReport, now time.Time) {
	if l.contacts.stored.alone || len(l.predecessor.quorums)+len(l.predecessor.own) == 0 {
		return // surveyEarlierLeaders needs it no more; agents come and go during a term
	}
	if _, known := l.contacts.heard[address]; !known && m.GetProcess() != 0 {
		l.contacts.heard[address] = now.Add(-time.Duration(m.GetEarlierLeaderMs()) * time.Millisecond)
	}
}

// surveyEarlierLeaders bounds the leases of earlier leaders by what agents say.
func (l *Leader) surveyEarlierLeaders() {
	if l.contacts.stored.alone {
		return
	}
	if end, ok := l.endOfLeases(l.predecessor.quorums); ok {
		l.endEarlierLeases(end)
	}
	// The leases of the leaders before the last one are bounded by what that one has counted.
	if end, ok := l.endOfLeases(l.predecessor.own); ok {
		l.endEarlierLeases(maxTime(end, l.began.Add(l.predecessor.left)))
	}
}

// endOfLeases returns when the leases that earlier leaders have granted by some sets have
// expired. It reports false if there are no sets, or too few of their agents have followed.
func (l *Leader) endOfLeases(sets []quorum.Set) (time.Time, bool) {
	var last time.Time
	for _, set := range sets {
		at, ok := set.LastContact(l.contacts.heard)
		if !ok {
			return time.Time{}, false
		}
		last = maxTime(last, at)
	}
	return last.Add(maxLeaseDuration(contactGrace)), len(sets) > 0
}

func (l *Leader) endEarlierLeases(end time.Time) {
	l.predecessor.maxLease = min(l.predecessor.maxLease, max(0, end.Sub(l.began)))
	l.ledger.EndEarlierLeases(end)
}

// earlierLeasesLeft returns what is left of the leases of earlier leaders, rounded up.
func (l *Leader) earlierLeasesLeft(now time.Time) time.Duration {
	left := max(0, l.predecessor.maxLease-now.Sub(l.began))
	return (left + leftStep - 1).Truncate(leftStep)
}

// maintainRecord stores the record of the term when it has to change: as the agents in
// contact change, and once leases that were granted otherwise have expired.
func (l *Leader) maintainRecord(ctx context.Context, now time.Time) {
	c := &l.contacts
	next, change := l.nextSet(now)
	if c.recording || now.Before(c.retryAfter) {
		return
	}
	alone := l.isAlone(now)
	expired := now.Add(-maxLeaseDuration(contactGrace)) // leases by sets that were replaced before
	if alone {
		c.sets.Expire(expired)
	}
	state := termState{alone: alone, quorums: c.sets.All(), own: c.sets.Own(expired)}
	if change {
		state.quorums, state.own = c.sets.AllAfter(next), c.sets.OwnAfter(next, expired)
	}
	if len(state.own) > 0 {
		state.left = l.earlierLeasesLeft(now)
	}
	if l.ledger.HasForeignLease(now) {
		state = termState{}
	}
	if !change && !c.unsure && state.equal(c.stored) {
		return
	}
	writes, err := l.opts.termRecord(state)
	if err != nil {
		l.opts.Log.Error("Record of the term not changed.", "err", err)
		return
	}
	txn := l.txn()
	// An earlier change without an answer may be carried out late, but not after this one.
	txn.If = append(txn.If, fleet.Condition{Key: fleet.TermKey, Revision: c.revision})
	txn.Put = writes
	c.recording = true
	go func() {
		revision, err := l.opts.Store.Commit(ctx, txn)
		l.post(ctx, func() {
			c.recording = false
			if err != nil {
				c.recordFailed(err)
				l.opts.Log.Warn("Record of the term not changed, trying again.", "err", err)
				return
			}
			c.revision, c.stored, c.unsure = revision, state, false
			if change {
				c.sets.Replace(next, time.Now())
				c.computedAt = time.Time{}
				l.opts.Log.Info("Agents that bound leases have changed.", "term", l.term, "agents", len(next), "sets", len(state.quorums))
			}
		})
	}()
}

// recordFailed handles a change of the record that has failed. One without an answer may be
// in the store, or be carried out until the next one. Its sets include the one in use.
func (c *contacts) recordFailed(err error) {
	c.retryAfter, c.unsure = time.Now().Add(recordRetry), true
	var conflict *fleet.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	for _, item := range conflict.Current {
		if item.Key == fleet.TermKey {
			c.revision = item.Revision
		}
	}
}

// nextSet returns the set to be used next, and whether it is another one. The set follows
// the agents in contact when they have changed by more than a tenth. It then holds a quorum
// of the current one, unless the contact with that is lost for contactLostFor.
func (l *Leader) nextSet(now time.Time) (quorum.Set, bool) {
	c := &l.contacts
	lost := false
	if last, ok := l.contact(now); ok && now.Sub(last) <= staleContact {
		c.lostSince = time.Time{}
	} else if c.lostSince.IsZero() {
		c.lostSince = now
	} else {
		lost = now.Sub(c.lostSince) >= contactLostFor
	}
	// While the contact is lost, as at the beginning of a term, those in contact are few.
	due := c.lostSince.IsZero() && now.Sub(l.lastMaintenance) > maintenanceInterval
	if !lost && !due {
		return nil, false
	}
	current, longest := c.sets.Current(), contactGrace
	if lost {
		longest = staleContact
	}
	next, older := l.inContact(now, longest)
	switch {
	case len(next) == 0 && older == 0:
		return nil, false
	case older > len(next):
		return nil, current != nil
	case lost:
		return next, !next.Equal(current)
	}
	return next, next.Changes(current) > len(current)/10
}

// inContact returns the connected agents whose latest contact is no older than longest, and
// the number of those of earlier versions, which don't tell what they have received.
func (l *Leader) inContact(now time.Time, longest time.Duration) (current quorum.Set, older int) {
	var addresses []string
	for _, n := range l.links {
		switch {
		case !n.connected:
		case n.contact.IsSilent():
			older++
		case now.Sub(n.contact.At()) <= longest:
			addresses = append(addresses, n.contact.Address())
		}
	}
	return quorum.New(addresses), older
}
