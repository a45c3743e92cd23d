// Package route chooses the upstream of a request from an incomplete and delayed
// view of the load.
//
// The default policy draws two upstreams at random and takes the one with the
// shorter expected wait. The expected wait is computed from the last report of
// the upstream and the requests that this entry has sent since. Other entries act
// on the same outdated report at the same time, so the requests of this entry are
// counted once per entry. If an upstream runs requests much slower than the
// others, the additional run time is added to its wait. Upstreams of the local
// failure domain are drawn first; a request goes to a remote one if the local
// wait exceeds the remote wait by more than the additional round trip. Random and
// least-outstanding choice are baselines.
//
// A Router is not safe for concurrent use. Pick does not allocate.
package route

import (
	"math/rand/v2"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

const numClasses = int(structs.SizeLong) + 1

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
	// RemoteDelay is the additional round trip to another failure domain.
	RemoteDelay time.Duration
	// Entries is the number of entries that send to the same upstreams.
	Entries int
	// SlowdownThreshold is the ratio of an upstream's slowdown to the average up to
	// which the upstream counts as normal: run times scatter, and noise must not
	// override the expected wait.
	SlowdownThreshold float64
	// Typical is the run time assumed for a class before any is measured. It is
	// the initial value of the moving average.
	Typical [numClasses]time.Duration
}

// DefaultConfig returns the parameters for an entry in a failure domain.
func DefaultConfig(domain string, entries int) Config {
	return Config{
		Domain: domain, RemoteDelay: time.Millisecond, Entries: entries,
		SlowdownThreshold: 1.5,
		Typical:           [numClasses]time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second},
	}
}

// Handle identifies an upstream within one Router.
type Handle int32

// None is the Handle that stands for no upstream.
const None Handle = -1

// State of an upstream. Only Eligible upstreams are chosen; the other states
// tell why an upstream is excluded.
type State uint8

// States of an upstream.
const (
	Eligible State = iota
	Leaving
	Suspect
	Ejected
)

// Report is the load that an upstream states on a response or heartbeat.
type Report struct {
	Busy, Queued int
	// ShortWait is the expected wait of short work.
	ShortWait time.Duration
}

type upstream struct {
	id              string
	domain          string
	slots           int32
	state           State
	removed         bool
	local           bool // in the failure domain of this entry
	report          Report
	sentSinceReport [numClasses]int32 // requests of this entry sent since the report
	inFlight        int32             // requests of this entry without an answer
	// slowdown is the moving average of run time / expected run time.
	slowdown float64
	sampled  bool // slowdown was updated since the last report
}

// Router holds the view of one entry. Create it with New.
type Router struct {
	cfg       Config
	rng       *rand.Rand
	upstreams []upstream
	handles   map[string]Handle
	free      []Handle // handles of removed upstreams, for reuse
	// local and remote hold the eligible upstreams by failure domain.
	local, remote []Handle
	meanRun       [numClasses]time.Duration // moving average of measured run times
	slowdown      float64                   // moving average over all upstreams
}

const (
	// slowdownGain is the weight of a sample in an upstream's slowdown. With 1/16
	// so many requests are sent to a slow upstream before its slowdown is noticed
	// that they determine the tail latency of a load swing.
	slowdownGain = 1.0 / 8
	// maxSlowdownSample bounds a sample to [1/maxSlowdownSample,
	// maxSlowdownSample], so that a single outlier does not make an upstream
	// count as slow.
	maxSlowdownSample = 8.0
	// slowdownRecovery is the share of the distance to the average by which the
	// slowdown returns with each report without a sample. An avoided upstream
	// sends only heartbeats and would otherwise be avoided for ever.
	slowdownRecovery = 1.0 / 8
)

// New returns a Router without upstreams.
func New(cfg Config, rng *rand.Rand) *Router {
	cfg.Entries = max(cfg.Entries, 1)
	return &Router{cfg: cfg, rng: rng, handles: make(map[string]Handle), meanRun: cfg.Typical, slowdown: 1}
}

