package lead

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/fleet/quorum"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// contactFixture is a leader with sessions, as of a time that the test sets.
type contactFixture struct {
	*Leader
	t    *testing.T
	slow *slowStore
	now  time.Time
}

// newContactFixture returns a leader that grants leases by the agents with the given
// addresses, which are also the names of their VMs.
func newContactFixture(t *testing.T, addresses ...string) *contactFixture {
	slow := &slowStore{}
	l := newLoadingLeader(t, slow, 0)
	l.contacts = newContacts(predecessor{quorums: []quorum.Set{quorum.New(addresses)}}, l.began, l.term)
	f := &contactFixture{l, t, slow, l.began.Add(time.Second)}
	for _, address := range addresses {
		f.session(address)
	}
	return f
}

// session begins a session with an agent.
func (f *contactFixture) session(address string) {
	if f.links[address] == nil {
		f.ledger.AddNode(address)
		f.links[address] = newNodeLink(address)
	}
	n := f.links[address]
	n.connected, n.cancel, n.lastReport = true, func() {}, 0
	n.contact.Begin(address, f.now)
}

// report handles the first report of a session.
func (f *contactFixture) report(address string, process uint64, earlier time.Duration) {
	f.handleReport(f.links[address], address, link.Report(1, ledger.Report{}, 0, link.Introduction{Process: process, EarlierLeader: earlier}).GetNodeReport())
}

// nextSetAt maintains the record of the term at a time and returns the set in use then.
func (f *contactFixture) nextSetAt(now time.Time) quorum.Set {
	f.maintainRecord(f.t.Context(), now)
	if f.contacts.recording {
		f.handle(<-f.events)
	}
	return f.contacts.sets.Current()
}

// lease returns the lease that the VM is granted at a time.
func (f *contactFixture) lease(vm string, now time.Time) time.Duration {
	f.contacts.computedAt = time.Time{}
	n := f.links[vm]
	n.pendingReport = n.answered + 1
	return f.grant(f.ledger.Nodes[vm], n, now)
}

// Guards against a leader that is cut off with a few VMs and grants leases which the next
// leader takes for expired.
func TestLeaderGrantsLeasesOnlyInContactWithAQuorum(t *testing.T) {
	f := newContactFixture(t, "a", "b", "c")
	f.report("a", 1, 0)
	f.confirm(time.Now())
	require.Zero(t, f.lease("a", f.now), "one of three")
	f.report("b", 2, 0)
	require.Zero(t, f.lease("a", f.now), "the other one may have followed a later leader since the store confirmed the term")
	f.confirm(time.Now())
	require.Equal(t, executorLease, f.lease("a", f.now))
	require.Less(t, f.lease("a", f.now.Add(time.Second)), executorLease)
	last := f.now
	require.False(t, f.ledger.Nodes["a"].LeaseUntil.After(last.Add(maxLeaseDuration(contactGrace))))
	require.Zero(t, f.lease("a", f.now.Add(contactGrace)))

	f.wallOffset = func(now time.Time) time.Duration {
		if now.After(last) {
			return contactGrace
		}
		return 0
	}
	require.Zero(t, f.lease("a", f.now.Add(time.Millisecond)), "the VM was suspended")
}

// Guards against tasks that end at once because they were started after a restart of all VMs
// without a lease: the lists had been answered before the leader was in contact.
func TestFirstStartsCarryALease(t *testing.T) {
	f := newContactFixture(t, "a", "b")
	n, node := f.links["a"], f.ledger.Nodes["a"]
	n.outbox = make(chan *pb.Frame, 4)
	lists := ledger.Report{Executor: &fleet.Executor{Instance: "a@1"}, Listed: true}
	f.handleReport(n, "a", link.Report(1, lists, 0, link.Introduction{Process: 1}).GetNodeReport())
	f.dispatch(t.Context())
	first := (<-n.outbox).GetOrders()
	require.Equal(t, uint64(1), first.GetReport(), "the answer shows the contact")
	require.Zero(t, first.GetLeaseMs())
	f.ledger.Report(node, lists, time.Now())
	f.dispatch(t.Context())
	require.Empty(t, n.outbox, "it was answered")

	f.report("b", 2, 0)
	f.confirm(time.Now())
	f.contacts.computedAt = time.Time{}
	f.ledger.AddJob(fleet.Job{ID: "job", Steps: []fleet.Step{{Count: 1}}}, false, time.Now())
	f.ledger.Start(f.ledger.Jobs["job"].Occurrences[0].Steps[0].Tasks[0], node, "", time.Now())
	f.dispatch(t.Context())
	second := (<-n.outbox).GetOrders()
	require.Len(t, second.GetStarts(), 1)
	require.Equal(t, uint64(1), second.GetReport())
	require.Positive(t, second.GetLeaseMs())
}

