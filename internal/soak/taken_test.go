package soak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
)

var (
	takenSeeds = flag.Int("soak.taken.seeds", 0, "number of further seeds with machines taken away for good, from soak.first on")
	takenSize  = flag.String("soak.taken.size", "4,8", "entries and VMs of fleets whose machines are taken away, without replacements")
)

// takenSeedsAlways run every time: they found LOST before the leases of earlier leaders were
// bounded by a quorum of agents.
var takenSeedsAlways = []uint64{8, 11}

// youngOneIn is the share of seeds that take the first leader of a new fleet away within
// seconds: those with a remainder of youngRemainder.
const youngOneIn, youngRemainder = 4, 1

// Times and numbers of one seed in which machines are taken away.
const (
	maxLeadersTaken    = 3
	maxVMsTaken        = 2
	takenLastingJobs   = 4 // of each caller
	takenCallers       = 2
	failingLastingJobs = 2 // whose first runs fail, between minFailTime and maxFailTime after their start
	minFailTime        = 2 * time.Second
	maxFailTime        = 9 * time.Second
	// The leader of a new fleet states by which agents it grants leases 4.7 s after it first
	// does so.
	beforeTaken      = 9 * time.Second // of traffic
	beforeTakenYoung = 1500 * time.Millisecond
	afterTaken       = 3 * time.Second        // of traffic
	silentTime       = 3 * time.Second        // from the pause of a machine that falls silent to the end of its connections
	maxNoticeTime    = 2 * time.Second        // from SIGTERM to the end
	minTakenInterval = 200 * time.Millisecond // between leaders
	maxTakenInterval = 4 * time.Second
	minReplaceTime   = 300 * time.Millisecond
	maxReplaceTime   = 2 * time.Second
	minTroubleTime   = 500 * time.Millisecond
	maxTroubleTime   = 5 * time.Second
	lastingSpec      = `"run_ms":[0]` // in the specification of a lasting job
	failingRunTime   = 100 * time.Millisecond
)

// TestSoakTakenAway guards against lasting tasks that wait for long after leaders and VMs are
// taken away for good within seconds of each other, and against runs that start twice then.
func TestSoakTakenAway(t *testing.T) {
	playSeeds(t, withSeeds(takenSeedsAlways, *takenSeeds), max(*parallel, minCutWorlds), runTakenSeed)
}

// runTakenSeed runs one fleet of which leaders and VMs are taken away and replaced.
func runTakenSeed(t *testing.T, binary string, slot int, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel() // before the cleanups, which wait for the replacements
	size := fleetSize{domains: 1}
	_, err := fmt.Sscanf(*takenSize, "%d,%d", &size.entries, &size.vms)
	require.NoError(t, err, "-soak.taken.size")
	f := newTestFleet(ctx, t, binary, slot, seed, size)
	s := newTakenSeries(f)
	b := f.newBalancer()
	fleet.Sleep(ctx, startTime)
	sending, stopSending := context.WithCancel(ctx)
	for i := range takenCallers {
		go f.newCaller(b, seed*10+uint64(i)).run(sending, takenLastingJobs)
	}
	go f.newCaller(b, seed*10+takenCallers).recall(sending)
	go f.sendFailingLastingJobs(f.newCaller(b, seed*10+takenCallers+1))
	for _, p := range f.entries {
		go f.watchVersions(p)
	}
	go func() {
		for ; ctx.Err() == nil; fleet.Sleep(ctx, lastingInterval) {
			f.checker.checkLasting(f.presentVMs())
		}
	}()
	if seed%youngOneIn == youngRemainder {
		fleet.Sleep(ctx, beforeTakenYoung)
	} else {
		fleet.Sleep(ctx, beforeTaken)
	}
	s.run()
	f.clearFaults()
	fleet.Sleep(ctx, afterTaken)
	stopSending()
	open, violations := f.settle()
	wait, calm := f.checker.longestWaits()
	t.Logf("seed %d: longest wait of a lasting task: %v, since the last fault: %v", seed, wait.Round(time.Millisecond), calm.Round(time.Millisecond))
	f.conclude(open, violations)
}

