package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/structs"
)

// Guaranteed times without a fault: until the tasks of a cancelled job have ended,
// and until an accepted job is known.
const (
	maxCancelTime   = 3 * time.Second
	maxVisibleDelay = 3 * time.Second
	// contactTime is the time after the last fault in which all processes learn what
	// they missed, over connections that the faults have left silent as well.
	contactTime = 10 * time.Second
	// maxStopTime is the time from maxCancelTime on within which the tasks of a cancelled
	// job that still run have ended.
	maxStopTime = 900 * time.Millisecond
	// steadyDelay is the time after a fault from which the times for cancelled jobs count.
	steadyDelay = 3 * time.Second
)

// Limits for tasks that crash executors. A task that has crashed maxCrashes is started
// maxStartsAfterCrashes times more at most. One that crashes executors may be given
// up, which fails its job, once minCrashesToGiveUp have crashed under it.
const (
	maxCrashes            = 3
	maxStartsAfterCrashes = 2
	minCrashesToGiveUp    = 2
)

// sentJob is a submitted job and what its caller knows about it.
type sentJob struct {
	id          string
	spec        string
	steps       []fleet.Step
	fails       bool // all runs fail
	crashes     bool // all runs crash their executors
	attempts    int  // failed runs that its queue allows
	accepted    time.Time
	uncertain   bool      // a submission got no answer, or one that leaves its outcome open
	refused     bool      // a submission was answered as not run
	cancelled   time.Time // first attempt
	cancelAcked time.Time
	finalState  string // final state that an answer contained
}

// taskRecord holds the runs of a task according to the executors.
type taskRecord struct {
	running      map[string]startedRun  // by executor
	done         map[endID][]startedRun // ends as done, each with the runs that started after it
	acknowledged time.Time              // when an end as done was first acknowledged; zero: none was
	failedRuns   int                    // acknowledged failed runs
	crashes      int                    // executors that its runs have crashed
	lostRuns     int                    // ended with the instance of their executor, by whatever cause
	startsAfter  int                    // starts after maxCrashes crashes
	starts       int
}

// startedRun is a run as its executor has started it.
type startedRun struct {
	number  int
	term    uint64 // of the leader that ordered it
	at      time.Time
	tooLong bool // reported: it ran on after its job's cancellation
}

// startOf returns the run that an event has started.
func startOf(e standin.Event) startedRun {
	return startedRun{number: e.Run, term: e.Fence, at: time.Now()}
}

func (r startedRun) String() string {
	return fmt.Sprintf("run %d of term %d started %v ago", r.number, r.term, time.Since(r.at).Round(time.Millisecond))
}

// instanceID identifies an instance of an executor.
type instanceID struct {
	executor  string
	startedAt time.Time
}

func instanceOf(e standin.Event) instanceID { return instanceID{e.Executor, e.InstanceStart} }

// endID identifies an end of a run.
type endID struct {
	instance instanceID
	number   uint64
}

func endOf(e standin.Event) endID { return endID{instanceOf(e), e.Number} }

// checker checks the guarantees of the fleet against what callers and executors
// observe, and collects violations.
type checker struct {
	mu          sync.Mutex
	jobs        map[string]*sentJob
	tasks       map[fleet.TaskID]*taskRecord
	capacity    map[string]structs.Resources
	used        map[string]structs.Resources
	voidedEnds  map[instanceID]uint64 // by instance whose lease lapsed: ends up to this number no longer count
	calmSince   time.Time             // zero while faults are injected
	faults      int                   // that last at present
	faultEnded  time.Time             // the last one; zero: there was none
	listedEnds  map[instanceID]int    // not acknowledged yet
	mostListed  int                   // at a time, of one instance
	longestStop time.Duration         // for which a run of a cancelled job went on in steady state
	waits       map[fleet.TaskID]*lastingWait
	longestWait time.Duration // of a lasting task for a run
	longestCalm time.Duration // of such a wait since the last fault
	violations  []string
	starts      int
}

var _ standin.Observer = (*checker)(nil)

func newChecker() *checker {
	return &checker{
		jobs: map[string]*sentJob{}, tasks: map[fleet.TaskID]*taskRecord{},
		capacity: map[string]structs.Resources{}, used: map[string]structs.Resources{}, voidedEnds: map[instanceID]uint64{}, listedEnds: map[instanceID]int{},
		waits: map[fleet.TaskID]*lastingWait{},
	}
}

// addViolation adds a violation with the time. The caller holds mu.
func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s %s", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...)))
}

