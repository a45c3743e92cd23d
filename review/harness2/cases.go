package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Queues of the cases, as on the small site.
var (
	checks  = queue{name: "slot-check", prefix: "/checks/", priority: 0, maxAttempts: 3, stretch: 1.5, targetMs: 250}
	rosters = queue{name: "roster-build", prefix: "/rosters/", priority: 2, maxAttempts: 4, stretch: 2, targetMs: 1000}
	feeds   = queue{name: "board-feed", prefix: "/feeds/", priority: 0, maxAttempts: 2, stretch: 2.2, targetMs: 2500}
	queues  = []queue{checks, rosters, feeds}
)

// machines is the number of executors: one of them is a tenth, the largest share of executors
// that the pages have go down and up by turns.
const machines = 10

// runTimes says how long runs take by the first word of the spec.
func runTimes(times map[string]time.Duration) work {
	return func(_, spec string) (time.Duration, string) {
		kind, _, _ := strings.Cut(spec, " ")
		return time.Duration(float64(times[kind]) * (0.7 + 0.6*rand.Float64())), "done"
	}
}

// begin starts a fleet with three entries.
func begin(log *record, sides int, kind func(int) string, times map[string]time.Duration) (*fleetUnderTest, string) {
	f, err := newFleet(log, 3, sides, queues)
	if err != nil {
		return nil, err.Error()
	}
	for _, x := range f.executors {
		x.work = runTimes(times)
	}
	if err := f.start(kind); err != nil {
		f.stop()
		return nil, err.Error()
	}
	return f, ""
}

func sameKind(int) string { return "a" }

// jobList holds jobs. It is safe for concurrent use.
type jobList struct {
	mu   sync.Mutex
	jobs []*job
}

func (l *jobList) add(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, j)
}

func (l *jobList) all() []*job {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*job{}, l.jobs...)
}

// every calls send in the background at an interval, until the time is over.
func every(wait *sync.WaitGroup, interval, length time.Duration, send func()) {
	wait.Add(1)
	go func() {
		defer wait.Done()
		end := time.Now().Add(length)
		for time.Now().Before(end) {
			wait.Add(1)
			go func() { defer wait.Done(); send() }()
			time.Sleep(interval)
		}
	}()
}

// givenUp: an executor crashes while it stops a run that it has just started, and three times more
// in the next 4 s. Short jobs displace filling tasks all the time, so there are many such stops.
func givenUp(log *record, trouble bool) verdict {
	const (
		length  = 80 * time.Second
		crashes = 4
		down    = 600 * time.Millisecond
		up      = 450 * time.Millisecond
		justNow = 300 * time.Millisecond
		pause   = 10 * time.Second // between two rows of crashes
	)
	f, problem := begin(log, machines, sameKind, map[string]time.Duration{"check": 850 * time.Millisecond, "roster": 2300 * time.Millisecond})
	if f == nil {
		return verdict{problem: problem}
	}
	defer f.stop()
	var row sync.Mutex
	var last time.Time // end of the last row of crashes
	if trouble {
		for _, x := range f.executors {
			x.setOnStop(func(task string, age time.Duration, listed bool) {
				if listed || age > justNow || !row.TryLock() {
					return
				}
				defer row.Unlock()
				if time.Since(last) < pause {
					return
				}
				log.event("crashes begin", "machine", x.machine, "stopping", task)
				for range crashes {
					x.crash()
					time.Sleep(down)
					if err := x.begin("a"); err != nil {
						log.event("executor does not begin", "err", err)
						return
					}
					time.Sleep(up)
				}
				last = time.Now()
			})
		}
	}
	var jobs jobList
	var wait sync.WaitGroup
	for range 4 {
		jobs.add(f.submit(feeds, "feed x", step{"count": machines, "cpu": 3200, "mem_mb": 12500, "estimate_ms": 300, "long_running": true, "image": "f1", "max_per_server": 1}))
	}
	time.Sleep(2 * time.Second)
	every(&wait, 500*time.Millisecond, length, func() {
		jobs.add(f.submit(rosters, "roster x", step{"count": 8, "cpu": 1800, "mem_mb": 3200, "estimate_ms": 2300, "fills": true, "image": "r1"}))
	})
	every(&wait, 240*time.Millisecond, length, func() {
		jobs.add(f.submit(checks, "check x", step{"count": 6, "cpu": 240, "mem_mb": 960, "estimate_ms": 850}))
	})
	wait.Wait()
	for _, x := range f.executors {
		x.setOnStop(nil)
	}
	time.Sleep(crashes*(down+up) + 2*time.Second) // the last row ends
	return judgeFailed(f, jobs.all())
}