// sendFailingLastingJobs submits lasting jobs whose first runs fail.
func (f *testFleet) sendFailingLastingJobs(c *caller) {
	go c.pollJobs()
	for range failingLastingJobs {
		job := c.newJob(c.rng, true)
		fail := minFailTime + time.Duration(c.rng.Int64N(int64(maxFailTime-minFailTime)))
		raw, err := json.Marshal(jobSpec{RunMs: []int{int(time.Hour.Milliseconds())}, Fails: 1 + c.rng.IntN(3), FailMs: int(fail.Milliseconds())})
		if err != nil {
			f.checker.report("spec: %v", err)
		}
		job.spec = string(raw)
		c.send(job)
	}
}

// takenSeries takes machines of a fleet away. The seed has drawn what it does.
type takenSeries struct {
	*testFleet
	leaders, vms, changes, trouble *rand.Rand // one for each series
	leaderCount                    int
	taken                          []int // indexes of the VMs; -1: the one with the most lasting tasks
	entrySpares                    []*process
	begin                          time.Time
	running                        sync.WaitGroup
}

// newTakenSeries adds the replacements to the fleet, which start later.
func newTakenSeries(f *testFleet) *takenSeries {
	draw := func() *rand.Rand { return rand.New(rand.NewPCG(f.rng.Uint64(), 7)) }
	s := &takenSeries{testFleet: f, leaders: draw(), vms: draw(), changes: draw(), trouble: draw(), leaderCount: 1 + f.rng.IntN(maxLeadersTaken)}
	s.taken = f.rng.Perm(f.size.vms)[:1+f.rng.IntN(maxVMsTaken)]
	sameNames := f.rng.IntN(3) == 0
	for k, i := range s.taken {
		node := fmt.Sprintf("side-%d", f.size.vms+k)
		if sameNames {
			node = f.agents[i].node
		} else if f.rng.IntN(4) > 0 {
			s.taken[k] = -1
		}
		f.addVM(node, f.size.vms+k, 0)
		f.agents[f.size.vms+k].away = true
	}
	for k := range s.leaderCount {
		n := f.size.entries + k
		p := f.addProcess("fleet-entry", fmt.Sprintf("front-%d", n), entryIP+n, 0, "")
		p.away = true
		f.entries = append(f.entries, p)
		s.entrySpares = append(s.entrySpares, p)
	}
	return s
}

// run carries out all series, which overlap, and waits for their end.
func (s *takenSeries) run() {
	s.begin = time.Now()
	s.running.Go(func() {
		for k := range s.leaderCount {
			if k > 0 {
				fleet.Sleep(s.ctx, between(s.leaders, minTakenInterval, maxTakenInterval))
			}
			spare := s.entrySpares[k]
			s.take(s.leaders, s.nextLeader(), func() {}, func() { s.start(spare) })
		}
	})
	s.running.Go(func() {
		for k, i := range s.taken {
			fleet.Sleep(s.ctx, between(s.vms, 0, maxTakenInterval))
			spare := s.size.vms + k
			if i < 0 || s.agents[i].isAway() {
				i = s.checker.mostLasting(s.agents[:s.size.vms])
			}
			s.take(s.vms, s.agents[i], s.executors[i].Crash, func() {
				s.startInstance(spare)
				s.start(s.agents[spare])
			})
		}
	})
	s.running.Go(func() {
		for range s.changes.IntN(4) {
			fleet.Sleep(s.ctx, between(s.changes, 0, 2*meanFaultInterval))
			s.disrupt(s.changes, plannedWork)
		}
	})
	if s.trouble.IntN(2) == 0 {
		s.running.Go(func() {
			fleet.Sleep(s.ctx, between(s.trouble, 0, maxTakenInterval))
			s.disrupt(s.trouble, takenTroubles)
		})
	}
	s.running.Wait()
}

// log logs a step with the times of the day and of the series.
func (s *takenSeries) log(format string, args ...any) {
	s.t.Logf("%s %6.2f s %s", time.Now().Format("15:04:05.000"), time.Since(s.begin).Seconds(), fmt.Sprintf(format, args...))
}

