package lead_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/lead"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/fleet/side"
	"vanillalock.example/vanillalock/internal/kv"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/structs"
)

// waitTimeout is the timeout of waits. It is much longer than any of them takes, and only
// ends a test that hangs.
const waitTimeout = 60 * time.Second

const configKey = "op/config"

// testFleet is a fleet of entries and agents on the loopback interface, with in-memory
// stand-ins for the store and the executors.
type testFleet struct {
	t       *testing.T
	store   *standin.Store
	audit   *standin.Audit
	entries []*lead.Entry
	stop    []context.CancelFunc
	agents  []*side.Agent
	execs   []*standin.Executor
	// logOf returns the logger of a process. nil: nothing is logged.
	logOf func(process string) *log.Logger
	// evacuations is the prefix of the keys of evacuations. Empty: there are none.
	evacuations string
}

func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

func newTestFleet(t *testing.T, entries, agents int, runTime time.Duration) *testFleet {
	r := &testFleet{t: t, store: standin.NewStore(), audit: standin.NewAudit()}
	_, err := r.store.Commit(context.Background(), fleet.Txn{Put: []fleet.Write{{Key: configKey, Value: []byte("1")}}})
	require.NoError(t, err)
	for i := range agents {
		r.addAgent(i, runTime)
	}
	for i := range entries {
		r.addEntry(fmt.Sprintf("entry-%d", i), r.store)
	}
	return r
}

func (r *testFleet) addAgent(i int, runTime time.Duration) {
	name := fmt.Sprintf("vm-%d", i)
	listener := listen(r.t)
	x := standin.NewExecutor(name, runTime, r.audit)
	a, _ := r.runAgent(name, listener, x, r.store, executorOf(name))
	r.agents, r.execs = append(r.agents, a), append(r.execs, x)
}

// runAgent runs an agent on an executor until the returned function or the end of the
// test stops it.
func (r *testFleet) runAgent(name string, listener net.Listener, x fleet.ExecutorClient, store fleet.Store, e fleet.Executor) (*side.Agent, context.CancelFunc) {
	a := side.New(side.Options{
		Node: name, Listener: listener, Advertise: listener.Addr().String(), Executors: x, Store: store,
		MaxLease: 10 * time.Second, Log: r.logger(name),
	})
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	go func() { _ = a.Run(ctx) }()
	a.Announce(e)
	return a, cancel
}

func (r *testFleet) logger(process string) *log.Logger {
	if r.logOf == nil {
		return log.New(io.Discard)
	}
	return r.logOf(process)
}

func executorOf(name string) fleet.Executor {
	return fleet.Executor{Instance: name + "@1", ID: name, Pool: "pool", Capacity: structs.Resources{MilliCPU: 8000, MemoryMB: 8000}, Born: 1}
}

func (r *testFleet) addEntry(name string, store fleet.Store) *lead.Entry {
	e := r.newEntry(name, store)
	r.runEntry(e)
	return e
}

func (r *testFleet) runEntry(e *lead.Entry) {
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	go func() { _ = e.Run(ctx) }()
	r.entries, r.stop = append(r.entries, e), append(r.stop, cancel)
}

// idleEntry returns an entry that is not run: it takes no part in elections and knows
// no leader.
func (r *testFleet) idleEntry(name string) *lead.Entry { return r.newEntry(name, r.store) }

func (r *testFleet) newEntry(name string, store fleet.Store) *lead.Entry {
	listener := listen(r.t)
	r.t.Cleanup(func() { _ = listener.Close() })
	return r.newEntryOn(listener, name, store)
}

func (r *testFleet) newEntryOn(listener net.Listener, name string, store fleet.Store) *lead.Entry {
	return lead.NewEntry(lead.Options{
		Node: name, Advertise: listener.Addr().String(), Store: store, MaxLease: 10 * time.Second,
		StatusKept: time.Minute, Log: r.logger(name), Metrics: lead.NewMetrics(r.t.Name() + name),
		EvacuationPrefix: r.evacuations,
	}, listener, lead.ConfigSource{Prefix: "op/", Key: configKey, Decode: func([]byte) (*fleet.Config, error) {
		return &fleet.Config{Version: 1, Queues: []fleet.Queue{{Name: "q", Policy: fleet.Policy{Pool: "pool", MaxAttempts: 2}}}}, nil
	}})
}