// allowedCrashes is the number of executors that have to crash under a task before its job may be
// given up.
const allowedCrashes = 2

// judgeFailed finds accepted jobs that nobody has cancelled and that are shown as failed, although
// no run of them has ended as failed and no task has had as many executors crash under it as
// allow it to be given up.
func judgeFailed(f *fleetUnderTest, jobs []*job) verdict {
	var v verdict
	for _, j := range jobs {
		if j.accepted.IsZero() || f.state(j) != "failed" {
			continue
		}
		failed, lost, most := 0, map[string]int{}, 0
		for _, e := range f.log.runsOf(j.id) {
			switch e.what {
			case "failed":
				failed++
			case "gone":
				lost[e.task]++
				most = max(most, lost[e.task])
			}
		}
		line := fmt.Sprintf("job %s is shown as failed; runs that ended failed: %d, executors that crashed under one task: %d at most", j.id, failed, most)
		if failed == 0 && most < allowedCrashes {
			v.broken = append(v.broken, "LOST: "+line)
		} else {
			f.log.event("allowed: " + line)
		}
	}
	return v
}

// otherKind: executors crash one after the other and are back a second later as another kind,
// while tasks that need the former kind start all the time.
func otherKind(log *record, trouble bool) verdict {
	const length = 40 * time.Second
	f, problem := begin(log, machines, sameKind, map[string]time.Duration{"check": 850 * time.Millisecond})
	if f == nil {
		return verdict{problem: problem}
	}
	defer f.stop()
	var wait sync.WaitGroup
	every(&wait, 250*time.Millisecond, length, func() {
		f.submit(checks, "check x", step{"count": 6, "cpu": 240, "mem_mb": 480, "estimate_ms": 850, "required_label": "a"})
	})
	if trouble {
		for i := range 4 {
			time.Sleep(6 * time.Second)
			f.executors[i].crash()
			time.Sleep(time.Second)
			if err := f.executors[i].begin("b"); err != nil {
				return verdict{problem: err.Error()}
			}
		}
	}
	wait.Wait()
	var v verdict
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, e := range log.runs {
		if e.what == "start" && e.kind != "a" {
			v.broken = append(v.broken, fmt.Sprintf("ROUTE: task %s run %d, which needs the label a, started on %s of kind %s", e.task, e.run, e.machine, e.kind))
		}
	}
	return v
}

// lateSubmission: one entry after the other stands still for 4 s. A client that gets no answer
// from it in its time limit cancels its job through another entry.
func lateSubmission(log *record, trouble bool) verdict {
	const (
		freeze   = 4 * time.Second
		sendFor  = time.Second
		interval = 80 * time.Millisecond
		pause    = 4 * time.Second
		calm     = 12 * time.Second
	)
	f, problem := begin(log, machines, sameKind, nil)
	if f == nil {
		return verdict{problem: problem}
	}
	defer f.stop()
	var jobs jobList
	var calmSince time.Time
	for i, entry := range f.fronts {
		other := f.fronts[(i+1)%len(f.fronts)]
		var wait sync.WaitGroup
		every(&wait, interval, sendFor, func() { jobs.add(f.submitOrCancel(entry, other)) })
		time.Sleep(sendFor / 2)
		if trouble {
			log.event("entry stands still", "node", entry.node)
			entry.signal(syscall.SIGSTOP)
			time.Sleep(freeze)
			entry.signal(syscall.SIGCONT)
			log.event("entry goes on", "node", entry.node)
		}
		wait.Wait()
		calmSince = time.Now()
		time.Sleep(pause)
	}
	time.Sleep(calm)
	return judgeCanceled(f, jobs.all(), calmSince)
}

