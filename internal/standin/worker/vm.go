package worker

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillalock.example/vanillalock/internal/structs"
	api "vanillalock.example/vanillalock/internal/worker"
)

// attempt is one attempt of a task. Its points in time are durations since the
// start of the stand-in.
type attempt struct {
	spec       api.Spec
	state      api.State
	share      float64       // fraction of its processors, set by Throttle
	progress   time.Duration // virtual work done
	leaseEnd   time.Duration
	endedAt    time.Duration
	checkpoint string
	reason     string
	samples    []sample // for Usage, which lags behind
}

// sample holds the slowdown and the share of an attempt from a point in time until
// the next sample.
type sample struct {
	from     time.Duration
	slowdown float64
	share    float64
}

func (t *attempt) progressMs() int64 { return t.progress.Milliseconds() }

// totalWork returns the virtual work after which the attempt is done; 0: it runs
// until it is stopped.
func (t *attempt) totalWork() time.Duration {
	return time.Duration(t.spec.DurationMs) * time.Millisecond
}

// vm models the attempts of the virtual machine and their progress up to the time
// advancedTo. It reads no clock.
type vm struct {
	slowdown     SlowdownTable
	attempts     map[structs.TaskID]*attempt      // latest attempt of each task
	highestToken map[structs.TaskID]structs.Token // highest token seen of each task
	tombstones   map[structs.TaskID]structs.Token // highest tombstoned token of each task
	advancedTo   time.Duration
	paused       bool
}

func newVM(slowdown SlowdownTable) vm {
	return vm{
		slowdown: slowdown, attempts: map[structs.TaskID]*attempt{},
		highestToken: map[structs.TaskID]structs.Token{}, tombstones: map[structs.TaskID]structs.Token{},
	}
}

// runningTasks returns the running attempts ordered by task.
func (v *vm) runningTasks() []*attempt {
	var out []*attempt
	for _, t := range v.attempts {
		if t.state == api.Running {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool { return lessTask(out[i].spec.Task, out[j].spec.Task) })
	return out
}

func lessTask(a, b structs.TaskID) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	return a.Index < b.Index
}

// reserved returns the sum of the declared resources of the running attempts.
func (v *vm) reserved() structs.Resources {
	var sum structs.Resources
	for _, t := range v.attempts {
		if t.state == api.Running {
			sum = sum.Add(t.spec.Resources)
		}
	}
	return sum
}

// slowdownOf returns the factor by which the other running attempts slow t down. A
// throttled attempt contributes in proportion to its share.
func (v *vm) slowdownOf(t *attempt, running []*attempt) float64 {
	total := 1.0
	for _, other := range running {
		factor, ok := v.slowdown[t.spec.Template][other.spec.Template]
		if other != t && ok && factor > 1 {
			total += (factor - 1) * other.share
		}
	}
	return total
}

// speed returns the virtual work of t per unit of time.
func (v *vm) speed(t *attempt, running []*attempt) float64 {
	if v.paused {
		return 0
	}
	return t.share / v.slowdownOf(t, running)
}

// nextEnd returns the attempt that ends first if the set of attempts does not
// change, the time of its end, and whether it ends because its lease expires. It
// returns nil if no attempt runs.
func (v *vm) nextEnd() (t *attempt, at time.Duration, lapse bool) {
	running := v.runningTasks()
	for _, r := range running {
		end, byLease := r.leaseEnd, true
		if speed := v.speed(r, running); r.spec.DurationMs > 0 && speed > 0 {
			rest := float64(r.totalWork()-r.progress) / speed
			if rest < float64(r.leaseEnd-v.advancedTo) {
				end, byLease = v.advancedTo+time.Duration(rest)+1, false
			}
		}
		if t == nil || end < at {
			t, at, lapse = r, max(end, v.advancedTo), byLease
		}
	}
	return t, at, lapse
}

// progressTo adds the work of the running attempts between advancedTo and the given
// time. The set of attempts must not change in between.
func (v *vm) progressTo(to time.Duration) {
	if to <= v.advancedTo {
		return
	}
	running := v.runningTasks()
	for _, t := range running {
		t.progress += time.Duration(float64(to-v.advancedTo) * v.speed(t, running))
		if t.spec.DurationMs > 0 {
			t.progress = min(t.progress, t.totalWork())
		}
	}
	v.advancedTo = to
}

// recordSamples appends a sample from advancedTo on to each running attempt, and
// drops the samples that ended more than keep before.
func (v *vm) recordSamples(keep time.Duration) {
	running := v.runningTasks()
	for _, t := range running {
		now := sample{from: v.advancedTo, slowdown: v.slowdownOf(t, running), share: t.share}
		for len(t.samples) > 1 && t.samples[1].from < v.advancedTo-keep {
			t.samples = t.samples[1:]
		}
		t.samples = append(t.samples, now)
	}
}

// dropEnded removes the attempts that ended before the given time, so that List no
// longer returns them.
func (v *vm) dropEnded(before time.Duration) {
	for id, t := range v.attempts {
		if t.state != api.Running && t.endedAt < before {
			delete(v.attempts, id)
		}
	}
}

// Range and number of steps of UseFactor.
const (
	minUseFactor   = 0.6
	useFactorRange = 0.7
	useSteps       = 1000
)

// UseFactor returns the ratio of actual to declared processors and memory of a
// template's tasks, from 0.6 to 1.3. It is derived from the template's name.
func UseFactor(template string) float64 {
	step := xxhash.Sum64String(template) % useSteps
	return minUseFactor + useFactorRange*float64(step)/(useSteps-1)
}

// checkpointName returns the name of a checkpoint. Its last part is the progress in
// milliseconds, so that any worker can resume from it.
func checkpointName(spec api.Spec, progress time.Duration) string {
	return "checkpoint:" + spec.Task.Job + ":" + strconv.Itoa(spec.Task.Index) + ":" +
		strconv.FormatUint(uint64(spec.Token.Attempt), 10) + ":" + strconv.FormatInt(progress.Milliseconds(), 10)
}

// checkpointProgress returns the progress in the name of a checkpoint, 0 for an
// empty name, and whether the name is valid.
func checkpointProgress(name string) (time.Duration, bool) {
	if name == "" {
		return 0, true
	}
	i := strings.LastIndexByte(name, ':')
	ms, err := strconv.ParseInt(name[i+1:], 10, 64)
	if err != nil || ms < 0 || ms > maxWorkMs || !strings.HasPrefix(name, "checkpoint:") {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