// disrupt injects one of some kinds of disruptions.
func (s *takenSeries) disrupt(rng *rand.Rand, kinds []disruption) {
	d, length := pick(rng, kinds), between(rng, minTroubleTime, maxTroubleTime)
	s.log("%s for up to %v", d.name, length.Round(time.Millisecond))
	s.inject(d, rng, length)
	s.log("%s ended", d.name)
}

// nextLeader returns the entry that leads. If that one has been taken away already, it
// returns another one that may be elected, or waits for the election.
func (s *takenSeries) nextLeader() *process {
	wait, after := s.leaders.IntN(2) == 0, between(s.leaders, 0, minTakenInterval)
	p := s.leader()
	if !p.isAway() {
		return p
	}
	others := present(s.entries)
	if !wait && len(others) > 0 {
		return pick(s.leaders, others)
	}
	for ; s.ctx.Err() == nil && p.isAway(); p = s.leader() {
		fleet.Sleep(s.ctx, lastingInterval)
	}
	fleet.Sleep(s.ctx, after)
	return p
}

// take takes a machine away for good: without notice, after SIGTERM, or so that its
// connections stay open without an answer. It starts the replacement later.
func (s *takenSeries) take(rng *rand.Rand, p *process, crash, replace func()) {
	way, notice, delay := rng.IntN(3), between(rng, 0, maxNoticeTime), between(rng, minReplaceTime, maxReplaceTime)
	s.log("%s is taken away, %s, replaced after %v", p.node, []string{"killed", fmt.Sprintf("SIGTERM %v before", notice.Round(time.Millisecond)), "silent"}[way], delay.Round(time.Millisecond))
	s.checker.beginFault()
	p.mu.Lock()
	p.away = true
	p.mu.Unlock()
	switch way {
	case 0:
		p.signal(syscall.SIGKILL)
	case 1:
		p.signal(syscall.SIGTERM)
		fleet.Sleep(s.ctx, notice)
		p.signal(syscall.SIGKILL)
	case 2:
		p.signal(syscall.SIGSTOP)
		s.running.Go(func() {
			fleet.Sleep(s.ctx, silentTime)
			p.signal(syscall.SIGKILL)
		})
	}
	crash()
	s.checker.endFault()
	s.running.Go(func() {
		fleet.Sleep(s.ctx, delay)
		s.log("replacement of %s starts", p.node)
		replace()
	})
}

// start starts a replacement.
func (s *takenSeries) start(p *process) {
	p.mu.Lock()
	p.away = false
	p.mu.Unlock()
	s.supervise(p)
}

// takenTroubles holds what half of the seeds inject beside.
var takenTroubles = []disruption{
	{"sessions reset", func(f *testFleet, rng *rand.Rand, _ time.Duration) {
		for range 1 + rng.IntN(3) {
			pick(rng, present(f.processes())).sessions.resetConns()
		}
	}, false},
	{"sessions silenced", func(f *testFleet, rng *rand.Rand, _ time.Duration) {
		for range 1 + rng.IntN(3) {
			pick(rng, present(f.processes())).sessions.silenceConns()
		}
	}, false},
	{"store resets", storeFault(storeReset), false}, {"store silent", storeFault(storeSilent), false},
	{"store slow", storeFault(storeSlow), false}, {"store loses answers", storeFault(storeLosesAnswers), false},
	{"leader paused", func(f *testFleet, _ *rand.Rand, d time.Duration) {
		p := f.leader()
		p.signal(syscall.SIGSTOP)
		fleet.Sleep(f.ctx, d)
		if !p.isAway() { // else it stays silent
			p.signal(syscall.SIGCONT)
		}
	}, false},
	{"executor fails its lasting tasks", func(f *testFleet, rng *rand.Rand, d time.Duration) {
		p := pick(rng, present(f.agents))
		f.failing.Store(int32(slices.Index(f.agents, p)) + 1)
		fleet.Sleep(f.ctx, d)
		f.failing.Store(0)
	}, false},
}

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// present returns the processes that have not been taken away.
func present(from []*process) []*process {
	return slices.DeleteFunc(slices.Clone(from), (*process).isAway)
}

// presentVMs returns the nodes of the VMs that have not been taken away.
func (f *testFleet) presentVMs() []string {
	var out []string
	for _, p := range present(f.agents) {
		out = append(out, p.node)
	}
	return out
}