// Guards against an agent that was started anew, and has forgotten that it followed a later
// leader, but counts for the quorum of an earlier one.
func TestAgentStartedAnewCountsOnceTheTermIsConfirmed(t *testing.T) {
	f := newContactFixture(t, "a", "b", "c")
	f.report("a", 1, 0)
	f.report("b", 2, 0)
	f.confirm(time.Now())
	f.now = f.now.Add(3 * time.Second)
	f.session("a")
	f.report("a", 1, 0)
	f.session("b")
	f.report("b", 3, 0)
	require.Less(t, f.lease("a", f.now), 2*time.Second, "another process")
	f.session("b")
	f.report("b", 2, 0)
	require.Equal(t, executorLease, f.lease("a", f.now), "the process that followed this leader before")
}

// Guards against a wait of 10 s for a VM that is silent although the agents show that no
// earlier leader can have extended its lease, and against a bound by too few of them.
func TestAgentsBoundTheLeasesOfEarlierLeaders(t *testing.T) {
	f := newContactFixture(t)
	longest := maxLeaseDuration(handoverMaxLease)
	reset := func(sets ...quorum.Set) {
		f.predecessor = predecessor{maxLease: longest, quorums: sets}
		f.ledger = ledger.New(ledger.Options{Takeover: f.began, MaxLease: longest, Log: func(ledger.Event) {}})
		f.contacts.heard = map[string]time.Time{}
	}
	hear := func(address string, ago time.Duration) {
		f.hearOfEarlierLeaders(address, &pb.NodeReport{Process: 1, EarlierLeaderMs: uint64(ago.Milliseconds())}, f.began)
		f.surveyEarlierLeaders()
	}
	abc := quorum.New([]string{"a", "b", "c"})
	reset(abc)
	hear("a", 2*time.Second)
	hear("other", 2*time.Second)
	require.Equal(t, longest, f.predecessor.maxLease, "one of three")
	hear("b", time.Second)
	require.Equal(t, maxLeaseDuration(contactGrace)-time.Second, f.predecessor.maxLease)
	require.Equal(t, f.began.Add(f.predecessor.maxLease), f.ledger.EarlierLeasesEnd())
	hear("c", 2*time.Second)
	require.Equal(t, maxLeaseDuration(contactGrace)-2*time.Second, f.predecessor.maxLease)
	hear("a", 0)
	require.Equal(t, f.began.Add(f.predecessor.maxLease), f.ledger.EarlierLeasesEnd(), "started anew since")

	reset(abc, quorum.New([]string{"d"}))
	hear("a", 2*time.Second)
	hear("b", 2*time.Second)
	require.Equal(t, longest, f.predecessor.maxLease, "leases by another set may last")
	reset()
	hear("a", 2*time.Second)
	require.Equal(t, longest, f.predecessor.maxLease, "leases may have been granted without")
}

