package side

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/link"
)

// Intervals of the registration.
const (
	registrationCheckInterval = 300 * time.Millisecond
	// registrationRenewInterval applies while no leader has a session: the record
	// may have been removed from the store.
	registrationRenewInterval = 3 * time.Second
)

// maintainRegistration keeps the agent's record in the store up to date until ctx
// ends. The record exists from the first announcement of an executor until that
// executor has left, so that no leader waits for a VM on which nothing can run.
// It is written again every registrationRenewInterval while no leader has a
// session. A record written before a restart of the agent, or for an executor that
// was not confirmed, stays until the executor leaves, because tasks may still run there.
func (a *Agent) maintainRegistration(ctx context.Context) {
	value, err := json.Marshal(link.NodeRecord{Address: a.opts.Advertise})
	if err != nil { // a struct of strings always encodes
		a.opts.Log.Error("Registration not encoded.", "err", err)
		return
	}
	r := registration{key: fleet.NodeBase + a.opts.Node, value: value}
	for ctx.Err() == nil {
		wanted, left, following := a.registrationWanted(ctx)
		ok := true
		switch {
		case wanted && (!r.written || !following && time.Since(r.checkedAt) > registrationRenewInterval):
			ok = a.writeRegistration(ctx, &r)
		case left && r.mayExist:
			ok = a.removeRegistration(ctx, &r)
		}
		if !ok {
			a.opts.Log.Warn("Registration not changed, trying again.", "wanted", wanted)
		}
		fleet.Sleep(ctx, registrationCheckInterval)
	}
}

// registration is the agent's view of its record in the store.
type registration struct {
	key       string
	value     []byte
	revision  uint64 // of the stored record, which the next write replaces; 0: none
	written   bool   // the store holds value
	mayExist  bool   // the store may hold a record of this process
	checkedAt time.Time
}

// registrationWanted reports whether there is an executor that has not left, or one that
// can be confirmed only in a session, whether the executor has left instead, and whether a
// leader has a session. An executor that is not confirmed in time has not left.
func (a *Agent) registrationWanted(ctx context.Context) (wanted, left, following bool) {
	type state struct{ wanted, left, following bool }
	answer := make(chan state, 1)
	a.post(ctx, func() {
		fenced := a.hasFencedCandidate()
		answer <- state{a.executor != nil && !a.executorLeft || fenced, a.executorLeft && !fenced, a.session != nil}
	})
	select {
	case s := <-answer:
		return s.wanted, s.left, s.following
	case <-ctx.Done():
		return false, false, false
	}
}

// writeRegistration writes the record and reports whether the store holds it. On a
// conflict it replaces the stored record, also one with the same value: the new revision
// voids a deletion of an earlier process that may be carried out late.
func (a *Agent) writeRegistration(ctx context.Context, r *registration) bool {
	const tries = 2
	for range tries {
		revision, err := a.opts.Store.Commit(ctx, fleet.Txn{
			If: []fleet.Condition{{Key: r.key, Revision: r.revision}}, Put: []fleet.Write{{Key: r.key, Value: r.value}},
		})
		if err == nil {
			r.revision, r.written, r.mayExist, r.checkedAt = revision, true, true, time.Now()
			a.opts.Log.Info("Registered.", "address", a.opts.Advertise)
			return true
		}
		r.mayExist = true
		var conflict *fleet.ConflictError
		if !errors.As(err, &conflict) {
			return false
		}
		r.revision = 0
		if len(conflict.Current) > 0 {
			r.revision = conflict.Current[0].Revision
		}
	}
	return false
}

// removeRegistration deletes the record. A conflict counts as success: the record
// has been changed or deleted by someone else. A deletion without an answer may be carried
// out late, so the record counts as not written from the call on: writing it again for the
// next executor changes the revision, which voids the deletion.
func (a *Agent) removeRegistration(ctx context.Context, r *registration) bool {
	r.written = false
	_, err := a.opts.Store.Commit(ctx, fleet.Txn{
		If: []fleet.Condition{{Key: r.key, Revision: r.revision}}, Delete: []string{r.key},
	})
	if err != nil && !errors.As(err, new(*fleet.ConflictError)) {
		return false
	}
	a.opts.Log.Info("Registration removed, the executor has left.")
	r.mayExist, r.revision = false, 0
	return true
}
