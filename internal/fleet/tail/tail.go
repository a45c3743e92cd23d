// Package tail estimates which filling images disturb which serving images, and
// advises on the pace of filling tasks. Serving tasks answer requests within a
// tail latency target; filling tasks use the CPU that other tasks of the
// VM leave. The package has no I/O and no clock of its own.
//
// A pair of a serving and a filling image interferes if the filling image disturbs
// the serving one. Few pairs do, but those that do interfere strongly. The tasks
// of one job share a load that changes within seconds, so a reading of the tail
// latency is compared with the current baseline of the task's group. For each
// pair of images the package keeps the probability that it interferes, updated
// by Bayes' rule: a bad reading raises it for the filling images on the VM that
// explain the reading best, any other reading lowers it for all of them.
package tail

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of the estimate. They fit a load of 70 VMs with 9 serving and 18
// filling images. A level is a tail latency as a share of its target.
const (
	// minReadingInterval is the shortest time between two readings of a task that
	// both count: the platform computes each over the last half second.
	minReadingInterval = 450 * time.Millisecond
	// The platform applies a pace within effectDelay. The readings show the full
	// effect of a filling task effectRise later, and a part of it before.
	effectDelay = 100 * time.Millisecond
	effectRise  = 500 * time.Millisecond
	// recoveryRatio is the ratio to the previous reading below which a task
	// recovers: the cause has gone, but its queue takes seconds to drain.
	recoveryRatio = 0.92
	// A level is raised above raisedRatio times the baseline of the group, since
	// load alone keeps nine in ten readings below 1.27 times the baseline. Below
	// minRaisedLevel a rise is harmless.
	raisedRatio    = 1.4
	minRaisedLevel = 0.4
	// The baseline of a group is the lower quartile of the levels within
	// groupWindow, as some of its tasks may be disturbed. The window covers two
	// readings of each task; they have to come from minGroupVMs VMs or more.
	minGroupVMs = 3
	groupWindow = 1100 * time.Millisecond
	// maxLoadGrowth bounds the growth of a load between two readings.
	maxLoadGrowth = 1.08
	// maxLoadLevel is the level above which a reading is bad whatever the load,
	// as load alone reaches 0.62.
	maxLoadLevel = 0.85
	// priorProbability is that of an unknown pair; 31 of 139 pairs interfere.
	priorProbability = 0.25
	// noticeRate is the rate at which the probability that a reading shows a
	// disturbance rises with the amount of the filling image: to 0.5 for one task
	// and 0.7 for two.
	noticeRate = 0.8
	// maxNotice bounds that probability, as a single reading can mislead.
	maxNotice = 0.9
	// Probabilities of a bad reading that no filling task has caused: after a good
	// one (0.014 on VMs without filling tasks), and after another bad one, while a
	// queue drains.
	suddenProbability    = 0.03
	lingeringProbability = 0.25
	// maxWeight bounds the evidence for or against a pair, in natural logarithms
	// of odds, so that three readings can reverse it.
	maxWeight = 5.0
	// disturbsAbove is the probability above which a filling task is slowed and
	// moved.
	disturbsAbove = 0.5
	// evidenceHalfLife spans several runs of an image, which comes back within 10
	// to 20 s. As evidence decays, a pair that was blamed wrongly is tried again.
	evidenceHalfLife = 40 * time.Second
	// coresPerAmount is the number of cores of a filling image that count as an
	// amount of 1. The mean task of large filling jobs takes 3.5 cores.
	coresPerAmount = 3.0
)

// Serving is a task that answers requests within a tail latency target.
type Serving struct {
	ID     string
	Group  string // tasks of a group, such as a job, share a load
	Image  string
	Target time.Duration
	Tail   time.Duration // newest reading of the tail latency; 0: none
}

// level returns the tail latency as a share of the target, or 0 if it is unknown.
func (s Serving) level() float64 {
	if s.Target <= 0 {
		return 0
	}
	return float64(s.Tail) / float64(s.Target)
}

// Filling is a task that uses the CPU that other tasks leave.
type Filling struct {
	Image   string
	Cores   float64
	Pace    int           // percent
	PaceAge time.Duration // how long it has worked at this pace
}

// amount returns the CPU use of the task in units of coresPerAmount.
func (f Filling) amount() float64 { return f.Cores * float64(f.Pace) / 100 / coresPerAmount }

// pair is a serving image and a filling image.
type pair struct{ serving, filling string }

// evidence is what the readings say about a pair. Its weight decays with the
// half-life evidenceHalfLife.
type evidence struct {
	weight float64   // natural logarithm of the odds that the pair interferes, relative to the prior odds
	at     time.Time // when weight was last updated
}