// Guards against a set of agents by which leases are granted before it is stored, or whose
// record a late change replaces.
func TestSetOfAgentsIsUsedOnceItIsStored(t *testing.T) {
	f := newContactFixture(t, "a", "b", "c")
	f.exclusiveSince = 1
	store := f.slow.Store.(*standin.Store)
	quorums := func() (sets []quorum.Set) {
		item, err := store.Get(t.Context(), fleet.TermKey)
		require.NoError(t, err)
		var record link.TermRecord
		require.NoError(t, json.Unmarshal(item.Value, &record))
		return record.Quorums
	}
	f.report("a", 1, 0)
	f.confirm(time.Now())
	f.maintainRecord(t.Context(), f.now)
	f.handle(<-f.events)
	abc, onlyA := quorum.New([]string{"a", "b", "c"}), quorum.New([]string{"a"})
	require.Equal(t, []quorum.Set{abc}, quorums())

	store.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	f.now = f.now.Add(contactLostFor)
	f.maintainRecord(t.Context(), f.now)
	f.handle(<-f.events)
	require.Equal(t, []quorum.Set{onlyA, abc}, quorums())
	require.Equal(t, abc, f.contacts.sets.Current(), "it is not known that the record is stored")
	stale := f.contacts.revision
	for range 2 { // the first one finds the change
		f.contacts.retryAfter = time.Time{}
		f.maintainRecord(t.Context(), f.now)
		f.handle(<-f.events)
	}
	require.NotEqual(t, stale, f.contacts.revision)
	require.Equal(t, onlyA, f.contacts.sets.Current())
	require.Equal(t, []quorum.Set{onlyA, abc}, quorums(), "leases by the earlier set may last")
	f.now = f.now.Add(maxLeaseDuration(contactGrace) + time.Second)
	f.session("a")
	f.report("a", 1, 0)
	f.maintainRecord(t.Context(), f.now)
	f.handle(<-f.events)
	require.Equal(t, []quorum.Set{onlyA}, quorums())
}

// Guards against a set of the few agents whose sessions begin first: with these lost beside the
// leader, the next one would wait for VMs out of reach as if it knew of no set (LOST).
func TestSetOfAgentsIsKeptWhileSessionsBegin(t *testing.T) {
	f := newContactFixture(t, "a", "b", "c", "d", "e")
	before := f.contacts.sets.Current()
	changed := func(after time.Duration, addresses ...string) bool {
		f.now = f.began.Add(after)
		for _, address := range addresses {
			f.session(address)
			f.report(address, uint64(address[0]), 0)
		}
		f.confirm(time.Now())
		f.contacts.computedAt = time.Time{}
		f.maintainRecord(t.Context(), f.now)
		if f.contacts.recording {
			f.handle(<-f.events)
		}
		return !f.contacts.sets.Current().Equal(before)
	}
	require.False(t, changed(tickInterval, "a"))
	require.False(t, changed(contactLostFor, "a", "b", "c", "d"), "a quorum is in contact")
	require.True(t, changed(maintenanceInterval+time.Millisecond, "a", "b", "c", "d"))
}

// Guards against a takeover that begins with the few agents that connect first as its set, and
// then waits 10 s for any of them that is lost beside the leader.
func TestFirstAgentsOfATakeoverAreNotItsSet(t *testing.T) {
	f := newContactFixture(t, "a", "b", "c", "d", "e")
	f.lastMaintenance = time.Time{}
	f.report("a", 1, 0)
	f.confirm(time.Now())
	require.Len(t, f.nextSetAt(f.now), 5, "one of five agents is the next set")
}

// Guards against a set that shrinks to a few agents because maintenance is due during a short
// loss of contact.
func TestSetDoesNotShrinkToAMinorityWhileMaintenanceIsDue(t *testing.T) {
	f := newContactFixture(t, "a", "b", "c", "d", "e")
	for i, agent := range []string{"a", "b", "c", "d", "e"} {
		f.report(agent, uint64(i+1), 0)
	}
	f.confirm(time.Now())
	f.now = f.now.Add(staleContact + 100*time.Millisecond)
	f.session("a")
	f.report("a", 1, 0)
	f.lastMaintenance = f.now.Add(-2 * maintenanceInterval)
	require.Len(t, f.nextSetAt(f.now), 5, "the contact with the others was lost for 0.1 s only")
	f.now = f.now.Add(contactLostFor)
	require.Equal(t, quorum.New([]string{"a"}), f.nextSetAt(f.now), "it is lost")
}

// Guards against a term that keeps an entry for the address of each agent that comes and goes.
func TestAgentsAreNotHeardOnceNoEarlierLeaseLasts(t *testing.T) {
	f := newContactFixture(t, "a", "b")
	f.predecessor.quorums = []quorum.Set{quorum.New([]string{"a", "b"})}
	f.report("a", 1, time.Second)
	require.Len(t, f.contacts.heard, 1)
	f.contacts.stored.alone = true
	f.report("b", 2, time.Second)
	require.Len(t, f.contacts.heard, 1)
}

