// Package route chooses the upstream of a request from a partial, late view.
//
// The default policy draws two upstreams at random and takes the one with the
// shorter expected wait. The expected wait rests on the last report of the
// upstream plus the requests this entry has sent since. An upstream that runs
// requests much slower than the others is charged the difference. Other entries act on the
// same late report at the same time, so the own requests are counted once per
// entry. Upstreams of the local failure domain are drawn first; a request
// spills over when the local wait exceeds a remote one by more than the hop.
// Random and least-outstanding choice are baselines.
//
// A Router is not safe for concurrent use. Pick does not allocate.
package route

import (
	"math/rand/v2"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

const classes = int(structs.SizeLong) + 1

// Policy selects how Pick chooses.
type Policy uint8

// Policies.
const (
	// ExpectedWait is power of two choices on expected wait, local domain first.
	ExpectedWait Policy = iota
	// Random is a uniform choice (baseline).
	Random
	// LeastOutstanding takes the upstream with the fewest own requests in flight,
	// ties broken at random (baseline).
	LeastOutstanding
)

// Config holds the parameters of a Router.
type Config struct {
	Policy Policy
	// Domain is the failure domain of this entry.
	Domain string
	// Hop is the additional round trip to another failure domain.
	Hop time.Duration
	// Entries is the number of entries that send to the same upstreams.
	Entries int
	// SlowdownBand is the ratio of an upstream's run times to the average below
	// which it counts as normal: run times scatter, and noise must not override
	// the expected wait.
	SlowdownBand float64
	// Typical is the run time assumed for a class until one was measured.
	Typical [classes]time.Duration
}

// DefaultConfig returns the parameters for an entry in a failure domain.
func DefaultConfig(domain string, entries int) Config {
	return Config{
		Domain: domain, Hop: time.Millisecond, Entries: entries,
		SlowdownBand: 1.5,
		Typical:      [classes]time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second},
	}
}

// Handle names an upstream of one Router.
type Handle int32

// None is no upstream.
const None Handle = -1

// State of an upstream as far as routing is concerned. Only Eligible upstreams
// are chosen.
type State uint8

// States of an upstream.
const (
	Eligible State = iota
	Leaving
	Suspect
	Ejected
)

// Report is the load that an upstream stated on a response or heartbeat.
type Report struct {
	Busy, Queued int
	// ShortWait is the expected wait of short work.
	ShortWait time.Duration
}

type upstream struct {
	id       string
	domain   string
	slots    int32
	state    State
	removed  bool
	local    bool
	report   Report
	since    [classes]int32 // own requests sent since the report
	inFlight int32          // own requests without an answer
	// slowdown is the moving average of run time / expected run time.
	slowdown float64
	sampled  bool // slowdown was updated since the last report
}

// Router holds the view of one entry. Create it with New.
type Router struct {
	cfg   Config
	rng   *rand.Rand
	ups   []upstream
	index map[string]Handle
	free  []Handle
	// local and remote hold the eligible upstreams by failure domain.
	local, remote []Handle
	run           [classes]time.Duration // moving average of measured run times
	slowdown      float64                // moving average over all upstreams
}

const (
	// slowdownGain is the weight of a sample in an upstream's slowdown. With 1/16
	// the tail of a swing is decided by the requests sent before the slowdown is
	// noticed (docs/measurements-request.md).
	slowdownGain = 1.0 / 8
	// slowdownRange bounds one sample, so that a single outlier does not decide.
	slowdownRange = 8.0
	// slowdownRecovery is the share by which the slowdown returns to normal per
	// report without a sample. An avoided upstream sends only heartbeats and
	// would otherwise be avoided for ever.
	slowdownRecovery = 1.0 / 8
)

// New returns a Router without upstreams.
func New(cfg Config, rng *rand.Rand) *Router {
	cfg.Entries = max(cfg.Entries, 1)
	return &Router{cfg: cfg, rng: rng, index: make(map[string]Handle), run: cfg.Typical, slowdown: 1}
}