// report adds a violation. Unlike addViolation it locks mu.
func (c *checker) report(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

// task returns the record of a task, a new one if it has none.
func (c *checker) task(id fleet.TaskID) *taskRecord {
	t := c.tasks[id]
	if t == nil {
		t = &taskRecord{running: map[string]startedRun{}, done: map[endID][]startedRun{}}
		c.tasks[id] = t
	}
	return t
}

// stepOf returns the job and the step of a task, or nil if no caller sent such a job.
func (c *checker) stepOf(id fleet.TaskID) (*sentJob, *fleet.Step) {
	job := c.jobs[id.Job]
	if job == nil || id.Occurrence != 0 || id.Step >= len(job.steps) || id.Index >= job.steps[id.Step].Count {
		return nil, nil
	}
	return job, &job.steps[id.Step]
}

// Started implements standin.Observer.
func (c *checker) Started(e standin.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	job, step := c.stepOf(e.Task)
	if job == nil || job.spec != e.Spec {
		c.addViolation("UNASKED %s run %d on %s", e.Task, e.Run, e.Executor)
		return
	}
	calm := !c.calmSince.IsZero() && time.Since(job.cancelAcked) > maxCancelTime && time.Since(c.calmSince) > contactTime
	if !job.cancelAcked.IsZero() && (calm || c.steadyTime(job.cancelAcked) > maxCancelTime) {
		c.addViolation("UNASKED %s run %d on %s, its job's cancellation was acknowledged %v ago", e.Task, e.Run, e.Executor, time.Since(job.cancelAcked).Round(time.Millisecond))
	}
	t := c.task(e.Task)
	t.starts++
	for executor, other := range t.running {
		c.addViolation("TWICE %s run %d of term %d on %s beside %s, %s", e.Task, e.Run, e.Fence, e.Executor, executor, other)
	}
	t.running[e.Executor] = startOf(e)
	for end := range t.done {
		t.done[end] = append(t.done[end], startOf(e))
	}
	if !t.acknowledged.IsZero() {
		c.addViolation("TWICE %s run %d of term %d on %s after its end was noted %v ago", e.Task, e.Run, e.Fence, e.Executor, time.Since(t.acknowledged).Round(time.Millisecond))
	}
	if t.failedRuns >= job.attempts && !step.Lasting {
		c.addViolation("BUDGET %s run %d after %d failed runs", e.Task, e.Run, t.failedRuns)
	}
	if t.crashes >= maxCrashes {
		if t.startsAfter++; t.startsAfter > maxStartsAfterCrashes {
			c.addViolation("BUDGET %s run %d on %s, it has crashed %d executors", e.Task, e.Run, e.Executor, t.crashes)
		}
	}
	for _, before := range step.After {
		for i := range job.steps[before].Count {
			if len(c.task(fleet.TaskID{Job: e.Task.Job, Step: before, Index: i}).done) == 0 {
				c.addViolation("ORDER %s run %d before step %d", e.Task, e.Run, before)
			}
		}
	}
	used := c.used[e.Executor].Add(reserved(step))
	c.used[e.Executor] = used
	if !used.Fits(c.capacity[e.Executor]) {
		c.addViolation("LIMIT %s run %d takes %s to %+v", e.Task, e.Run, e.Executor, used)
	}
}

// reserved returns the resources that a task takes from an executor's capacity. A
// filling task takes no processors.
func reserved(s *fleet.Step) structs.Resources {
	need := s.Need
	if s.Fills {
		need.MilliCPU = 0
	}
	return need
}

// Ended implements standin.Observer.
func (c *checker) Ended(e standin.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, step := c.stepOf(e.Task)
	if step == nil {
		return
	}
	if e.Reason != fleet.EndUnknown {
		c.listedEnds[instanceOf(e)]++
		c.mostListed = max(c.mostListed, c.listedEnds[instanceOf(e)])
	}
	t := c.task(e.Task)
	if e.Crashing {
		t.crashes++
	}
	if e.Reason == fleet.EndUnknown {
		t.lostRuns++
	}
	delete(t.running, e.Executor)
	need := reserved(step)
	c.used[e.Executor] = c.used[e.Executor].Add(structs.Resources{MilliCPU: -need.MilliCPU, MemoryMB: -need.MemoryMB, Accelerators: -need.Accelerators})
	if e.Reason == fleet.EndDone {
		t.done[endOf(e)] = nil
	}
}

// Acknowledged implements standin.Observer.
func (c *checker) Acknowledged(e standin.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listedEnds[instanceOf(e)]--
	if e.Number <= c.voidedEnds[instanceOf(e)] {
		return // a lapse between an end and its acknowledgement makes the end void
	}
	t := c.task(e.Task)
	switch e.Reason {
	case fleet.EndDone:
		if t.acknowledged.IsZero() {
			t.acknowledged = time.Now()
		}
		for _, run := range t.done[endOf(e)] {
			c.addViolation("TWICE %s after an end that was noted later: %s", e.Task, run)
		}
	case fleet.EndFailed:
		t.failedRuns++
	}
}

// Lapsed implements standin.Observer.
func (c *checker) Lapsed(e standin.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voidedEnds[instanceOf(e)] = e.Number
}

// addJob registers a job before its first submission.
func (c *checker) addJob(job *sentJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[job.id] = job
}

// update runs f, which changes a job, under the lock.
func (c *checker) update(job *sentJob, f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// checkState checks a state of a job that a caller received.
func (c *checker) checkState(job *sentJob, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case "done":
		for step := range job.steps {
			for i := range job.steps[step].Count {
				if id := (fleet.TaskID{Job: job.id, Step: step, Index: i}); len(c.task(id).done) == 0 {
					c.addViolation("MIXED %s is shown as done, %s has not ended so", job.id, id)
				}
			}
		}
	case "failed":
		if lost := c.lostRunsOf(job); !job.fails && (!job.crashes || lost < minCrashesToGiveUp) {
			c.addViolation("LOST %s is shown as failed, crashes executors: %t, lost runs of a task: %d", job.id, job.crashes, lost)
		}
	case "cancelled":
		if job.cancelled.IsZero() {
			c.addViolation("LOST %s is shown as cancelled, nobody has", job.id)
		}
	}
	if job.finalState != "" && state != job.finalState {
		c.addViolation("MIXED %s is shown as %s after %s", job.id, state, job.finalState)
	}
	if slices.Contains([]string{"done", "failed", "cancelled"}, state) {
		job.finalState = state
	}
}

// lostRunsOf returns the highest number of runs of a task of the job that ended with
// the instance of their executor.
func (c *checker) lostRunsOf(job *sentJob) int {
	most := 0
	for step := range job.steps {
		for i := range job.steps[step].Count {
			most = max(most, c.task(fleet.TaskID{Job: job.id, Step: step, Index: i}).lostRuns)
		}
	}
	return most
}

// checkNotFound checks the answer that a job does not exist.
func (c *checker) checkNotFound(job *sentJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !job.accepted.IsZero() && job.cancelled.IsZero() && time.Since(job.accepted) > maxVisibleDelay {
		c.addViolation("LOST %s was accepted %v ago and is not known", job.id, time.Since(job.accepted).Round(time.Millisecond))
	}
}

// beginFault notes that a fault begins.
func (c *checker) beginFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults++
}