// submitOrCancel hands in a small feed at one entry, and cancels it at another one: without an
// answer the client does not know whether the feed was accepted.
func (f *fleetUnderTest) submitOrCancel(entry, other *process) *job {
	j := &job{id: newID(), queue: feeds.prefix, sent: time.Now()}
	a := f.call(entry, http.MethodPost, j.queue+j.id, map[string]any{"spec": "feed x", "steps": []step{{"count": 1, "cpu": 100, "mem_mb": 100, "estimate_ms": 300, "long_running": true}}})
	if a.status/100 == 2 {
		j.accepted = time.Now()
	}
	for range 1 + retries {
		if a := f.call(other, http.MethodDelete, j.queue+j.id, nil); a.status/100 == 2 || a.status == http.StatusGone {
			j.canceled, j.gone = time.Now(), a.status == http.StatusGone
			return j
		}
		time.Sleep(300 * time.Millisecond)
	}
	return j
}

// Bounds of the rule on cancelled jobs.
const (
	cancelBound  = 3 * time.Second
	stopBound    = 900 * time.Millisecond
	contactBound = 3 * time.Second
)

// judgeCanceled finds runs that go on at the end, although the cancelling of their job was
// acknowledged and nothing has been disturbed for longer than the bounds allow.
func judgeCanceled(f *fleetUnderTest, jobs []*job, calmSince time.Time) verdict {
	var v verdict
	now := time.Now()
	for _, j := range jobs {
		if j.canceled.IsZero() {
			continue
		}
		running := map[string]time.Time{}
		for _, e := range f.log.runsOf(j.id) {
			if e.what == "start" {
				running[e.task] = e.at
			} else {
				delete(running, e.task)
			}
		}
		for task, at := range running {
			since := calmSince
			for _, t := range []time.Time{j.canceled, at} {
				if t.After(since) {
					since = t
				}
			}
			if calm := now.Sub(since); calm > contactBound+cancelBound+stopBound {
				v.broken = append(v.broken, fmt.Sprintf("UNASKED: the cancelling of job %s was acknowledged (with 410: %v, after a 2xx for the job: %v), task %s started %.1f s after that and still runs after %.1f s without a disruption", j.id, j.gone, !j.accepted.IsZero(), task, at.Sub(j.canceled).Seconds(), calm.Seconds()))
			}
		}
	}
	return v
}

// displaced: many short jobs of the highest priority come at once. A step that lasts, fills, and
// may miss one task has a task on each machine.
func displaced(log *record, trouble bool) verdict {
	const (
		mayMiss  = 1
		interval = 260 * time.Millisecond // between checks, as on the sheet
		burst    = 2.6
		burstFor = 4 * time.Second
	)
	f, problem := begin(log, machines, sameKind, map[string]time.Duration{"check": 850 * time.Millisecond})
	if f == nil {
		return verdict{problem: problem}
	}
	defer f.stop()
	for range 4 {
		f.submit(feeds, "feed x", step{"count": machines, "cpu": 3200, "mem_mb": 12500, "estimate_ms": 300, "long_running": true, "image": "f1", "max_per_server": 1})
	}
	time.Sleep(3 * time.Second)
	j := f.submit(rosters, "standing x", step{"count": machines, "cpu": 1800, "mem_mb": 12000, "estimate_ms": 300, "long_running": true, "fills": true, "image": "s1", "max_per_server": 1, "may_miss": mayMiss})
	time.Sleep(4 * time.Second)
	var wait sync.WaitGroup
	check := func() {
		f.submit(checks, "check x", step{"count": 6, "cpu": 240, "mem_mb": 480, "estimate_ms": 850})
	}
	every(&wait, interval, 20*time.Second, check)
	time.Sleep(6 * time.Second)
	if trouble {
		log.event("burst", "x", burst)
		every(&wait, time.Duration(float64(interval)/(burst-1)), burstFor, check)
	}
	wait.Wait()
	time.Sleep(3 * time.Second)
	return judgeAvailable(log, j, mayMiss)
}

