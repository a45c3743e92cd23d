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

// attempt is one attempt of a task. Times are since the start of the stand-in.
type attempt struct {
	spec       api.Spec
	state      api.State
	share      float64       // of its processors, set by Throttle
	progress   time.Duration // virtual work done
	lease      time.Duration // end of the lease
	ended      time.Duration
	checkpoint string
	reason     string
	history    []sample // for measurements that arrive late
}

// sample is the slowdown and share of an attempt from a time on.
type sample struct {
	from     time.Duration
	slowdown float64
	share    float64
}

func (t *attempt) progressMs() int64 { return t.progress.Milliseconds() }

func (t *attempt) work() time.Duration { return time.Duration(t.spec.DurationMs) * time.Millisecond }

// vm is the virtual machine: its attempts and their progress up to a time.
// It has no clock of its own.
type vm struct {
	slowdown SlowdownTable
	attempts map[structs.TaskID]*attempt      // the latest of each task
	seen     map[structs.TaskID]structs.Token // highest token of each task
	refused  map[structs.TaskID]structs.Token // highest tombstoned token
	at       time.Duration
	paused   bool
}

func newVM(slowdown SlowdownTable) vm {
	return vm{
		slowdown: slowdown, attempts: map[structs.TaskID]*attempt{},
		seen: map[structs.TaskID]structs.Token{}, refused: map[structs.TaskID]structs.Token{},
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

func (v *vm) reserved() structs.Resources {
	var sum structs.Resources
	for _, t := range v.attempts {
		if t.state == api.Running {
			sum = sum.Add(t.spec.Resources)
		}
	}
	return sum
}

// slowdownOf is the slowdown of t by its neighbours. A throttled neighbour
// disturbs in proportion to its share.
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

func (v *vm) speed(t *attempt, running []*attempt) float64 {
	if v.paused {
		return 0
	}
	return t.share / v.slowdownOf(t, running)
}

// next returns the earliest end of an attempt, by completion or by the end of
// its lease, if the set of attempts stays as it is.
func (v *vm) next() (t *attempt, at time.Duration, lapse bool) {
	running := v.runningTasks()
	for _, r := range running {
		end, byLease := r.lease, true
		if speed := v.speed(r, running); r.spec.DurationMs > 0 && speed > 0 {
			rest := float64(r.work()-r.progress) / speed
			if rest < float64(r.lease-v.at) {
				end, byLease = v.at+time.Duration(rest)+1, false
			}
		}
		if t == nil || end < at {
			t, at, lapse = r, max(end, v.at), byLease
		}
	}
	return t, at, lapse
}

// progressTo lets the running attempts work until a time at which the set of
// attempts has not changed since v.at.
func (v *vm) progressTo(to time.Duration) {
	if to <= v.at {
		return
	}
	running := v.runningTasks()
	for _, t := range running {
		t.progress += time.Duration(float64(to-v.at) * v.speed(t, running))
		if t.spec.DurationMs > 0 {
			t.progress = min(t.progress, t.work())
		}
	}
	v.at = to
}

// remember notes slowdown and share of the running attempts from v.at on, and
// drops samples that ended more than keep ago.
func (v *vm) remember(keep time.Duration) {
	running := v.runningTasks()
	for _, t := range running {
		now := sample{from: v.at, slowdown: v.slowdownOf(t, running), share: t.share}
		for len(t.history) > 1 && t.history[1].from < v.at-keep {
			t.history = t.history[1:]
		}
		t.history = append(t.history, now)
	}
}

// forget drops the ended attempts that List no longer shows.
func (v *vm) forget(before time.Duration) {
	for id, t := range v.attempts {
		if t.state != api.Running && t.ended < before {
			delete(v.attempts, id)
		}
	}
}

// Range of UseFactor.
const (
	minUseFactor = 0.6
	useFactorGap = 0.7
	useSteps     = 1000
)

// UseFactor is the ratio of actual to declared processors and memory of a
// template's tasks, from 0.6 to 1.3, derived from the template's name.
func UseFactor(template string) float64 {
	step := xxhash.Sum64String(template) % useSteps
	return minUseFactor + useFactorGap*float64(step)/(useSteps-1)
}

// checkpointName refers to saved progress. Any worker can resume from it, as
// the progress is its last part.
func checkpointName(spec api.Spec, progress time.Duration) string {
	return "checkpoint:" + spec.Task.Job + ":" + strconv.Itoa(spec.Task.Index) + ":" +
		strconv.FormatUint(uint64(spec.Token.Attempt), 10) + ":" + strconv.FormatInt(progress.Milliseconds(), 10)
}

// checkpointProgress returns the progress saved in a checkpoint.
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