func jobOf(id string, tasks int) fleet.Job {
	return fleet.Job{
		ID: id, Queue: "q", Policy: fleet.Policy{Pool: "pool", MaxAttempts: 2}, Spec: "spec", Accepted: time.Now(),
		Steps: []fleet.Step{
			{Count: tasks, Need: structs.Resources{MilliCPU: 500, MemoryMB: 100}},
			{Count: 1, Need: structs.Resources{MilliCPU: 500, MemoryMB: 100}, After: []int{0}},
		},
	}
}

// submit repeats a submission until it is accepted, as clients do.
func (r *testFleet) submit(e *lead.Entry, job fleet.Job) {
	require.Eventually(r.t, func() bool {
		return e.Submit(context.Background(), job).Result == fleet.ResultOK
	}, waitTimeout, 20*time.Millisecond)
}

func (r *testFleet) state(e *lead.Entry, id string) string {
	return e.State(context.Background(), id).State
}

func (r *testFleet) await(e *lead.Entry, id, state string) {
	require.Eventually(r.t, func() bool { return r.state(e, id) == state }, waitTimeout, 10*time.Millisecond, "job %s, now %s", id, r.state(e, id))
}

// requireDoneOnce checks that each task of the job has completed exactly once, and that the
// audit has found no violation.
func (r *testFleet) requireDoneOnce(job fleet.Job) {
	for s, step := range job.Steps {
		for i := range step.Count {
			require.Equal(r.t, 1, r.audit.Done(fleet.TaskID{Job: job.ID, Step: s, Index: i}))
		}
	}
	require.Empty(r.t, r.audit.Violations())
}

// Guards against a break on the way from the submission of a job to its end.
func TestJobRunsToItsEnd(t *testing.T) {
	r := newTestFleet(t, 2, 2, 30*time.Millisecond)
	job := jobOf("job", 4)
	r.submit(r.entries[0], job)
	r.await(r.entries[1], "job", "done")
	r.requireDoneOnce(job)
}

// Guards against a repeated submission that runs a job twice, and against a state
// reported for a job that nobody submitted.
func TestSubmissionIsIdempotent(t *testing.T) {
	r := newTestFleet(t, 2, 1, 10*time.Millisecond)
	job := jobOf("job", 2)
	r.submit(r.entries[0], job)
	r.await(r.entries[0], "job", "done")
	r.submit(r.entries[1], job)
	require.Equal(t, "done", r.state(r.entries[1], "job"))
	require.Equal(t, fleet.ResultNoSuchJob, r.entries[0].State(context.Background(), "other").Result)
	r.requireDoneOnce(job)
}

// Guards against tasks that run twice or are lost when the leader stops while they
// run.
func TestTasksGoOnUnderANewLeader(t *testing.T) {
	r := newTestFleet(t, 1, 2, 700*time.Millisecond)
	job := jobOf("job", 4)
	r.submit(r.entries[0], job)
	require.Eventually(t, func() bool { return r.audit.Running(fleet.TaskID{Job: "job", Index: 3}) }, waitTimeout, 5*time.Millisecond)
	second := r.addEntry("second", r.store)
	r.stop[0]()
	r.await(second, "job", "done")
	r.requireDoneOnce(job)
}

// Guards against a leader that continues after the store has removed its key while
// the lease of the key is still valid.
func TestLeaderWithoutItsKeyStepsDown(t *testing.T) {
	r := newTestFleet(t, 2, 2, 100*time.Millisecond)
	r.submit(r.entries[0], jobOf("first", 2))
	r.await(r.entries[0], "first", "done")
	r.store.Remove(fleet.LeaderKey)
	job := jobOf("second", 4)
	r.submit(r.entries[1], job)
	r.await(r.entries[1], "second", "done")
	r.requireDoneOnce(job)
}

// Guards against ends of runs that are lost or counted twice when the store applies
// commits but its answers are lost.
func TestCommitsWithoutAnAnswer(t *testing.T) {
	r := newTestFleet(t, 1, 2, 20*time.Millisecond)
	r.submit(r.entries[0], jobOf("warm", 1))
	r.await(r.entries[0], "warm", "done")
	r.store.SetFaults(standin.StoreFaults{LoseAnswers: 3})
	job := jobOf("job", 4)
	r.submit(r.entries[0], job)
	r.await(r.entries[0], "job", "done")
	r.requireDoneOnce(job)
}

