package lead_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/kv"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/structs"
)

const evacuationPrefix = "op/evacuate/"

// startCounter counts the starts on each executor.
type startCounter struct {
	mu     sync.Mutex
	starts map[string]int
}

func (c *startCounter) Started(e standin.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[e.Executor]++
}
func (*startCounter) Ended(standin.Event)        {}
func (*startCounter) Acknowledged(standin.Event) {}
func (*startCounter) Lapsed(standin.Event)       {}

func (c *startCounter) on(executor string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[executor]
}

// unresponsiveExecutor is an executor that does not answer starts while unresponsive is set. It counts the
// stops that it is given.
type unresponsiveExecutor struct {
	*standin.Executor
	unresponsive atomic.Bool
	stops        atomic.Int64
}

func (x *unresponsiveExecutor) Start(ctx context.Context, e fleet.Executor, only fleet.InstanceCheck, fence uint64, o fleet.StartOrder) (fleet.OrderResult, error) {
	if x.unresponsive.Load() {
		return fleet.OrderUnknown, fmt.Errorf("%w: silenced by the test", kv.ErrUncertain)
	}
	return x.Executor.Start(ctx, e, only, fence, o)
}

func (x *unresponsiveExecutor) Stop(ctx context.Context, e fleet.Executor, only fleet.InstanceCheck, fence uint64, task fleet.TaskID, run int) (fleet.OrderResult, error) {
	x.stops.Add(1)
	return x.Executor.Stop(ctx, e, only, fence, task, run)
}

// logBuffer collects the log of a process.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buf.String(), text)
}

func (b *logBuffer) contains(text string) bool { return b.count(text) > 0 }

// wideJob returns a job of which the tasks of the first step do not fit on one VM together.
func wideJob(id string) fleet.Job {
	job := jobOf(id, 8)
	job.Steps[0].Need = structs.Resources{MilliCPU: 1500, MemoryMB: 100}
	return job
}

// Guards against starts in an evacuated domain: of new tasks, and of tasks that were ordered
// there before the evacuation was known and that the agent repeats. These have to run
// elsewhere, once. Guards against an evacuation that is not lifted.
func TestEvacuatedDomainIsGivenNoStarts(t *testing.T) {
	r := newTestFleet(t, 0, 0, 0)
	r.evacuations = evacuationPrefix
	var out logBuffer
	r.logOf = func(string) *log.Logger { return log.New(&out) }
	counter := &startCounter{starts: map[string]int{}}
	r.audit.SetObserver(counter)
	executors := map[string]*unresponsiveExecutor{}
	for _, vm := range []string{"east", "west"} {
		executors[vm] = &unresponsiveExecutor{Executor: standin.NewExecutor(vm, 50*time.Millisecond, r.audit)}
		e := executorOf(vm)
		e.FailureDomain = vm
		r.runAgent(vm, listen(t), executors[vm], r.store, e)
	}
	entry := r.addEntry("entry", r.store)
	run := func(id string) {
		job := wideJob(id)
		r.submit(entry, job)
		r.await(entry, id, "done")
		r.requireDoneOnce(job)
	}
	run("before")
	require.NotZero(t, counter.on("east"))

	executors["east"].unresponsive.Store(true)
	job := wideJob("unconfirmed")
	r.submit(entry, job)
	require.Eventually(t, func() bool { return out.contains("task=unconfirmed.0.0.7") }, waitTimeout, time.Millisecond, "all tasks are ordered")
	r.put(evacuationPrefix+"east", struct{}{})
	// Until the agent has the stops it may repeat the starts, within the time that an
	// evacuation leaves for it.
	require.Eventually(t, func() bool {
		stops := executors["east"].stops.Load()
		return stops > 0 && stops >= int64(out.count("start withdrawn"))
	}, waitTimeout, time.Millisecond)
	earlier := counter.on("east")
	executors["east"].unresponsive.Store(false)
	r.await(entry, "unconfirmed", "done")
	r.requireDoneOnce(job)
	run("during")
	require.Equal(t, earlier, counter.on("east"), "starts in the evacuated domain")

	_, err := r.store.Commit(t.Context(), fleet.Txn{Delete: []string{evacuationPrefix + "east"}})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return out.contains("evacuation lifted") }, waitTimeout, time.Millisecond)
	run("after")
	require.Greater(t, counter.on("east"), earlier)
}

// Guards against work that is lost or runs twice when all processes stop at the same
// moment, and an executor with them.
func TestEverythingStopsAtOnce(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 0, 0, 0)
	own := &gatedStore{Store: r.store}
	start := func(vm string, x *standin.Executor, instance string) func() {
		e := executorOf(vm)
		e.Instance = instance
		_, stop := r.runAgent(vm, listen(t), x, own, e)
		return stop
	}
	// The tasks of the first VM last until it crashes, those of the second until after that.
	first, second := standin.NewExecutor("vm-0", 0, r.audit), standin.NewExecutor("vm-1", 3*time.Second, r.audit)
	stops := []func(){start("vm-0", first, "vm-0@1"), start("vm-1", second, "vm-1@1")}
	job := wideJob("job")
	r.submit(r.addEntry("first", own), job)
	require.Eventually(t, func() bool {
		running := 0
		for i := range job.Steps[0].Count {
			if r.audit.Running(fleet.TaskID{Job: "job", Index: i}) {
				running++
			}
		}
		return running == job.Steps[0].Count
	}, waitTimeout, time.Millisecond)
	own.shut.Store(true) // they hand nothing over
	first.Crash()
	r.stop[0]()
	for _, stop := range stops {
		stop()
	}
	own = &gatedStore{Store: r.store}
	start("vm-0", standin.NewExecutor("vm-0", 50*time.Millisecond, r.audit), "vm-0@2")
	start("vm-1", second, "vm-1@1")
	r.await(r.addEntry("second", own), "job", "done")
	r.requireDoneOnce(job)
}
