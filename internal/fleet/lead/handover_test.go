package lead

import (
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/fleet/quorum"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
)

const handoverMaxLease = 10 * time.Second

// termOf returns a leader whose term began the given time ago.
func termOf(before predecessor, age time.Duration) *Leader {
	l := newLeader(Options{MaxLease: handoverMaxLease}, 7, 1, startTime, before)
	l.began = startTime.Add(-age)
	return l
}

// Guards against a handover record that covers only the leases of the leader that
// steps down: leases of an earlier leader, which crashed, may last longer.
func TestHandoverCoversEarlierLeaders(t *testing.T) {
	longest := maxLeaseDuration(handoverMaxLease)
	young := termOf(predecessor{maxLease: longest}, time.Second).handover(startTime)
	require.GreaterOrEqual(t, time.Duration(young.LeaseMs)*time.Millisecond, longest-time.Second)
	require.False(t, young.Exclusive, "an earlier leader may still order starts")

	old := termOf(predecessor{maxLease: longest, exclusiveSince: 9}, time.Minute).handover(startTime)
	require.GreaterOrEqual(t, time.Duration(old.LeaseMs)*time.Millisecond, maxLeaseDuration(executorLease))
	require.Less(t, time.Duration(old.LeaseMs)*time.Millisecond, maxLeaseDuration(executorLease)+10*time.Millisecond)
	require.True(t, old.Exclusive)
}

// Guards against a handover record that leaves out the lease of an instance which has carried
// out a start that was called for the one before.
func TestHandoverCoversLeasesByTheClockOfAnotherInstance(t *testing.T) {
	l := termOf(predecessor{exclusiveSince: 2}, time.Minute)
	l.opts.Log, l.opts.Metrics = log.New(io.Discard), NewMetrics(t.Name())
	n := l.ledger.AddNode("a")
	for _, instance := range []string{"a@1", "a@2"} {
		e := &fleet.Executor{Instance: instance, Pool: "pool"}
		l.ledger.Report(n, ledger.Report{Executor: e, Listed: true, Running: []fleet.Running{{Task: fleet.TaskID{Job: "job"}, Run: 1}}}, startTime)
	}
	l.contacts = newContacts(predecessor{quorums: []quorum.Set{quorum.New([]string{"a"})}}, l.began, l.term)
	handover := l.handover(startTime)
	require.GreaterOrEqual(t, time.Duration(handover.LeaseMs)*time.Millisecond, maxLeaseDuration(handoverMaxLease))
	require.Empty(t, handover.Quorums, "contact with agents does not bound it")
	require.Empty(t, handover.Own)
	require.NotEmpty(t, l.handover(startTime.Add(maxLeaseDuration(handoverMaxLease)+time.Second)).Quorums)
}

// Guards against a record of a term by which the next leader takes the lease of such an instance
// for shorter.
func TestRecordOfATermCoversLeasesByTheClockOfAnotherInstance(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{}, 0)
	l.contacts = newContacts(predecessor{quorums: []quorum.Set{quorum.New([]string{"a"})}}, l.began, l.term)
	l.exclusiveSince, l.contacts.stored.alone = 2, true
	recorded := func(after time.Duration) link.TermRecord {
		l.maintainRecord(t.Context(), l.began.Add(after))
		if l.contacts.recording {
			l.handle(<-l.events)
		}
		item, err := l.opts.Store.Get(t.Context(), fleet.TermKey)
		require.NoError(t, err)
		var record link.TermRecord
		require.NoError(t, json.Unmarshal(item.Value, &record))
		return record
	}
	n := l.ledger.AddNode("a")
	for _, instance := range []string{"a@1", "a@2"} {
		e := &fleet.Executor{Instance: instance, Pool: "pool"}
		l.ledger.Report(n, ledger.Report{Executor: e, Listed: true, Running: []fleet.Running{{Task: fleet.TaskID{Job: "job"}, Run: 1}}}, l.began)
	}
	require.Equal(t, link.TermRecord{}, recorded(time.Millisecond))
	after := recorded(maxLeaseDuration(handoverMaxLease) + time.Second)
	require.True(t, after.Alone)
	require.NotEmpty(t, after.Quorums)
}