// Add adds an Eligible upstream, or updates the failure domain and slots of a
// known one.
func (r *Router) Add(id, domain string, slots int) Handle {
	h, ok := r.index[id]
	if !ok {
		if n := len(r.free); n > 0 {
			h, r.free = r.free[n-1], r.free[:n-1]
		} else {
			h = Handle(len(r.ups))
			r.ups = append(r.ups, upstream{})
		}
		r.ups[h] = upstream{id: id, slowdown: 1}
		r.index[id] = h
	}
	u := &r.ups[h]
	u.domain, u.slots = domain, int32(max(slots, 1))
	u.local = domain == r.cfg.Domain
	r.rebuild()
	return h
}

// Remove removes an upstream. Its handle stays valid for Returned until all
// requests in flight have returned.
func (r *Router) Remove(id string) {
	h, ok := r.index[id]
	if !ok {
		return
	}
	delete(r.index, id)
	r.ups[h].removed = true
	r.release(h)
	r.rebuild()
}

// SetState sets the state of an upstream.
func (r *Router) SetState(id string, s State) {
	if h, ok := r.index[id]; ok && r.ups[h].state != s {
		r.ups[h].state = s
		r.rebuild()
	}
}

// Lookup returns the handle of an upstream, or None.
func (r *Router) Lookup(id string) Handle {
	if h, ok := r.index[id]; ok {
		return h
	}
	return None
}

// ID returns the id of an upstream.
func (r *Router) ID(h Handle) string { return r.ups[h].id }

// InFlight returns the number of own requests without an answer.
func (r *Router) InFlight(h Handle) int { return int(r.ups[h].inFlight) }

// Report records the load that an upstream stated. Reports must be passed in the
// order in which the upstream sent them.
func (r *Router) Report(h Handle, rep Report) {
	u := &r.ups[h]
	u.report = rep
	u.since = [classes]int32{}
	if !u.sampled {
		u.slowdown += (r.slowdown - u.slowdown) * slowdownRecovery
	}
	u.sampled = false
}

// Sent records that a request goes to the upstream.
func (r *Router) Sent(h Handle, class structs.SizeClass) {
	u := &r.ups[h]
	u.inFlight++
	u.since[class]++
}

// Returned records the end of a request that was recorded with Sent. Run is the
// measured run time, 0 if the request did not run or failed; expected is its
// learned run time, 0 if there is none. Call it before Report of the same answer.
func (r *Router) Returned(h Handle, class structs.SizeClass, run, expected time.Duration) {
	u := &r.ups[h]
	u.inFlight--
	if run > 0 {
		r.run[class] += (run - r.run[class]) / 32
	}
	if run > 0 && expected > 0 {
		sample := min(max(float64(run)/float64(expected), 1/slowdownRange), slowdownRange)
		u.slowdown += (sample - u.slowdown) * slowdownGain
		r.slowdown += (sample - r.slowdown) * slowdownGain / 16
		u.sampled = true
	}
	r.release(h)
}

// Pick chooses the upstream for a request of a size class. It returns None if no
// upstream is eligible. Avoid is excluded if another one is eligible; retries
// and hedges pass the upstream of the first attempt, others pass None.
func (r *Router) Pick(class structs.SizeClass, avoid Handle) Handle {
	switch r.cfg.Policy {
	case Random:
		return r.pickRandom(avoid)
	case LeastOutstanding:
		return r.pickLeastOutstanding(avoid)
	default:
		return r.pickExpectedWait(class, avoid)
	}
}

func (r *Router) pickExpectedWait(class structs.SizeClass, avoid Handle) Handle {
	local, localWait := r.better(r.local, class, avoid)
	if local != None && localWait <= r.cfg.Hop {
		return local
	}
	remote, remoteWait := r.better(r.remote, class, avoid)
	switch {
	case local == None && remote == None:
		return r.only(avoid)
	case local == None, remote != None && localWait > remoteWait+r.cfg.Hop:
		return remote
	default:
		return local
	}
}