// startup is how long a lasting run takes until its percent is 100.
const startup = 300 * time.Millisecond

// judgeAvailable finds tasks of a job that were at work and were ended by a stop while too many
// others of their step were away, ended by such an order.
func judgeAvailable(log *record, j *job, mayMiss int) verdict {
	var v verdict
	started, stopped := map[string]time.Time{}, map[string]bool{}
	for _, e := range log.runsOf(j.id) {
		if e.what == "start" {
			started[e.task] = e.at
			continue
		}
		if e.what != "stopped" {
			continue
		}
		away := 0
		for task := range stopped {
			if at, again := started[task]; task != e.task && (!again || e.at.Sub(at) < startup) {
				away++
			}
		}
		if at, ok := started[e.task]; ok && e.at.Sub(at) > startup && away >= mayMiss {
			v.broken = append(v.broken, fmt.Sprintf("AVAIL: %s at work for %.1f s was stopped while %d others of its step were away by such an order, may_miss is %d", e.task, e.at.Sub(at).Seconds(), away, mayMiss))
		}
		delete(started, e.task)
		stopped[e.task] = true
	}
	return v
}

// shunned: one machine is the only one of its kind. Its executor fails all that it starts for
// 6.5 s. A job that needs that kind, and of which each task fails once, is asked for finish_s
// after the last request.
func shunned(log *record, trouble bool) verdict {
	const (
		sides   = 12 // one of them is within the share of executors that fail what they start
		grey    = 6500 * time.Millisecond
		finish  = 14 * time.Second
		nothing = 3 * time.Second
		width   = 26
		late    = 700 * time.Millisecond // before the executor is sound again
	)
	only := sides - 1
	f, problem := begin(log, sides, func(i int) string {
		if i == only {
			return "b"
		}
		return "a"
	}, map[string]time.Duration{"check": 850 * time.Millisecond})
	if f == nil {
		return verdict{problem: problem}
	}
	defer f.stop()
	var failing atomic.Bool
	good := f.executors[only].work
	f.executors[only].work = func(task, spec string) (time.Duration, string) {
		if failing.Load() {
			return 150 * time.Millisecond, "failed"
		}
		return good(task, spec)
	}
	other := step{"count": 6, "cpu": 240, "mem_mb": 480, "estimate_ms": 850}
	needy := step{"count": width, "cpu": 240, "mem_mb": 480, "estimate_ms": 850, "required_label": "b"}
	var wait sync.WaitGroup
	every(&wait, 500*time.Millisecond, grey, func() { f.submit(checks, "check x", other) })
	if trouble {
		log.event("executor fails all that it starts", "machine", f.executors[only].machine)
		failing.Store(true)
	}
	time.Sleep(grey - late)
	j := f.submit(checks, "check x", needy)
	time.Sleep(late)
	failing.Store(false)
	log.event("executor is sound again")
	wait.Wait()
	asked := time.Now().Add(finish)
	time.Sleep(finish)
	state := f.state(j)
	if j.accepted.IsZero() || state == "" {
		return verdict{problem: "the job was not accepted or its state is not known"}
	}
	for _, e := range log.runsOf(j.id) {
		if !e.at.Before(asked.Add(-nothing)) {
			return verdict{} // something of it ran
		}
	}
	if state == "done" || state == "failed" {
		return verdict{}
	}
	return verdict{broken: []string{fmt.Sprintf("LOST: job %s is shown as %s %v after the last request and has had nothing running for %v, although its machine is sound and idle", j.id, state, finish, nothing)}}
}