// Guards against tasks that are started twice when an executor starts them but its
// answers are lost.
func TestStartsWithoutAnAnswer(t *testing.T) {
	r := newTestFleet(t, 1, 2, 50*time.Millisecond)
	for _, x := range r.execs {
		x.SetFaults(standin.ExecutorFaults{LoseAnswers: 2})
	}
	job := jobOf("job", 6)
	r.submit(r.entries[0], job)
	r.await(r.entries[0], "job", "done")
	r.requireDoneOnce(job)
}

// Guards against the answer "not run" for a job that the store has accepted, and
// against showing a job as done during a store outage, before its end is stored.
func TestOutageOfTheStore(t *testing.T) {
	r := newTestFleet(t, 1, 2, 200*time.Millisecond)
	job := jobOf("job", 2)
	r.submit(r.entries[0], job)
	require.Eventually(t, func() bool { return r.audit.Running(fleet.TaskID{Job: "job"}) }, waitTimeout, 5*time.Millisecond)
	r.store.SetFaults(standin.StoreFaults{Down: true})
	require.Eventually(t, func() bool { return r.audit.Done(fleet.TaskID{Job: "job", Step: 1}) == 1 }, waitTimeout, 5*time.Millisecond)
	require.Equal(t, "running", r.state(r.entries[0], "job"))
	require.Equal(t, fleet.ResultNotRun, r.entries[0].Submit(context.Background(), jobOf("refused", 1)).Result)
	r.store.SetFaults(standin.StoreFaults{})
	r.await(r.entries[0], "job", "done")
	require.Equal(t, fleet.ResultNoSuchJob, r.entries[0].State(context.Background(), "refused").Result)
	r.requireDoneOnce(job)
}

// gatedStore is a store that refuses the calls of one entry while shut is set.
type gatedStore struct {
	*standin.Store
	shut atomic.Bool
}

func (g *gatedStore) check() error {
	if g.shut.Load() {
		return fmt.Errorf("%w: refused by the test", kv.ErrUnavailable)
	}
	return nil
}

func (g *gatedStore) Get(ctx context.Context, key string) (fleet.Item, error) {
	if err := g.check(); err != nil {
		return fleet.Item{}, err
	}
	return g.Store.Get(ctx, key)
}

func (g *gatedStore) Commit(ctx context.Context, txn fleet.Txn) (uint64, error) {
	if err := g.check(); err != nil {
		return 0, err
	}
	return g.Store.Commit(ctx, txn)
}

func (g *gatedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]fleet.Change, uint64, error) {
	if err := g.check(); err != nil {
		return nil, after, err
	}
	return g.Store.Watch(ctx, prefix, after, wait)
}

// Guards against an entry that refuses its callers while only this entry cannot reach
// the store.
func TestEntryRelaysCallsWhenTheStoreRefusesIt(t *testing.T) {
	r := newTestFleet(t, 1, 2, 20*time.Millisecond)
	own := &gatedStore{Store: r.store}
	e := r.addEntry("gated", own)
	r.submit(e, jobOf("before", 1))
	r.await(e, "before", "done")
	own.shut.Store(true)
	job := jobOf("job", 3)
	r.submit(e, job)
	r.await(e, "job", "done")
	require.Equal(t, fleet.ResultNoSuchJob, e.State(context.Background(), "unknown").Result)
	r.requireDoneOnce(job)
}

// silentStore is a store that does not answer the calls of one entry while cut is set,
// including watches that wait already.
type silentStore struct {
	*standin.Store
	cut atomic.Bool
}

// silence is how long a call without an answer takes to fail.
const silence = 900 * time.Millisecond

// answer returns the error of a call that has no answer, and nil otherwise.
func (s *silentStore) answer(ctx context.Context, after time.Duration) error {
	if !s.cut.Load() {
		return nil
	}
	fleet.Sleep(ctx, after)
	return fmt.Errorf("%w: silenced by the test", kv.ErrUncertain)
}