// Add adds an Eligible upstream, or updates the failure domain and the number of
// slots of a known one.
func (r *Router) Add(id, domain string, slots int) Handle {
	h, ok := r.handles[id]
	if !ok {
		if n := len(r.free); n > 0 {
			h, r.free = r.free[n-1], r.free[:n-1]
		} else {
			h = Handle(len(r.upstreams))
			r.upstreams = append(r.upstreams, upstream{})
		}
		r.upstreams[h] = upstream{id: id, slowdown: 1}
		r.handles[id] = h
	}
	u := &r.upstreams[h]
	u.domain, u.slots = domain, int32(max(slots, 1))
	u.local = domain == r.cfg.Domain
	r.rebuildEligible()
	return h
}

// Remove removes an upstream. Its handle stays valid for Returned until all
// requests in flight have returned.
func (r *Router) Remove(id string) {
	h, ok := r.handles[id]
	if !ok {
		return
	}
	delete(r.handles, id)
	r.upstreams[h].removed = true
	r.recycleHandle(h)
	r.rebuildEligible()
}

// SetState sets the state of an upstream.
func (r *Router) SetState(id string, s State) {
	if h, ok := r.handles[id]; ok && r.upstreams[h].state != s {
		r.upstreams[h].state = s
		r.rebuildEligible()
	}
}

// Lookup returns the handle of an upstream, or None.
func (r *Router) Lookup(id string) Handle {
	if h, ok := r.handles[id]; ok {
		return h
	}
	return None
}

// ID returns the id of an upstream.
func (r *Router) ID(h Handle) string { return r.upstreams[h].id }

// InFlight returns the number of requests that this entry sent to the upstream
// and that have no answer yet.
func (r *Router) InFlight(h Handle) int { return int(r.upstreams[h].inFlight) }

// Report records the load that an upstream reported. Reports must be passed in the
// order in which the upstream sent them.
func (r *Router) Report(h Handle, rep Report) {
	u := &r.upstreams[h]
	u.report = rep
	u.sentSinceReport = [numClasses]int32{}
	if !u.sampled {
		u.slowdown += (r.slowdown - u.slowdown) * slowdownRecovery
	}
	u.sampled = false
}

// Sent records that a request goes to the upstream.
func (r *Router) Sent(h Handle, class structs.SizeClass) {
	u := &r.upstreams[h]
	u.inFlight++
	u.sentSinceReport[class]++
}

// Returned records the end of a request that was recorded with Sent. run is the
// measured run time, 0 if the request did not run or failed; expected is its
// learned run time, 0 if there is none. Call it before Report of the same answer.
func (r *Router) Returned(h Handle, class structs.SizeClass, run, expected time.Duration) {
	u := &r.upstreams[h]
	u.inFlight--
	if run > 0 {
		r.meanRun[class] += (run - r.meanRun[class]) / 32
	}
	if run > 0 && expected > 0 {
		sample := min(max(float64(run)/float64(expected), 1/maxSlowdownSample), maxSlowdownSample)
		u.slowdown += (sample - u.slowdown) * slowdownGain
		r.slowdown += (sample - r.slowdown) * slowdownGain / 16
		u.sampled = true
	}
	r.recycleHandle(h)
}

// Pick chooses the upstream for a request of a size class. It returns None if no
// upstream is eligible. avoid is excluded if another one is eligible; retries
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
	local, localWait := r.betterOfTwo(r.local, class, avoid)
	if local != None && localWait <= r.cfg.RemoteDelay {
		return local
	}
	remote, remoteWait := r.betterOfTwo(r.remote, class, avoid)
	switch {
	case local == None && remote == None:
		return r.fallback(avoid)
	case local == None, remote != None && localWait > remoteWait+r.cfg.RemoteDelay:
		return remote
	default:
		return local
	}
}

