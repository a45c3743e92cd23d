package lead

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/kv"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

const testEvacuations = "op/evacuate/"

// newEvacuationFixture returns a fleet of two VMs, vm-000 in "west" and vm-001 in "east".
func newEvacuationFixture() *planFixture {
	l := newPlanFixture(0)
	l.domains = map[string]string{"vm-000": "west", "vm-001": "east"}
	for vm := range l.domains {
		l.ledger.AddNode(vm)
	}
	l.list()
	return l
}

func (l *planFixture) evacuate(domains ...string) {
	set := map[string]struct{}{}
	for _, d := range domains {
		set[d] = struct{}{}
	}
	l.ledger.SetEvacuated(set)
}

func (l *planFixture) runs(vm string) int { return len(l.ledger.Nodes[vm].Runs) }

// Guards against starts of any kind of task in an evacuated domain, against an evacuation
// that stops the others, and against tasks that are given up or lost where all domains are
// evacuated.
func TestPlanStartsNothingInAnEvacuatedDomain(t *testing.T) {
	need := structs.Resources{MilliCPU: 500, MemoryMB: 100}
	for name, step := range map[string]fleet.Step{
		"short": {Count: 6, Need: need}, "lasting": {Count: 6, Need: need, Lasting: true}, "filling": {Count: 6, Need: need, Fills: true},
		"largest": {Count: 1, Need: structs.Resources{MilliCPU: 32000, MemoryMB: 100}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newEvacuationFixture()
			l.evacuate("east", "west")
			l.submit("job", step)
			l.plan.plan(l.now)
			require.Zero(t, l.runs("vm-000")+l.runs("vm-001"))
			l.evacuate("east")
			l.plan.plan(l.now)
			require.Equal(t, step.Count, l.runs("vm-000"))
			require.Zero(t, l.runs("vm-001"))
			l.evacuate()
			l.submit("later", step)
			l.plan.plan(l.now)
			require.NotZero(t, l.runs("vm-001"), "the evacuation is lifted")
		})
	}
}

// Guards against a suspect of a crash that is started in an evacuated domain, as suspects
// get their VMs apart from other tasks.
func TestSuspectIsNotStartedInAnEvacuatedDomain(t *testing.T) {
	l := newEvacuationFixture()
	l.evacuate("east")
	l.submit("job", fleet.Step{Count: 1, Need: structs.Resources{MilliCPU: 500}})
	l.plan.plan(l.now)
	west := l.ledger.Nodes["vm-000"]
	e := west.Executor
	l.ledger.Report(west, ledger.Report{Executor: &e, Lapsed: true}, l.now)
	e.Instance = "vm-000, later"
	l.ledger.Report(west, ledger.Report{Executor: &e}, l.now)
	records, err := l.ledger.Dirty(1)
	require.NoError(t, err)
	l.ledger.Stored(records, 1)
	l.now = l.now.Add(time.Second)
	l.listOne("vm-001", l.ledger.Nodes["vm-001"])
	require.True(t, l.ledger.Ready(l.now)[0].Suspect())
	l.plan.plan(l.now)
	require.Zero(t, l.runs("vm-001"))
	l.evacuate()
	l.plan.plan(l.now)
	require.Equal(t, 1, l.runs("vm-001"))
}

// Guards against a filling task that is stopped to be moved to a VM in an evacuated domain,
// where it cannot start.
func TestFillingTaskIsNotMovedToAnEvacuatedDomain(t *testing.T) {
	l := newEvacuationFixture()
	l.evacuate("east")
	l.submit("job", fleet.Step{Count: 1, Need: structs.Resources{MilliCPU: 500}, Fills: true})
	l.plan.plan(l.now)
	l.list()
	var run *ledger.Run
	for _, run = range l.ledger.Nodes["vm-000"].Runs {
		l.plan.toMove[run] = struct{}{}
	}
	l.plan.plan(l.now)
	require.Equal(t, ledger.Running, run.State)
	l.evacuate()
	l.plan.toMove[run] = struct{}{}
	l.plan.plan(l.now)
	require.Equal(t, ledger.Stopping, run.State)
}

