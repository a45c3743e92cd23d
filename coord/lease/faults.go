package lease

// Faults switches off single parts of the permit rule, so that tests can show
// that each omission is found. The zero value is the full rule. Production code
// never sets it.
type Faults struct {
	// NoWait lets a new owner start another attempt directly after takeover.
	NoWait bool
	// FromReceive computes permits from the time the acknowledgement arrives.
	FromReceive bool
	// IgnoreAttestation lets a new owner skip the witness rule.
	IgnoreAttestation bool
	// AnyEpoch counts attestations of any epoch toward one majority.
	AnyEpoch bool
	// CurrentEpochOnly asks only the members of the current epoch.
	CurrentEpochOnly bool
	// MixRounds combines answers whose silent periods do not overlap.
	MixRounds bool
	// EarlyAnswers accepts answers sent before the wait after takeover ended.
	EarlyAnswers bool
	// StaleList accepts a member list read before the members were asked.
	StaleList bool
	// Revive lets a renewal extend an expired permit, which Expire leaves running.
	Revive bool
	// HoldWithoutDrift leaves the drift out of the wait for the hold limit.
	HoldWithoutDrift bool
	// ForgetOwnAcks counts the wait from takeover only and ignores the renewals
	// that the new owner itself granted.
	ForgetOwnAcks bool
	// StartUnverified accepts a start without a verified permit of its generation.
	StartUnverified bool
	// AdoptAttested lets an adopted attempt be renewed by attestation.
	AdoptAttested bool
	// FullWorkerLease gives the worker the whole rest of the permit.
	FullWorkerLease bool
}

// WithFaults returns the configuration with parts of the permit rule switched
// off. It exists for the mutation tests of this module.
func (c Config) WithFaults(f Faults) Config {
	c.faults = f
	return c
}
