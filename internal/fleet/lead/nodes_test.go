package lead

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// Guards against orders that are lost and never repeated, and tasks of a VM out of reach
// that never start elsewhere, because the leader has ended the session itself and takes
// the agent as connected still.
func TestEndOfASessionByTheLeaderIsHandled(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if session, err := wire.Accept(conn, wire.Config{}); err == nil {
				defer func() { _ = session.Close() }()
			}
		}
	}()
	l := newLoadingLeader(t, &slowStore{}, 0)
	node, n := l.ledger.AddNode("vm"), newNodeLink(listener.Addr().String())
	l.links["vm"] = n
	const sessions = 20 // the end of about half of them was not handled
	for range sessions {
		ended := make(chan struct{})
		go func() {
			n.session(context.Background(), l, "vm")
			close(ended)
		}()
		l.handle(<-l.events)
		require.True(t, n.connected)
		node.Listed = true
		n.cancel()
		<-ended
		l.drainEvents()
		require.False(t, n.connected)
		require.False(t, node.Listed)
	}
}

// Guards against lists and orders of a VM that are dropped because the session of its
// earlier registration ends.
func TestEndOfARemovedLinkLeavesTheNextOneAlone(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{}, 0)
	node, earlier := l.ledger.AddNode("vm"), newNodeLink("")
	earlier.connected, node.Listed = true, true
	l.links["vm"] = newNodeLink("")
	l.handleDisconnect(earlier, "vm", nil)
	require.True(t, node.Listed)
}

// Guards against tasks on a VM that the next leader does not know of: its registration is
// deleted late, after the VM has come back.
func TestVMOfADeletedRegistrationIsNotUsedUntilItIsWrittenAgain(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{}, 0)
	put := func() fleet.Item {
		_, err := l.opts.Store.Commit(t.Context(), fleet.Txn{Put: []fleet.Write{{Key: fleet.NodeBase + "vm", Value: []byte(`{"address":"127.0.0.1:1"}`)}}})
		require.NoError(t, err)
		item, err := l.opts.Store.Get(t.Context(), fleet.NodeBase+"vm")
		require.NoError(t, err)
		return item
	}
	first := put()
	l.applyNode(t.Context(), "vm", fleet.Change{Item: first}, true)
	l.ledger.Nodes["vm"].LeaseUntil = l.began
	l.ledger.Settled = true
	ended, cancel := context.WithCancel(t.Context())
	cancel() // the deletion has no answer
	l.removeUnreachable(ended, time.Now().Add(2*removeNodeAfter))
	require.Nil(t, l.links["vm"])
	l.applyNode(t.Context(), "vm", fleet.Change{Item: first}, true)
	require.Nil(t, l.links["vm"], "read before the deletion was carried out")
	l.applyNode(t.Context(), "vm", fleet.Change{Item: put()}, true)
	require.NotNil(t, l.links["vm"])
}

// Guards against ends that are acknowledged although the leader has not received them: a
// session that ends drops some of the reports that it has brought, and the numbers of ends
// in later ones cover those of the dropped ones.
func TestReportAfterADroppedOneIsNotApplied(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{}, 0)
	node, session := l.ledger.AddNode("vm"), newNodeLink("")
	ended := false
	session.connected, session.cancel = true, func() { ended = true }
	l.links["vm"] = session
	report := func(number, end uint64) {
		e := fleet.End{Number: end, Task: fleet.TaskID{Job: "job", Index: int(end)}, Run: 1, Reason: fleet.EndDone}
		r := ledger.Report{Executor: &fleet.Executor{Instance: "vm"}, Listed: true, Ended: []fleet.End{e}}
		l.handleReport(session, "vm", link.Report(number, r, 0, link.Introduction{}).GetNodeReport())
	}
	l.ledger.AddJob(fleet.Job{ID: "job", Steps: []fleet.Step{{Count: 9}}}, false, time.Now())
	report(7, 1)
	report(8, 2)
	require.False(t, ended)
	report(10, 4)
	require.True(t, ended)
	report(11, 5)
	tasks := l.ledger.Jobs["job"].Occurrences[0].Steps[0].Tasks
	require.True(t, tasks[2].Done)
	require.False(t, tasks[4].Done, "the executor drops the end before it once this one is acknowledged")
	require.False(t, tasks[5].Done)

	orders, _ := node.TakeOrders()
	require.LessOrEqual(t, orders.Stored, uint64(2))
}

// Guards against an end that is acknowledged unseen because it was in a report that could
// not be read.
func TestReportAfterAnUnreadableOneIsNotApplied(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{}, 0)
	l.ledger.AddNode("vm")
	session := newNodeLink("")
	session.connected, session.cancel = true, func() {}
	l.links["vm"] = session
	l.ledger.AddJob(fleet.Job{ID: "job", Steps: []fleet.Step{{Count: 9}}}, false, time.Now())
	report := func(number, end uint64) *pb.NodeReport {
		e := fleet.End{Number: end, Task: fleet.TaskID{Job: "job", Index: int(end)}, Run: 1, Reason: fleet.EndDone}
		r := ledger.Report{Executor: &fleet.Executor{Instance: "vm"}, Listed: true, Ended: []fleet.End{e}}
		return link.Report(number, r, 0, link.Introduction{}).GetNodeReport()
	}
	l.handleReport(session, "vm", report(7, 1))
	unreadable := report(8, 2)
	unreadable.Ended[0].Task = "no task"
	l.handleReport(session, "vm", unreadable)
	l.handleReport(session, "vm", report(9, 3))
	tasks := l.ledger.Jobs["job"].Occurrences[0].Steps[0].Tasks
	require.True(t, tasks[1].Done)
	require.False(t, tasks[3].Done)
}

// Guards against an earlier leader that learns of the end of an executor from an agent that was
// started anew, and starts its task again beside the run that a later leader has started.
func TestNewInstanceCountsOnceTheTermIsConfirmedInTheSession(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{}, 1)
	_, err := l.load(t.Context())
	require.NoError(t, err)
	node, session := l.ledger.AddNode("vm"), newNodeLink("")
	session.connected, session.cancel = true, func() {}
	l.links["vm"] = session
	number := uint64(0)
	report := func(instance string, running ...fleet.Running) {
		number++
		r := ledger.Report{Executor: &fleet.Executor{Instance: instance}, Listed: true, Running: running}
		l.handleReport(session, "vm", link.Report(number, r, 0, link.Introduction{}).GetNodeReport())
	}
	run := fleet.Running{Task: fleet.TaskID{Job: "0000000000000000"}, Run: 1}
	report("vm@1", run)
	report("vm@1", run)
	require.Len(t, node.Runs, 1)
	l.holdStarts("vm", time.Now())
	session.lastReport = 0
	report("vm@1", run)
	report("vm@2")
	report("vm@2", fleet.Running{Task: run.Task, Run: 2})
	require.Equal(t, "vm@1", node.Executor.Instance, "a later leader may lead")
	require.Len(t, node.Runs, 1)
	l.confirm(time.Now())
	require.Equal(t, "vm@2", node.Executor.Instance)
	require.Equal(t, 2, node.Runs[run.Task].Number)
}