// servingState is what is known of a serving task.
type servingState struct {
	level      float64   // last reading as a share of the target
	baseline   float64   // level that the load explains, by the task's own readings
	readAt     time.Time // when the last reading was taken
	overSince  time.Time // since when it has been over the target; zero: it is not
	recovering bool
	raised     bool // higher than the load explains
}

// reading is the level of a task on a VM at a time.
type reading struct {
	level float64
	vm    string
	at    time.Time
}

// Estimator estimates which pairs of images interfere from the readings of serving
// tasks. It is not safe for concurrent use.
type Estimator struct {
	pairs  map[pair]*evidence
	tasks  map[string]*servingState // by task id
	groups map[string][]reading     // recent readings by group, oldest first
	now    time.Time
}

// NewEstimator returns an Estimator without evidence.
func NewEstimator() *Estimator {
	return &Estimator{pairs: map[pair]*evidence{}, tasks: map[string]*servingState{}, groups: map[string][]reading{}}
}

// taskRetention is the time without a reading after which a task counts as ended.
const taskRetention = 30 * time.Second

// dropEnded drops the tasks and groups that have ended.
func (est *Estimator) dropEnded() {
	for name, readings := range est.groups {
		if est.now.Sub(readings[len(readings)-1].at) > taskRetention {
			delete(est.groups, name)
		}
	}
	for id, t := range est.tasks {
		if est.now.Sub(t.readAt) > taskRetention {
			delete(est.tasks, id)
		}
	}
}

// DisturbanceProbability returns the probability that a filling image disturbs a
// serving one.
func (est *Estimator) DisturbanceProbability(serving, filling string) float64 {
	odds := priorProbability / (1 - priorProbability)
	if e := est.pairs[pair{serving, filling}]; e != nil {
		odds *= math.Exp(e.weight * est.decay(e))
	}
	return odds / (1 + odds)
}

// Disturbs reports whether a filling image probably disturbs a serving one, so
// that their tasks should not share a VM.
func (est *Estimator) Disturbs(serving, filling string) bool {
	return est.DisturbanceProbability(serving, filling) > disturbsAbove
}

// decay returns the share of the evidence that is left by now.
func (est *Estimator) decay(e *evidence) float64 {
	return math.Exp2(-float64(est.now.Sub(e.at)) / float64(evidenceHalfLife))
}

// addEvidence adds a weight to the evidence on a pair.
func (est *Estimator) addEvidence(p pair, weight float64) {
	e := est.pairs[p]
	if e == nil {
		e = &evidence{at: est.now}
		est.pairs[p] = e
	}
	e.weight, e.at = min(maxWeight, max(-maxWeight, e.weight*est.decay(e)+weight)), est.now
}

// Observe updates the evidence with the tasks that run on a VM.
func (est *Estimator) Observe(vm string, filling []Filling, serving []Serving, now time.Time) {
	if now.After(est.now) {
		est.now = now
	}
	// Tasks of one image on a VM are disturbed alike, so together they count as one.
	tasksOfImage := map[string]float64{}
	baselines := map[string]float64{} // by group; 0: not known
	for _, s := range serving {
		tasksOfImage[s.Image]++
	}
	for _, s := range serving {
		if s.level() == 0 || !est.isNew(s) {
			continue
		}
		if _, known := baselines[s.Group]; !known {
			baselines[s.Group] = est.baseline(s.Group)
		}
		est.addReading(vm, s, filling, baselines[s.Group], 1/tasksOfImage[s.Image])
	}
}

// isNew reports whether the last reading of the task is old enough for another to
// count.
func (est *Estimator) isNew(s Serving) bool {
	t := est.tasks[s.ID]
	return t == nil || est.now.Sub(t.readAt) >= minReadingInterval
}

