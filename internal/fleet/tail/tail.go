// Package tail learns from the tail latencies of tasks that serve which filling
// images disturb which serving ones, and sets the pace of filling tasks. It is
// pure.
//
// Few pairs of images disturb each other, but those do it strongly. The tasks of
// one job share a load that swings within seconds, so a reading counts against
// the usual level of its group. For each pair the package keeps how likely it
// disturbs, by Bayes' rule: a reading that is too high speaks against the images
// that explain it best, any other for all images beside the task.
package tail

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Figures of the evidence. Those without another source come from the readings
// of two days of the users' bench with 70 VMs, 9 serving and 18 filling images.
const (
	// readingEvery is the least time between two readings that say something
	// new: the platform lets each cover the last half second.
	readingEvery = 450 * time.Millisecond
	// A reading shows the effect of a filling task from effectAfter on, the time
	// in which the platform applies a pace, and all of it after effectWhole more.
	effectAfter = 100 * time.Millisecond
	effectWhole = 500 * time.Millisecond
	// falling is the share of the last reading below which a task recovers: what
	// disturbed it has gone, and its queue takes seconds to drain.
	falling = 0.92
	// raised is the share of the usual level of its group over which a load alone
	// does not take a task: nine in ten stay below 1.27. Below raisedFrom, a share
	// of the target, a rise harms nobody.
	raised     = 1.4
	raisedFrom = 0.4
	// The lower quarter of the readings of the last groupTime shows the usual
	// level of a group, as some tasks may be disturbed: two readings of each task,
	// from groupVMs VMs at least.
	groupVMs  = 3
	groupTime = 1100 * time.Millisecond
	// drift is how fast a load rises between two readings at most.
	drift = 1.08
	// high is the share of the target above which a reading is bad for any load:
	// loads alone reach 0.62.
	high = 0.85
	// priorBad is the share of pairs that disturb: 31 of 139.
	priorBad = 0.25
	// noticed is the rate at which the chance to notice a disturbance rises with
	// the amount of the filling image: 0.5 for one task, 0.7 for two.
	noticed = 0.8
	// surest bounds that chance, as one reading may always deceive.
	surest = 0.9
	// Chances of a bad reading that no filling task has caused: of a sudden one
	// (0.014 of those beside no filling task), and of one that follows another,
	// while a queue drains.
	sudden   = 0.03
	lingered = 0.25
	// most bounds the evidence for or against a pair, in natural logarithms of
	// odds: three readings can turn it.
	most = 5.0
	// guilty is the likelihood above which a filling task is moved and slowed.
	guilty = 0.5
	// memory is the half-life of evidence, a few returns of an image, which comes
	// again within 10 to 20 s. A pair that was blamed wrongly is tried again.
	memory = 40 * time.Second
	// fullCores is the amount of a filling image that counts as one task: the
	// mean task of the users' larger kind of job takes 3.5 cores.
	fullCores = 3.0
)

// Serving is a task that serves.
type Serving struct {
	ID     string
	Group  string // the tasks of one group, such as a job, share a load
	Image  string
	Target time.Duration
	Tail   time.Duration // newest reading; 0: none
}

// level returns the tail latency as a share of the target, or 0 if it is unknown.
func (s Serving) level() float64 {
	if s.Target <= 0 {
		return 0
	}
	return float64(s.Tail) / float64(s.Target)
}

// Filling is a task that fills.
type Filling struct {
	Image string
	Cores float64
	Pace  int           // percent
	For   time.Duration // since it has worked at this pace
}

func (f Filling) amount() float64 { return f.Cores * float64(f.Pace) / 100 / fullCores }

type pair struct{ serving, filling string }

// evidence is the logarithm of the odds that a pair disturbs, over the odds that
// a new pair has.
type evidence struct {
	weight float64
	at     time.Time
}

// served is what is known of a task that serves.
type served struct {
	level   float64   // last reading as a share of the target
	usual   float64   // what the load explains, by the task's own readings
	read    time.Time // when the last one was taken
	over    time.Time // since when it has been over the target; zero: it is not
	falling bool
	raised  bool // higher than its load explains
}

// reading is a level on a VM at a time.
type reading struct {
	level float64
	vm    string
	at    time.Time
}

// Book keeps the evidence.
type Book struct {
	pairs  map[pair]*evidence
	tasks  map[string]*served
	groups map[string][]reading // newest readings, oldest first
	now    time.Time
}

// NewBook returns a Book that knows nothing.
func NewBook() *Book {
	return &Book{pairs: map[pair]*evidence{}, tasks: map[string]*served{}, groups: map[string][]reading{}}
}

// tasksKept is how long a task without a reading is remembered: it has ended.
const tasksKept = 30 * time.Second

// forget drops the tasks and groups that serve no longer.
func (b *Book) forget() {
	for name, readings := range b.groups {
		if b.now.Sub(readings[len(readings)-1].at) > tasksKept {
			delete(b.groups, name)
		}
	}
	for id, t := range b.tasks {
		if b.now.Sub(t.read) > tasksKept {
			delete(b.tasks, id)
		}
	}
}

// Suspicion returns how likely a filling image disturbs a serving one, 0 to 1.
func (b *Book) Suspicion(serving, filling string) float64 {
	odds := priorBad / (1 - priorBad)
	if e := b.pairs[pair{serving, filling}]; e != nil {
		odds *= math.Exp(e.weight * b.fade(e))
	}
	return odds / (1 + odds)
}

// Disturbs reports whether a filling image is kept apart from a serving one.
func (b *Book) Disturbs(serving, filling string) bool {
	return b.Suspicion(serving, filling) > guilty
}

func (b *Book) fade(e *evidence) float64 {
	return math.Exp2(-float64(b.now.Sub(e.at)) / float64(memory))
}

