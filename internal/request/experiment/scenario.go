package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"vanillalock.example/vanillalock/internal/request/admission"
	"vanillalock.example/vanillalock/internal/request/route"
	"vanillalock.example/vanillalock/internal/request/slots"
)

// Scenario describes one run.
type Scenario struct {
	Entries, Upstreams int
	// Load is the offered load at a time since the start, as a share of the
	// capacity of all slots.
	Load func(since time.Duration) float64
	// Duration of arrivals; the figures cover arrivals in [From, To).
	Duration, From, To time.Duration
	// LongShare is the share of requests that run long.
	LongShare float64
	// LongMean is the mean run time of long requests.
	LongMean time.Duration
	// Hidden gives long requests the template of the short ones, so that their
	// class cannot be learned.
	Hidden bool
	// Skew is the share of arrivals at the first entry; the rest is even.
	// 0 means even.
	Skew float64
	// Slow is the number of upstreams (the first ones) whose requests run
	// SlowFactor times longer between From and To, as beside a burst of batch tasks
	// that interfere with them.
	Slow       int
	SlowFactor float64
	// Failing is the number of upstreams (the first ones) that fail every request
	// after 1 ms between From and To. Eject turns outlier ejection on.
	Failing int
	Eject   bool

	Routing   route.Policy
	Admission bool // false: dispatch at once, no limit and no deadline check
	FCFS      bool // the agents' queues: first come first served, unbounded
	Slots     slots.Config
	// Control is the configuration of each entry's admission.
	Control admission.Config
	// Router changes the configuration of each entry's router if it is not nil.
	Router func(*route.Config)
	// HighQuantile checks deadlines with a high quantile of the run time instead
	// of the median.
	HighQuantile bool
}

// Constants of the model.
const (
	shortMean     = 40 * time.Millisecond
	longMean      = 800 * time.Millisecond
	shortDeadline = time.Second
	longDeadline  = 10 * time.Second
	runSigma      = 0.6                    // of the logarithm of run times
	localDelay    = 100 * time.Microsecond // one way, within a failure domain
	domainDelay   = 500 * time.Microsecond // one way, added between failure domains
	heartbeat     = 2 * time.Second
	domains       = 3 // number of failure domains
	customers     = 12
)

// NewScenario returns a run of the complete request path with 3 entries and 11
// upstreams at constant load.
func NewScenario(load float64) Scenario {
	cfg := slots.DefaultConfig()
	return Scenario{
		Control: admission.DefaultConfig(11*cfg.Slots, 3),
		Entries: 3, Upstreams: 11, LongShare: 0.1, LongMean: longMean, Eject: true, Admission: true, SlowFactor: 1,
		Load:     func(time.Duration) float64 { return load },
		Duration: 30 * time.Second, From: 5 * time.Second, To: 30 * time.Second,
		Slots: cfg,
	}
}

// Swing returns a scenario whose load rises by a factor at 10 s for 10 s. The
// figures cover the time of high load.
func Swing(base, factor float64) Scenario {
	s := NewScenario(base)
	s.Load = func(since time.Duration) float64 {
		if since >= 10*time.Second && since < 20*time.Second {
			return base * factor
		}
		return base
	}
	s.From, s.To = 10*time.Second, 20*time.Second
	return s
}

// meanRun returns the mean run time over short and long requests.
func (s Scenario) meanRun() time.Duration {
	return time.Duration(float64(shortMean)*(1-s.LongShare) + float64(s.LongMean)*s.LongShare)
}

// interval draws the time to the next arrival of a Poisson process.
func (s Scenario) interval(since time.Duration, rng *rand.Rand) time.Duration {
	capacity := float64(s.Upstreams*s.Slots.Slots) / s.meanRun().Seconds()
	return time.Duration(rng.ExpFloat64() / (capacity * s.Load(since)) * float64(time.Second))
}

// drawRunTime returns a run time with the given mean from a log-normal distribution.
func drawRunTime(mean time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(float64(mean) * math.Exp(runSigma*rng.NormFloat64()-runSigma*runSigma/2))
}
