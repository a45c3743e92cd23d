package side

import (
	"bytes"
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
// session. A record written before a restart of the agent stays until the
// executor leaves, because tasks may still run there.
func (a *Agent) maintainRegistration(ctx context.Context) {
	value, err := json.Marshal(link.NodeRecord{Address: a.opts.Advertise})
	if err != nil { // a struct of strings always encodes
		a.opts.Log.Error("Registration not encoded.", "err", err)
		return
	}
	r := registration{key: fleet.NodeBase + a.opts.Node, value: value}
	for ctx.Err() == nil {
		wanted, following := a.registrationWanted(ctx)
		ok := true
		switch {
		case wanted && (!r.written || !following && time.Since(r.checkedAt) > registrationRenewInterval):
			ok = a.writeRegistration(ctx, &r)
		case !wanted && r.written:
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
	checkedAt time.Time
}

// registrationWanted reports whether there is an executor that has not left, or one that
// can be confirmed only in a session, and whether a leader has a session.
func (a *Agent) registrationWanted(ctx context.Context) (wanted, following bool) {
	type state struct{ wanted, following bool }
	answer := make(chan state, 1)
	a.post(ctx, func() {
		answer <- state{a.executor != nil && !a.executorLeft || a.hasFencedCandidate(), a.session != nil}
	})
	select {
	case s := <-answer:
		return s.wanted, s.following
	case <-ctx.Done():
		return false, false
	}
}

// writeRegistration writes the record and reports whether the store holds it. On a
// conflict it takes over the stored revision for the next try.
func (a *Agent) writeRegistration(ctx context.Context, r *registration) bool {
	revision, err := a.opts.Store.Commit(ctx, fleet.Txn{
		If: []fleet.Condition{{Key: r.key, Revision: r.revision}}, Put: []fleet.Write{{Key: r.key, Value: r.value}},
	})
	var conflict *fleet.ConflictError
	switch {
	case err == nil:
		r.revision, r.written, r.checkedAt = revision, true, time.Now()
		a.opts.Log.Info("Registered.", "address", a.opts.Advertise)
		return true
	case errors.As(err, &conflict) && len(conflict.Current) > 0:
		r.revision = conflict.Current[0].Revision
		r.written, r.checkedAt = bytes.Equal(conflict.Current[0].Value, r.value), time.Now()
		return r.written
	case errors.As(err, &conflict):
		r.revision = 0
	}
	return false
}

// removeRegistration deletes the record. A conflict counts as success: the record
// has been changed or deleted by someone else.
func (a *Agent) removeRegistration(ctx context.Context, r *registration) bool {
	_, err := a.opts.Store.Commit(ctx, fleet.Txn{
		If: []fleet.Condition{{Key: r.key, Revision: r.revision}}, Delete: []string{r.key},
	})
	if err != nil && !errors.As(err, new(*fleet.ConflictError)) {
		return false
	}
	a.opts.Log.Info("Registration removed, the executor has left.")
	r.written, r.revision = false, 0
	return true
}