func (s *silentStore) Get(ctx context.Context, key string) (fleet.Item, error) {
	if err := s.answer(ctx, silence); err != nil {
		return fleet.Item{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *silentStore) Page(ctx context.Context, prefix, after string) (fleet.Page, error) {
	if err := s.answer(ctx, silence); err != nil {
		return fleet.Page{}, err
	}
	return s.Store.Page(ctx, prefix, after)
}

func (s *silentStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]fleet.Change, uint64, error) {
	changes, next, err := s.Store.Watch(ctx, prefix, after, wait)
	if err := s.answer(ctx, wait+silence); err != nil {
		return nil, after, err
	}
	return changes, next, err
}

func (s *silentStore) Commit(ctx context.Context, txn fleet.Txn) (uint64, error) {
	if err := s.answer(ctx, silence); err != nil {
		return 0, err
	}
	return s.Store.Commit(ctx, txn)
}

func (s *silentStore) KeepLease(ctx context.Context, lease uint64) error {
	if err := s.answer(ctx, silence); err != nil {
		return err
	}
	return s.Store.KeepLease(ctx, lease)
}

func (s *silentStore) EndLease(ctx context.Context, lease uint64) error {
	if err := s.answer(ctx, silence); err != nil {
		return err
	}
	return s.Store.EndLease(ctx, lease)
}

// put writes a key without notifying the leader.
func (r *testFleet) put(key string, value any) {
	raw, err := json.Marshal(value)
	require.NoError(r.t, err)
	_, err = r.store.Commit(context.Background(), fleet.Txn{Put: []fleet.Write{{Key: key, Value: raw}}})
	require.NoError(r.t, err)
}

// leaderNode returns the name of the entry that leads, or "".
func (r *testFleet) leaderNode() string {
	item, err := r.store.Get(context.Background(), fleet.LeaderKey)
	if err != nil {
		return ""
	}
	var record link.LeaderRecord
	require.NoError(r.t, json.Unmarshal(item.Value, &record))
	return record.Node
}

// Guards against jobs that wait, and cancellations that are not carried out, for as long
// as the store answers every entry but the leader, and no notice of them has come.
func TestLeaderCutOffFromTheStoreHearsOfChanges(t *testing.T) {
	r := newTestFleet(t, 1, 1, 0)
	require.Eventually(t, func() bool { return r.leaderNode() == "entry-0" }, waitTimeout, 10*time.Millisecond)
	own := &silentStore{Store: r.store}
	leader := r.addEntry("cut", own)
	r.entries[0].Leave()
	require.Eventually(t, func() bool { return r.leaderNode() == "cut" }, waitTimeout, 10*time.Millisecond)
	r.submit(leader, jobOf("before", 1))
	require.Eventually(t, func() bool { return r.audit.Running(fleet.TaskID{Job: "before"}) }, waitTimeout, 5*time.Millisecond)

	own.cut.Store(true)
	r.put(fleet.JobBase+"job", jobOf("job", 1))
	id := fleet.TaskID{Job: "job"}
	require.Eventually(t, func() bool { return r.audit.Running(id) }, waitTimeout, 5*time.Millisecond, "the job is not known")
	r.put(fleet.CancelBase+"job", struct{}{})
	require.Eventually(t, func() bool { return !r.audit.Running(id) }, waitTimeout, 5*time.Millisecond, "the cancellation is not known")
	r.addAgent(1, 0)
	r.put(fleet.CancelBase+"before", struct{}{})
	r.put(fleet.JobBase+"large", fleet.Job{ID: "large", Queue: "q", Policy: fleet.Policy{Pool: "pool"}, Accepted: time.Now(), Steps: []fleet.Step{{Count: 2, Need: structs.Resources{MilliCPU: 5000, MemoryMB: 100}}}})
	require.Eventually(t, func() bool {
		return r.audit.Running(fleet.TaskID{Job: "large"}) && r.audit.Running(fleet.TaskID{Job: "large", Index: 1})
	}, waitTimeout, 5*time.Millisecond, "the registration of a VM is not known")
	require.Equal(t, "cut", r.leaderNode())
	require.Empty(t, r.audit.Violations())
}

// Guards against starting a task elsewhere while its executor, which no longer
// answers, may still run it.
func TestDarkExecutorKeepsItsTaskUntilItsLeaseHasExpired(t *testing.T) {
	r := newTestFleet(t, 1, 2, 0)
	lasting := fleet.Job{ID: "feed", Queue: "q", Policy: fleet.Policy{Pool: "pool"}, Steps: []fleet.Step{{Count: 1, Lasting: true, Need: structs.Resources{MilliCPU: 500, MemoryMB: 10}}}}
	r.submit(r.entries[0], lasting)
	id := fleet.TaskID{Job: "feed"}
	require.Eventually(t, func() bool { return r.audit.Running(id) }, waitTimeout, 5*time.Millisecond)
	for _, x := range r.execs {
		if x.Runs(id) {
			x.SetFaults(standin.ExecutorFaults{Unreachable: true})
		}
	}
	require.Eventually(t, func() bool {
		for _, x := range r.execs {
			if x.Runs(id) && !x.IsUnreachable() {
				return true
			}
		}
		return false
	}, waitTimeout, 10*time.Millisecond)
	require.Empty(t, r.audit.Violations())
}

// Guards against runs that continue after their job is cancelled.
func TestCancelledJobEnds(t *testing.T) {
	r := newTestFleet(t, 2, 1, 0)
	r.submit(r.entries[0], jobOf("job", 2))
	id := fleet.TaskID{Job: "job"}
	require.Eventually(t, func() bool { return r.audit.Running(id) }, waitTimeout, 5*time.Millisecond)
	require.Equal(t, fleet.ResultOK, r.entries[1].Cancel(context.Background(), "job").Result)
	require.Eventually(t, func() bool { return !r.audit.Running(id) }, waitTimeout, 5*time.Millisecond)
	r.await(r.entries[0], "job", "cancelled")
}

// Guards against a registration that remains after its executor has left; a new leader
// would wait for that VM.
func TestRegistrationIsRemovedWhenTheExecutorLeaves(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 1, 2, 20*time.Millisecond)
	r.submit(r.entries[0], jobOf("first", 2))
	r.await(r.entries[0], "first", "done")
	r.execs[0].Crash()
	r.agents[0].Leave("vm-0", 0)
	require.Eventually(t, func() bool {
		_, err := r.store.Get(context.Background(), fleet.NodeBase+"vm-0")
		return err != nil
	}, waitTimeout, 10*time.Millisecond)
	require.Empty(t, r.audit.Violations())
}