// endFault notes that a fault has ended.
func (c *checker) endFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults--
	c.faultEnded = time.Now()
}

// steadyTime returns how long, since a point in time, no fault has been near; 0 or less if
// one is. The caller holds mu.
func (c *checker) steadyTime(since time.Time) time.Duration {
	if c.faults > 0 {
		return 0
	}
	if steady := c.faultEnded.Add(steadyDelay); !c.faultEnded.IsZero() && steady.After(since) {
		since = steady
	}
	return time.Since(since)
}

// checkCancelled reports the runs that have gone on for too long after the cancellation of
// their job.
func (c *checker) checkCancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, t := range c.tasks {
		job := c.jobs[id.Job]
		if job == nil || job.cancelAcked.IsZero() {
			continue
		}
		steady := c.steadyTime(job.cancelAcked)
		for executor, run := range t.running {
			c.longestStop = max(c.longestStop, steady)
			if steady > maxCancelTime+maxStopTime && !run.tooLong {
				c.addViolation("UNASKED %s on %s runs on, its job's cancellation was acknowledged %v ago, no fault is near for %v: %s",
					id, executor, time.Since(job.cancelAcked).Round(time.Millisecond), steady.Round(time.Millisecond), run)
				run.tooLong = true
				t.running[executor] = run
			}
		}
	}
}

// setCalm marks the end of the faults.
func (c *checker) setCalm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calmSince = time.Now()
}

// unsettled returns messages about what must not remain some time after the last
// fault: jobs that are not final, lasting tasks that do not run, and tasks that run
// although their job is final or its cancellation has been acknowledged.
func (c *checker) unsettled() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, job := range c.jobs {
		for step := range job.steps {
			for i := range job.steps[step].Count {
				id := fleet.TaskID{Job: job.id, Step: step, Index: i}
				running := len(c.task(id).running) > 0
				switch {
				case !job.cancelAcked.IsZero() && running:
					out = append(out, fmt.Sprintf("UNASKED %s runs, its job's cancellation was acknowledged", id))
				case job.finalState != "" && running:
					out = append(out, fmt.Sprintf("%s runs, its job is %s", id, job.finalState))
				case job.finalState == "" && !job.accepted.IsZero() && job.steps[step].Lasting && !running:
					out = append(out, fmt.Sprintf("%s does not run", id))
				}
			}
		}
		if job.finalState == "" && !job.accepted.IsZero() && !job.steps[0].Lasting {
			out = append(out, fmt.Sprintf("%s is not final", job.id))
		}
	}
	return out
}

// startsOf returns the number of starts of a task so far.
func (c *checker) startsOf(id fleet.TaskID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.task(id).starts
}

// extremes returns how long a run of a cancelled job went on with no fault near, and how
// many ends one executor listed at a time, at most.
func (c *checker) extremes() (longestStop time.Duration, mostListed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.longestStop, c.mostListed
}

// counts returns the number of submitted jobs and of started runs.
func (c *checker) counts() (jobs, starts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs), c.starts
}

// finish checks the rules that can be decided only at the end, and returns all
// violations.
func (c *checker) finish() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, t := range c.tasks {
		job := c.jobs[id.Job]
		if job != nil && job.accepted.IsZero() && !job.uncertain && job.refused && t.starts > 0 {
			c.addViolation("REFUSED %s has run, all attempts of its job were refused", id)
		}
	}
	return c.violations
}