func (b *Book) add(p pair, weight float64) {
	e := b.pairs[p]
	if e == nil {
		e = &evidence{at: b.now}
		b.pairs[p] = e
	}
	e.weight, e.at = min(most, max(-most, e.weight*b.fade(e)+weight)), b.now
}

// Observe takes in the lists of a VM.
func (b *Book) Observe(vm string, filling []Filling, serving []Serving, now time.Time) {
	if now.After(b.now) {
		b.now = now
	}
	// Tasks of one image on a VM see the same, so together they count as one.
	same := map[string]float64{}
	usual := map[string]float64{} // by group; 0: not known
	for _, s := range serving {
		same[s.Image]++
	}
	for _, s := range serving {
		if s.level() == 0 || !b.isNew(s) {
			continue
		}
		if _, known := usual[s.Group]; !known {
			usual[s.Group] = b.usual(s.Group)
		}
		b.reading(vm, s, filling, usual[s.Group], 1/same[s.Image])
	}
}

// isNew reports whether the reading of a task may say something new.
func (b *Book) isNew(s Serving) bool {
	t := b.tasks[s.ID]
	return t == nil || b.now.Sub(t.read) >= readingEvery
}

// reading takes in the newest reading of a task, whose group is at its usual
// level, or 0 if that is not known.
func (b *Book) reading(vm string, s Serving, filling []Filling, usual, weight float64) {
	t := b.tasks[s.ID]
	if t == nil {
		t = &served{}
		b.tasks[s.ID] = t
	}
	level, wasRaised := s.level(), t.raised
	if usual == 0 {
		usual = t.usual
	}
	t.falling = level < falling*t.level
	t.raised = level > high || usual > 0 && level > raised*usual && level > raisedFrom
	if t.raised && t.usual > 0 {
		t.usual = min(level, drift*t.usual)
	} else {
		t.usual = level
	}
	t.level, t.read = level, b.now
	switch {
	case level <= 1:
		t.over = time.Time{}
	case t.over.IsZero():
		t.over = b.now
	}
	b.groups[s.Group] = append(b.groups[s.Group], reading{level, vm, b.now})
	switch {
	case usual == 0 && !t.raised: // nothing to compare it with
	case !t.raised:
		b.learn(s.Image, filling, false, sudden, weight)
	case !wasRaised && usual > 0:
		b.learn(s.Image, filling, true, sudden, weight)
	case !t.falling:
		b.learn(s.Image, filling, true, lingered, weight)
	}
}

// usual returns the level that the load of a group explains, or 0 if too few VMs
// show it.
func (b *Book) usual(group string) float64 {
	readings := b.groups[group]
	for len(readings) > 0 && b.now.Sub(readings[0].at) > groupTime {
		readings = readings[1:]
	}
	if len(readings) == 0 {
		delete(b.groups, group)
		return 0
	}
	b.groups[group] = readings
	vms := map[string]struct{}{}
	levels := make([]float64, len(readings))
	for i, r := range readings {
		levels[i] = r.level
		vms[r.vm] = struct{}{}
	}
	if len(vms) < groupVMs {
		return 0
	}
	slices.Sort(levels)
	return levels[len(levels)/4]
}

// learn updates the likelihood of each pair by Bayes' rule after a reading that
// was bad or not, given the chance of a bad reading without a cause.
func (b *Book) learn(serving string, filling []Filling, bad bool, chance, weight float64) {
	amounts := map[string]float64{}
	for _, f := range filling {
		if share := min(1, float64(f.For-effectAfter)/float64(effectWhole)); share > 0 {
			amounts[f.Image] += share * f.amount()
		}
	}
	images := slices.Sorted(maps.Keys(amounts))
	quiet := 1 - chance                    // likelihood of a reading that is not bad
	silent := make([]float64, len(images)) // the same as far as one image goes
	for i, image := range images {
		silent[i] = 1 - b.Suspicion(serving, image)*notice(amounts[image])
		quiet *= silent[i]
	}
	weights := make([]float64, len(images))
	for i, image := range images {
		n := notice(amounts[image])
		others := quiet / silent[i]
		ratio := 1 - n
		if bad {
			ratio = (1 - others*(1-n)) / (1 - others)
		}
		weights[i] = weight * math.Log(ratio)
	}
	for i, image := range images {
		b.add(pair{serving, image}, weights[i])
	}
}

// notice returns the chance that a reading shows the disturbance by an amount of
// a filling image.
func notice(amount float64) float64 { return surest * (1 - math.Exp(-noticed*amount)) }

// Learned is the evidence on one pair of images, to be stored.
type Learned struct {
	Serving string  `json:"s"`
	Filling string  `json:"f"`
	Weight  float64 `json:"w"` // natural logarithm of odds, over those of a new pair
}

// minWeight is the evidence that is worth storing.
const minWeight = 0.2

// Export returns the evidence as of now, for a later leader. It is called from
// time to time, so it also drops the tasks that have ended.
func (b *Book) Export() []Learned {
	b.forget()
	var out []Learned
	for p, e := range b.pairs {
		if w := e.weight * b.fade(e); math.Abs(w) >= minWeight {
			out = append(out, Learned{p.serving, p.filling, round(w)})
		}
	}
	slices.SortFunc(out, func(a, b Learned) int {
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filling, b.Filling))
	})
	return out
}

func round(x float64) float64 { return math.Round(10*x) / 10 }

// Import takes in the evidence of an earlier leader.
func (b *Book) Import(learned []Learned, now time.Time) {
	b.now = now
	for _, l := range learned {
		b.pairs[pair{l.Serving, l.Filling}] = &evidence{weight: l.Weight, at: now}
	}
}