// Guards against a job that an entry without a leader shows as cancelled, and that is
// shown as running, failed or done before or afterwards.
func TestCancellationAfterTheEndIsNotShown(t *testing.T) {
	r := newTestFleet(t, 0, 0, time.Second)
	entry := r.idleEntry("alone")
	put := func(key, value string) {
		_, err := r.store.Commit(context.Background(), fleet.Txn{Put: []fleet.Write{{Key: key, Value: []byte(value)}}})
		require.NoError(t, err)
	}
	put(fleet.JobBase+"job", "{}")
	require.Equal(t, "queued", r.state(entry, "job"))
	put(fleet.CancelBase+"job", "{}")
	require.Equal(t, "queued", r.state(entry, "job"))
	put(fleet.ProgressBase+"job", `{"tasks":[]}`)
	require.NotEqual(t, "cancelled", r.state(entry, "job"))
	for _, final := range []string{"failed", "done", "cancelled"} {
		put(fleet.ProgressBase+"job", `{"final":"`+final+`"}`)
		require.Equal(t, final, r.state(entry, "job"))
	}
}

// Guards against tasks that wait 10 s, the longest lease, for a lost VM after a
// planned change of the leader. No lease of a leader that has stepped down lasts that
// long, and a task may be down for 6 s.
func TestPlannedHandoverDoesNotWaitForTheLongestLease(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 1, 2, 300*time.Millisecond)
	// The first leader has no handover record, and itself assumes leases of 10 s.
	time.Sleep(11 * time.Second)
	lost, err := json.Marshal(link.NodeRecord{Address: "127.0.0.1:1"})
	require.NoError(t, err)
	_, err = r.store.Commit(context.Background(), fleet.Txn{Put: []fleet.Write{{Key: fleet.NodeBase + "lost", Value: lost}}})
	require.NoError(t, err)
	r.addEntry("entry-1", r.store)
	job := jobOf("job", 4)
	r.submit(r.entries[0], job)
	left := time.Now()
	r.entries[0].Leave()
	r.await(r.entries[1], "job", "done")
	require.Less(t, time.Since(left), 6*time.Second)
	r.requireDoneOnce(job)
}