// better draws two distinct upstreams and returns the one with the shorter
// expected cost; equal costs are decided by the share of slots in use.
func (r *Router) better(set []Handle, class structs.SizeClass, avoid Handle) (Handle, time.Duration) {
	n := len(set)
	if n == 0 {
		return None, 0
	}
	i := r.rng.IntN(n)
	a, b := set[i], None
	if n > 1 {
		j := r.rng.IntN(n - 1)
		if j >= i {
			j++
		}
		b = set[j]
	}
	if a == avoid {
		a, b = b, None
	} else if b == avoid {
		b = None
	}
	if a == None {
		return None, 0
	}
	waitA, pendingA := r.expect(a, class)
	if b == None {
		return a, waitA
	}
	waitB, pendingB := r.expect(b, class)
	if waitB < waitA || (waitB == waitA && pendingB*r.ups[a].slots < pendingA*r.ups[b].slots) {
		return b, waitB
	}
	return a, waitA
}

// expect returns the expected cost at an upstream and the requests it is
// expected to hold. The cost is the wait, plus the time by which the request runs
// longer than elsewhere if the upstream is slow.
func (r *Router) expect(h Handle, class structs.SizeClass) (time.Duration, int32) {
	wait, pending := r.wait(h, class)
	if slow := r.ups[h].slowdown / r.slowdown; slow > r.cfg.SlowdownBand {
		wait += time.Duration(float64(r.run[class]) * (slow - 1))
	}
	return wait, pending
}

func (r *Router) wait(h Handle, class structs.SizeClass) (time.Duration, int32) {
	u := &r.ups[h]
	entries := int32(r.cfg.Entries)
	sent := entries * (u.since[0] + u.since[1] + u.since[2])
	pending := int32(u.report.Busy+u.report.Queued) + sent
	if class == structs.SizeShort {
		wait := u.report.ShortWait
		if int32(u.report.Busy)+sent >= u.slots {
			ahead := entries * u.since[structs.SizeShort]
			wait += r.run[structs.SizeShort] * time.Duration(ahead) / time.Duration(u.slots)
		}
		return wait, pending
	}
	if pending < u.slots {
		return 0, pending
	}
	return r.run[class] * time.Duration(pending-u.slots+1) / time.Duration(u.slots), pending
}

func (r *Router) pickRandom(avoid Handle) Handle {
	n := len(r.local) + len(r.remote)
	if n == 0 {
		return None
	}
	i := r.rng.IntN(n)
	if h := r.at(i); h != avoid || n == 1 {
		return h
	}
	return r.at((i + 1 + r.rng.IntN(n-1)) % n)
}

func (r *Router) pickLeastOutstanding(avoid Handle) Handle {
	n := len(r.local) + len(r.remote)
	if n == 0 {
		return None
	}
	best := None
	for k, i := 0, r.rng.IntN(n); k < n; k, i = k+1, i+1 {
		h := r.at(i % n)
		if h != avoid && (best == None || r.ups[h].inFlight < r.ups[best].inFlight) {
			best = h
		}
	}
	if best == None {
		return avoid
	}
	return best
}

func (r *Router) at(i int) Handle {
	if i < len(r.local) {
		return r.local[i]
	}
	return r.remote[i-len(r.local)]
}

// only returns avoid if it is eligible, for the case that nothing else is.
func (r *Router) only(avoid Handle) Handle {
	if avoid != None && r.ups[avoid].state == Eligible && !r.ups[avoid].removed {
		return avoid
	}
	return None
}

func (r *Router) release(h Handle) {
	u := &r.ups[h]
	if u.removed && u.inFlight == 0 {
		r.free = append(r.free, h)
	}
}

func (r *Router) rebuild() {
	r.local, r.remote = r.local[:0], r.remote[:0]
	for i := range r.ups {
		u := &r.ups[i]
		switch {
		case u.removed || u.id == "" || u.state != Eligible:
		case u.local:
			r.local = append(r.local, Handle(i))
		default:
			r.remote = append(r.remote, Handle(i))
		}
	}
}