// Guards against assuming short leases when the handover record is missing, cannot be
// decoded or is that of a leader that has not stepped down.
func TestPredecessorWithoutHandover(t *testing.T) {
	e := NewEntry(Options{MaxLease: handoverMaxLease, Log: log.New(io.Discard)}, nil, ConfigSource{})
	require.Equal(t, predecessor{maxLease: maxLeaseDuration(handoverMaxLease)}, e.predecessor(fleet.Item{}, 5, 0, false))
	require.Equal(t, predecessor{maxLease: maxLeaseDuration(handoverMaxLease)}, e.predecessor(fleet.Item{Revision: 3, Value: []byte("?")}, 5, 0, false))
	require.Equal(t, predecessor{maxLease: maxLeaseDuration(handoverMaxLease)}, e.predecessor(fleet.Item{Revision: 3, Value: noHandover}, 5, 0, false))
	value, err := json.Marshal(termOf(predecessor{exclusiveSince: 2}, time.Minute).handover(startTime))
	require.NoError(t, err)
	got := e.predecessor(fleet.Item{Revision: 3, Value: value}, 5, 0, false)
	require.Equal(t, uint64(5), got.exclusiveSince)
	require.Less(t, got.maxLease, 5*time.Second)
}

// Guards against tasks of accepted jobs that wait for 10 s after the leader was killed,
// although its process has been started anew and grants nothing (review/4), and against a
// shorter wait while the last leader may still grant leases.
func TestEndOfTheLastLeaderShortensTheWait(t *testing.T) {
	ctx := t.Context()
	store := standin.NewStore()
	led := NewEntry(Options{Advertise: "led", Store: store, Log: log.New(io.Discard)}, nil, ConfigSource{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	led.listener, led.opts.Advertise = listener, listener.Addr().String()
	go led.accept(ctx)
	next := NewEntry(Options{Advertise: "next", MaxLease: handoverMaxLease, Store: store, Log: log.New(io.Discard)}, nil, ConfigSource{})
	bound := func() predecessor {
		last, err := next.readLastTerm(ctx)
		require.NoError(t, err)
		ended, known := next.endOfLastLeader(ctx, last)
		return next.predecessor(last.handover, 9, ended, known)
	}
	begin := func(e *Entry, alone bool) {
		writes, err := e.opts.termRecord(termState{alone: alone})
		require.NoError(t, err)
		_, err = store.Commit(ctx, fleet.Txn{Put: writes})
		require.NoError(t, err)
	}
	longest := predecessor{maxLease: maxLeaseDuration(handoverMaxLease)}
	require.Equal(t, longest, bound(), "no record")
	begin(led, false)
	require.Equal(t, longest, bound(), "leases of its predecessors may last")
	begin(led, true)
	got := bound()
	require.LessOrEqual(t, got.maxLease, maxLeaseDuration(executorLease))
	require.Equal(t, uint64(9), got.exclusiveSince)
	led.ledUntil.Store(sinceStart())
	require.Greater(t, bound().maxLease, maxLeaseDuration(executorLease)-3*time.Second, "it has ended its term just now")
	led.localLeader.Store(&Leader{})
	require.Equal(t, longest, bound(), "it is cut off from the store, but leads")
	led.localLeader.Store(nil)
	_, err = store.Commit(ctx, fleet.Txn{Put: []fleet.Write{{Key: fleet.HandoverKey, Value: noHandover}}})
	require.NoError(t, err)
	require.Equal(t, longest, bound(), "a term of an entry of an earlier version came after it")
	begin(&Entry{opts: Options{Advertise: "127.0.0.1:1"}}, true)
	require.Equal(t, longest, bound(), "the last leader does not answer")
	begin(next, true)
	require.Less(t, bound().maxLease, longest.maxLease, "this process itself has led")
}

// Guards against a term that is recorded as the only one whose leases last while those of
// an earlier leader may.
func TestTermIsRecordedAsAloneOnceEarlierLeasesHaveExpired(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{}, 0)
	l.predecessor.maxLease = handoverMaxLease
	for _, c := range []struct {
		age       time.Duration
		exclusive uint64
		want      bool
	}{{handoverMaxLease, 0, false}, {handoverMaxLease / 2, 7, false}, {handoverMaxLease + time.Second, 0, false}, {handoverMaxLease + time.Second, 7, true}} {
		l.exclusiveSince = c.exclusive
		require.Equal(t, c.want, l.isAlone(l.began.Add(c.age)), "%+v", c)
		l.maintainRecord(t.Context(), l.began.Add(c.age))
	}
	l.handle(<-l.events)
	require.True(t, l.contacts.stored.alone)
	item, err := l.opts.Store.Get(t.Context(), fleet.TermKey)
	require.NoError(t, err)
	require.JSONEq(t, `{"address":"","alone":true}`, string(item.Value))
	handover, err := l.opts.Store.Get(t.Context(), fleet.HandoverKey)
	require.NoError(t, err)
	require.Equal(t, item.Revision, handover.Revision)
	require.Empty(t, l.events, "the record was written before")
}