// evacuationStore is a store of which the calls for evacuations fail in a way.
type evacuationStore struct {
	fleet.Store
	fail  atomic.Pointer[func(ctx context.Context, wait time.Duration) error]
	calls atomic.Int64 // for evacuations
}

func (s *evacuationStore) check(ctx context.Context, prefix string, wait time.Duration) error {
	if !strings.HasPrefix(prefix, "op/") {
		return nil
	}
	s.calls.Add(1)
	if f := s.fail.Load(); f != nil {
		return (*f)(ctx, wait)
	}
	return nil
}

func (s *evacuationStore) Page(ctx context.Context, prefix, after string) (fleet.Page, error) {
	if err := s.check(ctx, prefix, 0); err != nil {
		return fleet.Page{}, err
	}
	return s.Store.Page(ctx, prefix, after)
}

func (s *evacuationStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]fleet.Change, uint64, error) {
	if err := s.check(ctx, prefix, wait); err != nil {
		return nil, after, err
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// silent fails a call after the time without an answer that the client of the store allows.
func silent(ctx context.Context, wait time.Duration) error {
	fleet.Sleep(ctx, wait+silenceOfWatch)
	return kv.ErrUncertain
}

// evacuationRig is a leader with one connected VM in "east" and one in "west".
type evacuationRig struct {
	*testing.T
	*Leader
	store   *evacuationStore
	ctx     context.Context
	running map[string][]fleet.Running // by VM
}

func newEvacuationRig(t *testing.T, prefix string) *evacuationRig {
	slow := &slowStore{}
	l := newLoadingLeader(t, slow, 0)
	l.opts.EvacuationPrefix = prefix
	r := &evacuationRig{T: t, Leader: l, store: &evacuationStore{Store: slow.Store}, running: map[string][]fleet.Running{}}
	slow.Store = r.store
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return r
}

func (r *evacuationRig) load() {
	_, err := r.Leader.load(r.ctx)
	require.NoError(r, err)
	for _, vm := range []string{"east", "west"} {
		n := newNodeLink("")
		n.connected, n.cancel, n.outbox = true, func() {}, make(chan *pb.Frame, outboxFrames)
		r.links[vm] = n
		r.ledger.AddNode(vm)
	}
}

func (r *evacuationRig) put(key string) {
	_, err := r.store.Commit(r.ctx, fleet.Txn{Put: []fleet.Write{{Key: key, Value: []byte("{}")}}})
	require.NoError(r, err)
}

func (r *evacuationRig) remove(key string) {
	_, err := r.store.Commit(r.ctx, fleet.Txn{Delete: []string{key}})
	require.NoError(r, err)
}

// play lets a time pass, in which agents start what is ordered and report, the term is
// confirmed and a job of two tasks is submitted every 0.1 s. It returns the number of starts
// that were ordered, in total and in "east", and of leases granted.
func (r *evacuationRig) play(d time.Duration) (starts, east, leases int) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		now := time.Now()
		r.confirm(now)
		r.drainEvents()
		r.ledger.AddJob(fleet.Job{ID: strconv.FormatInt(now.UnixMilli(), 10), Steps: []fleet.Step{{Count: 2}}}, false, now)
		for vm, n := range r.links {
			r.ledger.Report(r.ledger.Nodes[vm], ledger.Report{Executor: &fleet.Executor{Instance: vm, FailureDomain: vm}, Listed: true, Running: r.running[vm]}, now)
			n.pendingReport = n.answered + 1
		}
		r.ledger.Tick(now, now)
		r.pacer = newPacer()
		r.dispatch(r.ctx)
		for vm, node := range r.links {
			for len(node.outbox) > 0 {
				frame := (<-node.outbox).GetOrders()
				orders, err := link.ReadOrders(frame, link.NewSpecs())
				require.NoError(r, err)
				for _, o := range orders.Starts {
					r.running[vm] = append(r.running[vm], fleet.Running{Task: o.Task, Run: o.Run})
				}
				starts += len(orders.Starts)
				if vm == "east" {
					east += len(orders.Starts)
				}
				if frame.GetLeaseMs() > 0 {
					leases++
				}
			}
		}
	}
	return starts, east, leases
}