// betterOfTwo draws two distinct upstreams of a set and returns the one with the
// lower expected cost, and that cost. If the costs are equal, it returns the one
// with fewer expected requests per slot. avoid is not returned: if it is drawn,
// the other one is returned without a comparison, or None if there is no other.
func (r *Router) betterOfTwo(set []Handle, class structs.SizeClass, avoid Handle) (Handle, time.Duration) {
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
	waitA, pendingA := r.expectedCost(a, class)
	if b == None {
		return a, waitA
	}
	waitB, pendingB := r.expectedCost(b, class)
	if waitB < waitA || (waitB == waitA && pendingB*r.upstreams[a].slots < pendingA*r.upstreams[b].slots) {
		return b, waitB
	}
	return a, waitA
}

// expectedCost returns the expected cost of a request at an upstream, and the
// number of requests the upstream is expected to hold. The cost is the wait plus,
// if the upstream is slow, the time by which the request runs longer than
// elsewhere.
func (r *Router) expectedCost(h Handle, class structs.SizeClass) (time.Duration, int32) {
	wait, pending := r.expectedWait(h, class)
	if slow := r.upstreams[h].slowdown / r.slowdown; slow > r.cfg.SlowdownThreshold {
		wait += time.Duration(float64(r.meanRun[class]) * (slow - 1))
	}
	return wait, pending
}

// expectedWait returns the expected wait of a request at an upstream, and the
// number of requests the upstream is expected to hold.
func (r *Router) expectedWait(h Handle, class structs.SizeClass) (time.Duration, int32) {
	u := &r.upstreams[h]
	entries := int32(r.cfg.Entries)
	sent := entries * (u.sentSinceReport[0] + u.sentSinceReport[1] + u.sentSinceReport[2])
	pending := int32(u.report.Busy+u.report.Queued) + sent
	if class == structs.SizeShort {
		wait := u.report.ShortWait
		if int32(u.report.Busy)+sent >= u.slots {
			ahead := entries * u.sentSinceReport[structs.SizeShort]
			wait += r.meanRun[structs.SizeShort] * time.Duration(ahead) / time.Duration(u.slots)
		}
		return wait, pending
	}
	if pending < u.slots {
		return 0, pending
	}
	return r.meanRun[class] * time.Duration(pending-u.slots+1) / time.Duration(u.slots), pending
}

func (r *Router) pickRandom(avoid Handle) Handle {
	n := len(r.local) + len(r.remote)
	if n == 0 {
		return None
	}
	i := r.rng.IntN(n)
	if h := r.eligibleAt(i); h != avoid || n == 1 {
		return h
	}
	return r.eligibleAt((i + 1 + r.rng.IntN(n-1)) % n)
}

func (r *Router) pickLeastOutstanding(avoid Handle) Handle {
	n := len(r.local) + len(r.remote)
	if n == 0 {
		return None
	}
	best := None
	for k, i := 0, r.rng.IntN(n); k < n; k, i = k+1, i+1 {
		h := r.eligibleAt(i % n)
		if h != avoid && (best == None || r.upstreams[h].inFlight < r.upstreams[best].inFlight) {
			best = h
		}
	}
	if best == None {
		return avoid
	}
	return best
}

// eligibleAt returns the i-th eligible upstream, local ones first.
func (r *Router) eligibleAt(i int) Handle {
	if i < len(r.local) {
		return r.local[i]
	}
	return r.remote[i-len(r.local)]
}

// fallback returns avoid if it is eligible, else None. It is called if no other
// upstream is eligible.
func (r *Router) fallback(avoid Handle) Handle {
	if avoid != None && r.upstreams[avoid].state == Eligible && !r.upstreams[avoid].removed {
		return avoid
	}
	return None
}

// recycleHandle makes the handle of a removed upstream available for reuse once no
// request is in flight.
func (r *Router) recycleHandle(h Handle) {
	u := &r.upstreams[h]
	if u.removed && u.inFlight == 0 {
		r.free = append(r.free, h)
	}
}

// rebuildEligible recomputes the lists of eligible upstreams.
func (r *Router) rebuildEligible() {
	r.local, r.remote = r.local[:0], r.remote[:0]
	for i := range r.upstreams {
		u := &r.upstreams[i]
		switch {
		case u.removed || u.id == "" || u.state != Eligible:
		case u.local:
			r.local = append(r.local, Handle(i))
		default:
			r.remote = append(r.remote, Handle(i))
		}
	}
}