// addReading updates the state of a task and the evidence with its newest
// reading. If the baseline of its group is 0 (not known), that of the task itself
// is used. The weight is the share of one observation that the reading counts as.
func (est *Estimator) addReading(vm string, s Serving, filling []Filling, baseline, weight float64) {
	t := est.tasks[s.ID]
	if t == nil {
		t = &servingState{}
		est.tasks[s.ID] = t
	}
	level, wasRaised := s.level(), t.raised
	if baseline == 0 {
		baseline = t.baseline
	}
	t.recovering = level < recoveryRatio*t.level
	t.raised = level > maxLoadLevel || baseline > 0 && level > raisedRatio*baseline && level > minRaisedLevel
	if t.raised && t.baseline > 0 {
		t.baseline = min(level, maxLoadGrowth*t.baseline)
	} else {
		t.baseline = level
	}
	t.level, t.readAt = level, est.now
	switch {
	case level <= 1:
		t.overSince = time.Time{}
	case t.overSince.IsZero():
		t.overSince = est.now
	}
	est.groups[s.Group] = append(est.groups[s.Group], reading{level, vm, est.now})
	switch {
	case baseline == 0 && !t.raised: // nothing to compare it with
	case !t.raised:
		est.learn(s.Image, filling, false, suddenProbability, weight)
	case !wasRaised && baseline > 0:
		est.learn(s.Image, filling, true, suddenProbability, weight)
	case !t.recovering:
		est.learn(s.Image, filling, true, lingeringProbability, weight)
	}
}

// baseline returns the level that the load of a group explains, or 0 if there are
// readings of too few VMs.
func (est *Estimator) baseline(group string) float64 {
	readings := est.groups[group]
	for len(readings) > 0 && est.now.Sub(readings[0].at) > groupWindow {
		readings = readings[1:]
	}
	if len(readings) == 0 {
		delete(est.groups, group)
		return 0
	}
	est.groups[group] = readings
	vms := map[string]struct{}{}
	levels := make([]float64, len(readings))
	for i, r := range readings {
		levels[i] = r.level
		vms[r.vm] = struct{}{}
	}
	if len(vms) < minGroupVMs {
		return 0
	}
	slices.Sort(levels)
	return levels[len(levels)/4]
}

// learn updates the evidence on each pair of a serving image and the filling
// images beside it by Bayes' rule, after a reading that was bad or good.
// spontaneous is the probability of a bad reading that no filling task causes.
func (est *Estimator) learn(serving string, filling []Filling, bad bool, spontaneous, weight float64) {
	amounts := map[string]float64{}
	for _, f := range filling {
		if share := min(1, float64(f.PaceAge-effectDelay)/float64(effectRise)); share > 0 {
			amounts[f.Image] += share * f.amount()
		}
	}
	images := slices.Sorted(maps.Keys(amounts))
	good := 1 - spontaneous                // probability of a good reading
	goodOf := make([]float64, len(images)) // factor of one image in it
	for i, image := range images {
		goodOf[i] = 1 - est.DisturbanceProbability(serving, image)*noticeProbability(amounts[image])
		good *= goodOf[i]
	}
	weights := make([]float64, len(images))
	for i, image := range images {
		n := noticeProbability(amounts[image])
		others := good / goodOf[i]
		ratio := 1 - n
		if bad {
			ratio = (1 - others*(1-n)) / (1 - others)
		}
		weights[i] = weight * math.Log(ratio)
	}
	for i, image := range images {
		est.addEvidence(pair{serving, image}, weights[i])
	}
}

// noticeProbability returns the probability that a reading shows the disturbance
// by an amount of a filling image.
func noticeProbability(amount float64) float64 { return maxNotice * (1 - math.Exp(-noticeRate*amount)) }

// Learned is the evidence on one pair of images in its stored form.
type Learned struct {
	Serving string  `json:"s"`
	Filling string  `json:"f"`
	Weight  float64 `json:"w"` // natural logarithm of odds, relative to the prior odds
}

// minWeight is the smallest weight that is stored.
const minWeight = 0.2

// Export returns the evidence as of now, for a later leader. The leader calls it
// at intervals, so it also drops the state of tasks that have ended.
func (est *Estimator) Export() []Learned {
	est.dropEnded()
	out := slices.DeleteFunc(est.Evidence(), func(l Learned) bool { return math.Abs(l.Weight) < minWeight })
	for i := range out {
		out[i].Weight = round(out[i].Weight)
	}
	slices.SortFunc(out, func(a, b Learned) int {
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filling, b.Filling))
	})
	return out
}

// Evidence returns all evidence as of now, unrounded and in no order. An Estimator that
// imports it has the same probabilities.
func (est *Estimator) Evidence() []Learned {
	var out []Learned
	for p, e := range est.pairs {
		out = append(out, Learned{p.serving, p.filling, e.weight * est.decay(e)})
	}
	return out
}

// round rounds to one decimal.
func round(x float64) float64 { return math.Round(10*x) / 10 }

// Import sets the evidence that an earlier leader exported.
func (est *Estimator) Import(learned []Learned, now time.Time) {
	est.now = now
	for _, l := range learned {
		est.pairs[pair{l.Serving, l.Filling}] = &evidence{weight: l.Weight, at: now}
	}
}