func (r *evacuationRig) watch() { go r.watchEvacuations(r.ctx, r.evacuations.revision) }

// Guards against a new leader that starts tasks before it has read the evacuations.
func TestNewLeaderKnowsEvacuationsBeforeItsFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuationRig(t, testEvacuations)
		r.put(testEvacuations + "east")
		failures := 3
		fail := func(context.Context, time.Duration) error {
			if failures--; failures >= 0 {
				return kv.ErrUncertain
			}
			return nil
		}
		r.store.fail.Store(&fail)
		r.load()
		starts, east, _ := r.play(time.Second)
		require.NotZero(t, starts)
		require.Zero(t, east)
	})
}

// Guards against an evacuation that is not heard of, or never lifted, also where the store
// has dropped the history of the change or passes on no changes for a while.
func TestEvacuationIsHeardOfAndLifted(t *testing.T) {
	for name, before := range map[string]func(r *evacuationRig){
		"quiet":   func(*evacuationRig) {},
		"dropped": func(r *evacuationRig) { r.dropHistory() },
		"deaf":    func(r *evacuationRig) { r.deaf(true) },
		// Guards against a bound that a store which fails most calls stretches by more than
		// max_stretch_ms.
		"unstable": func(r *evacuationRig) {
			n := 0
			fail := func(context.Context, time.Duration) error {
				if n++; n%4 != 0 {
					return kv.ErrUnavailable
				}
				return nil
			}
			r.store.fail.Store(&fail)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newEvacuationRig(t, testEvacuations)
				r.load()
				r.watch()
				r.play(time.Second)
				r.put(testEvacuations + "east")
				before(r)
				r.play(4 * time.Second)
				starts, east, _ := r.play(time.Second)
				require.NotZero(t, starts)
				require.Zero(t, east)
				require.True(t, r.ledger.IsEvacuated(r.ledger.Nodes["east"]))
				r.remove(testEvacuations + "east")
				before(r)
				r.play(4 * time.Second)
				require.False(t, r.ledger.IsEvacuated(r.ledger.Nodes["east"]))
			})
		})
	}
}

// Guards against starts by a leader that may not have heard of an evacuation, as the store
// has not answered it for long, against leases that end for that reason, and against
// starts that are lost.
func TestStartsEndWithoutAnswersForEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuationRig(t, testEvacuations)
		r.load()
		r.watch()
		starts, _, _ := r.play(time.Second)
		require.NotZero(t, starts)
		fail := silent
		r.store.fail.Store(&fail)
		r.play(maxEvacuationAge)
		for range 20 {
			starts, _, _ = r.play(100 * time.Millisecond)
			require.Zero(t, starts)
		}
		_, _, leases := r.play(grantInterval)
		require.NotZero(t, leases)
		// A start of before that has not left yet, or that a new session repeats.
		r.ledger.Start(r.ledger.Ready(time.Now())[0], r.ledger.Nodes["east"], "", time.Now())
		starts, _, _ = r.play(time.Second)
		require.Zero(t, starts)
		r.store.fail.Store(nil)
		r.play(2 * time.Second)
		starts, _, _ = r.play(100 * time.Millisecond)
		require.NotZero(t, starts)
	})
}

// Guards against calls for evacuations, and waits for their answers, in a deployment that
// has none.
func TestDeploymentWithoutEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuationRig(t, "")
		r.put(testEvacuations + "east")
		ctx, cancel := context.WithTimeout(r.ctx, 5*time.Second)
		defer cancel()
		require.ErrorIs(t, r.run(ctx), context.DeadlineExceeded)
		require.Zero(t, r.store.calls.Load())
		require.True(t, r.knowsEvacuations(time.Now()))
	})
}

func (r *evacuationRig) backend() *standin.Store { return r.store.Store.(*standin.Store) }
func (r *evacuationRig) dropHistory()            { r.backend().DropHistory() }
func (r *evacuationRig) deaf(on bool)            { r.backend().SetFaults(standin.StoreFaults{Deaf: on}) }
