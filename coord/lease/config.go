// Package lease decides how long an attempt of a task may run on an agent and
// when another attempt may start elsewhere, so that at most one runs at a time.
// It needs no consensus group.
//
// An agent holds a permit for each attempt of a task (Holder). The owner of the
// task's shard renews it while it can verify its ownership in a key-value
// store; while the store is down, a majority of the region's members renews it
// by attestation (Verifier). A new owner starts another attempt only with a
// proof that the previous permit has ended (EndProof).
//
// The package is pure: it takes events and clock readings and returns actions.
// It uses no goroutine, no socket and no clock. It is not safe for concurrent
// use; one goroutine owns each value.
package lease

import (
	"errors"
	"fmt"
	"time"
)

// Instant is a reading of a process's monotonic clock since any fixed origin.
// Readings of different processes are never compared. The clock must advance
// while the process is paused.
type Instant = time.Duration

// Defaults of Config.
const (
	DefaultDuration  = 10 * time.Second
	DefaultMargin    = time.Second
	DefaultHold      = 6 * time.Hour
	DefaultSilence   = 3 * time.Second
	DefaultRetention = 10 * time.Minute
	DefaultDrift     = 0.01
	DefaultWorker    = 3 * time.Second
)

// ErrConfig is wrapped by every error of Config.Validate.
var ErrConfig = errors.New("lease: invalid configuration")

// Config holds the durations of the permit rule. Every process of a region uses
// the same values.
type Config struct {
	// Duration is the permit duration L.
	Duration time.Duration
	// Margin is added to every wait and covers rounding and the squared drift.
	Margin time.Duration
	// Hold is the limit H of renewal by attestation after the last verified renewal.
	Hold time.Duration
	// Silence is the time without contact to the store before a member attests.
	Silence time.Duration
	// Retention is how long an ended attempt stays tombstoned. It exceeds the
	// longest delay of a start message on a session.
	Retention time.Duration
	// Worker is the largest lease D that the agent gives the worker. The worker
	// counts a lease from its arrival, which an agent that pauses during the
	// call delays by up to the previous lease. So a lease ends D before the permit.
	Worker time.Duration
	// Drift is the largest relative difference of the rates of two clocks.
	Drift float64
	// faults switches off parts of the rule. Only tests of this module set it.
	faults Faults
}

// Default returns the default configuration.
func Default() Config {
	return Config{
		Duration: DefaultDuration, Margin: DefaultMargin, Hold: DefaultHold,
		Silence: DefaultSilence, Retention: DefaultRetention, Drift: DefaultDrift, Worker: DefaultWorker,
	}
}

// Validate returns an error that lists every value with which the permit rule
// would be unsafe or would never renew a permit.
func (c Config) Validate() error {
	var errs []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf("%w: "+format, append([]any{ErrConfig}, args...)...))
		}
	}
	check(c.Duration > 0, "duration %v is not positive", c.Duration)
	check(c.Drift >= 0 && c.Drift < 0.5, "drift %v is outside [0, 0.5)", c.Drift)
	// A wait compares a span on one clock with a span that two more clocks
	// measured, so the margin covers a second factor of 1+drift.
	need := scale(c.Duration, c.Drift*(1+c.Drift))
	check(c.Margin > 0 && c.Margin >= need, "margin %v is below %v", c.Margin, need)
	check(c.Hold >= c.Duration, "hold %v is shorter than duration %v", c.Hold, c.Duration)
	check(c.Worker > 0 && 2*c.Worker < c.Duration, "worker lease %v is not in (0, %v)", c.Worker, c.Duration/2)
	check(c.Silence > 0 && c.Silence < c.Duration, "silence %v is outside (0, %v)", c.Silence, c.Duration)
	check(c.Retention >= c.Wait(), "retention %v is shorter than the wait %v", c.Retention, c.Wait())
	return errors.Join(errs...)
}

// Wait returns the time L(1+drift)+margin after which a permit that is no longer
// renewed has ended on every clock.
func (c Config) Wait() time.Duration {
	return scale(c.Duration, 1+c.Drift) + c.Margin
}

// HoldWait returns the time after which a permit has ended whatever the members
// attested. The hold limit is measured on the agent's clock, so the drift
// applies to it too: 1% of 6 h is 216 s.
func (c Config) HoldWait() time.Duration {
	if c.faults.HoldWithoutDrift {
		return c.Hold + c.Wait()
	}
	return scale(c.Hold, (1+c.Drift)*(1+c.Drift)) + c.Wait()
}

// WorkerLease returns the lease to give the worker for a permit that ends at
// until. The caller computes it directly before the call to the worker. A result
// of 0 or less means that the rest of the permit is too short for an extension.
func (c Config) WorkerLease(now, until Instant) time.Duration {
	if c.faults.FullWorkerLease {
		return until - now
	}
	return min(c.Worker, until-now-c.Worker)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
