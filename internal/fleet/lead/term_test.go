package lead

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// Guards against a leader that was suspended, during which its monotonic clock stood
// still, and that orders starts or grants leases by a term that has ended meanwhile.
func TestSuspendedLeaderWaitsForItsConfirmation(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{}, 1)
	_, err := l.load(context.Background())
	require.NoError(t, err)
	node := l.ledger.AddNode("vm")
	link := newNodeLink("")
	link.connected, link.outbox, link.cancel = true, nil, func() {}
	l.links["vm"] = link
	report := func() {
		now := time.Now()
		l.ledger.Report(node, ledger.Report{Executor: &fleet.Executor{Instance: "vm"}, Listed: true}, now)
		link.pendingReport = 1
		l.ledger.Tick(now, now)
	}
	suspended := time.Duration(0)
	l.wallOffset = func(now time.Time) time.Duration { return wallOffset(now) + suspended }
	suspended = l.opts.MaxLease
	report()
	require.Zero(t, l.grant(node, link, time.Now()))
	l.dispatch(context.Background())
	require.Empty(t, node.Runs, "a start by a term that may have ended")

	l.handleVerify(time.Now(), fleet.Item{Revision: l.term}, nil)
	report()
	require.Equal(t, executorLease, l.grant(node, link, time.Now()))
	l.dispatch(context.Background())
	require.Len(t, node.Runs, 1)
}

// Guards against a fault of the leader that ends the process of the entry.
func TestPanicOfTheLeaderEndsItsTermOnly(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{}, 1)
	l.post(context.Background(), func() { panic(errors.New("index out of range")) })
	err := l.run(context.Background())
	require.ErrorContains(t, err, "index out of range")
}

// Guards against work that ends in an outage of the store that is longer than the
// longest lease of the executors, and against a next leader that counts on shorter
// leases than the one before may have granted.
func TestTasksOutliveAnOutageLongerThanALease(t *testing.T) {
	o := Options{MaxLease: 6 * time.Second}
	l := newLoadingLeader(t, &slowStore{}, 0)
	l.opts.MaxLease = o.MaxLease
	node, link := l.ledger.AddNode("vm"), newNodeLink("")
	link.pendingReport = 1
	confirmed := l.verifiedAt
	for outage := time.Duration(0); outage < minTermGrace+time.Second; outage += 100 * time.Millisecond {
		now := confirmed.Add(outage)
		lease := l.grant(node, link, now)
		require.LessOrEqual(t, lease, executorLease)
		l.checkTerm(now)
		if outage < minTermGrace {
			require.Positive(t, lease, outage)
			require.NoError(t, l.deposed)
		}
		e := NewEntry(o, nil, ConfigSource{})
		require.False(t, node.LeaseUntil.After(confirmed.Add(e.predecessor(fleet.Item{}, 5, 0, false).maxLease)), "a later leader takes the lease as expired after %v", outage)
	}
	require.ErrorIs(t, l.deposed, errDeposed)
}

// Guards against decisions of two leaders at the same time that the logs cannot tell apart.
func TestDecisionsAreLoggedWithTheirTerm(t *testing.T) {
	var out bytes.Buffer
	l := newLoadingLeader(t, &slowStore{}, 0)
	l.opts.Log = log.NewWithOptions(&out, log.Options{Formatter: log.JSONFormatter})
	l.verifiedAt = time.Now().Add(-4 * time.Second)
	l.offsetThen = l.wallOffset(l.verifiedAt)
	l.logEvent(ledger.Event{What: "start", Task: fleet.TaskID{Job: "job"}, Run: 2, Node: "vm"})
	var line struct {
		Task, VM, Unconfirmed string
		Term                  uint64
	}
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, "job.0.0.0", line.Task)
	require.Equal(t, l.term, line.Term)
	age, err := time.ParseDuration(line.Unconfirmed)
	require.NoError(t, err)
	require.GreaterOrEqual(t, age, 4*time.Second)
}

// Guards against a leader that is cut off from the store, which takes the task of a VM that
// follows a later leader for ended and starts it on the VM that stays with it.
func TestLeaderCutOffFromTheStoreStartsNoTaskOfALostVM(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{}, 1)
	_, err := l.load(context.Background())
	require.NoError(t, err)
	lost, left := l.ledger.AddNode("lost"), l.ledger.AddNode("left")
	link := newNodeLink("")
	link.connected, link.cancel = true, func() {}
	l.links["lost"], l.links["left"] = link, link
	list := func(n *ledger.Node, running ...fleet.Running) {
		l.ledger.Report(n, ledger.Report{Executor: &fleet.Executor{Instance: n.Name}, Listed: true, Running: running}, time.Now())
	}
	list(lost, fleet.Running{Task: fleet.TaskID{Job: "0000000000000000"}, Run: 1})
	list(left)
	l.ledger.Disconnected(lost)
	lost.LeaseUntil, l.verifiedAt = time.Now().Add(-time.Millisecond), time.Now().Add(-4300*time.Millisecond)
	l.tick(context.Background())
	l.dispatch(context.Background())
	require.Empty(t, left.Runs, "a later leader may have extended the lease")

	l.confirm(time.Now())
	l.tick(context.Background())
	l.pacer = newPacer() // the next plan need not wait
	l.dispatch(context.Background())
	require.Len(t, left.Runs, 1)
}

// Guards against an earlier leader that starts tasks on a VM that was started anew, whose
// agent and executor do not know of the later leader that has started them elsewhere.
func TestStartsWaitUntilTheTermIsConfirmedInTheSession(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{}, 1)
	_, err := l.load(context.Background())
	require.NoError(t, err)
	node, link := l.ledger.AddNode("vm"), newNodeLink("")
	link.connected, link.cancel, link.outbox = true, func() {}, make(chan *pb.Frame, 1)
	l.links["vm"] = link
	list := func() {
		l.ledger.Report(node, ledger.Report{Executor: &fleet.Executor{Instance: "vm"}, Listed: true}, time.Now())
		l.tick(context.Background())
		l.pacer = newPacer() // the next plan need not wait
		l.dispatch(context.Background())
	}
	began := time.Now()
	l.holdStarts("vm", began)
	list()
	require.Empty(t, node.Runs, "a later leader may lead")
	l.confirm(began.Add(-time.Nanosecond))
	list()
	require.Empty(t, node.Runs, "the term was confirmed before the session began")
	l.confirm(time.Now())
	list()
	require.Len(t, node.Runs, 1)

	l.ledger.Disconnected(node)
	link.outbox = make(chan *pb.Frame, 1)
	l.holdStarts("vm", time.Now())
	list() // repeats the order of the run, which has no answer
	require.Empty(t, link.outbox)
	l.confirm(time.Now())
	list()
	require.Len(t, (<-link.outbox).GetOrders().GetStarts(), 1)
}
