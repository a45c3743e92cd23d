package lead

import (
	"context"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

// isDown reports whether the store is unreachable, directly and through other
// entries.
func (r *relayStore) isDown() bool { return r.failures.Load() >= downThreshold }

// outage returns how long the store has been unreachable, or 0.
func (r *relayStore) outage() time.Duration {
	since := r.downSince.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(sinceStart() - since)
}

// call makes a call directly or through another entry, and records whether the store
// has answered.
func (r *relayStore) call(ctx context.Context, c storeCall) (storeReply, error) {
	began := sinceStart()
	reply, err := r.try(ctx, c)
	switch {
	case !isOutage(err):
		r.answered()
	case ctx.Err() == nil && !r.answeredSince(began):
		r.failures.Add(1)
		r.downSince.CompareAndSwap(0, sinceStart())
	}
	return reply, err
}

// answered records that the store has answered.
func (r *relayStore) answered() {
	r.answeredAt.Store(sinceStart())
	r.failures.Store(0)
	r.downSince.Store(0)
}

// answeredSince reports whether the store has answered a call since a time.
func (r *relayStore) answeredSince(since int64) bool {
	at := r.answeredAt.Load()
	return at != 0 && at > since
}

// probe calls the store while it counts as unreachable, until ctx ends. No submission does,
// and an entry that does not lead may make no other call but watches.
func (r *relayStore) probe(ctx context.Context) {
	for ctx.Err() == nil {
		fleet.Sleep(ctx, probeInterval)
		if r.isDown() {
			_, _ = r.Get(ctx, fleet.LeaderKey) // call records whether there is an answer
		}
	}
}