// Guards against a leader that takes an earlier one for one of its own version.
func TestLeadersWithoutSetsMayBeOfAnEarlierVersion(t *testing.T) {
	require.True(t, predecessor{}.mayBeOfEarlierVersion())
	require.False(t, predecessor{exclusiveSince: 1}.mayBeOfEarlierVersion(), "none orders starts")
	require.False(t, predecessor{quorums: []quorum.Set{quorum.New([]string{"a"})}}.mayBeOfEarlierVersion())
}

// Guards against a bound by the sets of the last leader that forgets the leases of those before
// it, or that begins anew although these have nearly expired (LOST).
func TestLastTermBoundsTheLeasesOfEarlierOnes(t *testing.T) {
	f := newContactFixture(t)
	longest := maxLeaseDuration(handoverMaxLease)
	bound := func(left time.Duration, own []quorum.Set, addresses ...string) time.Duration {
		f.predecessor = predecessor{maxLease: longest, own: own, left: left}
		f.ledger = ledger.New(ledger.Options{Takeover: f.began, MaxLease: longest, Log: func(ledger.Event) {}})
		f.contacts.heard = map[string]time.Time{}
		for _, address := range addresses {
			f.hearOfEarlierLeaders(address, &pb.NodeReport{Process: 1, EarlierLeaderMs: 1000}, f.began)
		}
		f.surveyEarlierLeaders()
		require.Equal(t, f.began.Add(f.predecessor.maxLease), f.ledger.EarlierLeasesEnd())
		return f.predecessor.maxLease
	}
	abc := quorum.New([]string{"a", "b", "c"})
	require.Equal(t, maxLeaseDuration(contactGrace)-time.Second, bound(time.Second, []quorum.Set{abc}, "a", "b"))
	require.Equal(t, 5*time.Second, bound(5*time.Second, []quorum.Set{abc}, "a", "b"))
	require.Equal(t, longest, bound(time.Second, []quorum.Set{abc}, "a"), "too few agents")
	require.Equal(t, longest, bound(time.Second, []quorum.Set{abc, quorum.New([]string{"d"})}, "a", "b"))
	require.Equal(t, longest, bound(0, nil, "a", "b"), "it has granted leases without a set")
}

// Guards against a record that leaves out leases which this term has granted without a set of
// agents, or what is left of those of earlier terms.
func TestTermStatesItsOwnSetsAndWhatIsLeft(t *testing.T) {
	f := newContactFixture(t, "a", "b", "c")
	f.contacts = newContacts(predecessor{}, f.began, f.term)
	f.predecessor.maxLease = maxLeaseDuration(handoverMaxLease)
	recorded := func(now time.Time) link.TermRecord {
		f.maintainRecord(t.Context(), now)
		if f.contacts.recording {
			f.handle(<-f.events)
		}
		item, err := f.opts.Store.Get(t.Context(), fleet.TermKey)
		require.NoError(t, err)
		var record link.TermRecord
		if len(item.Value) > 0 {
			require.NoError(t, json.Unmarshal(item.Value, &record))
		}
		return record
	}
	for i, address := range []string{"a", "b", "c"} {
		f.report(address, uint64(1+i), 0)
	}
	f.confirm(time.Now())
	recorded(f.now) // finds the contact lost
	require.Empty(t, recorded(f.now.Add(contactLostFor)).Own, "leases were granted without")
	abc := quorum.New([]string{"a", "b", "c"})
	require.Equal(t, abc, f.contacts.sets.Current())
	f.lastMaintenance = f.now.Add(time.Minute) // no other set
	later := recorded(f.now.Add(maxLeaseDuration(contactGrace) + time.Second))
	require.Equal(t, []quorum.Set{abc}, later.Own)
	require.Empty(t, later.Quorums, "leases of earlier terms may last")
	left := f.predecessor.maxLease - 2*time.Second - maxLeaseDuration(contactGrace)
	require.GreaterOrEqual(t, time.Duration(later.LeftMs)*time.Millisecond, left)
	require.Less(t, time.Duration(later.LeftMs)*time.Millisecond, left+leftStep)
}
