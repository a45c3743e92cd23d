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

// Times of the registration.
const (
	registerCheck = 300 * time.Millisecond
	registerAgain = 3 * time.Second // without a leader: its entry may have been removed
)

// register keeps the agent's entry in the store: there is one from the first
// announcement of an executor until it has left, so that no leader waits for a VM
// on which nothing can run. It is written again whenever no leader has come for
// a while. An entry of an earlier life of the agent stays until the executor
// leaves: something may run there.
func (a *Agent) register(ctx context.Context) {
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
		case wanted && (!r.written || !following && time.Since(r.at) > registerAgain):
			ok = a.write(ctx, &r)
		case !wanted && r.written:
			ok = a.remove(ctx, &r)
		}
		if !ok {
			a.opts.Log.Warn("Registration not changed, trying again.", "wanted", wanted)
		}
		fleet.Sleep(ctx, registerCheck)
	}
}

// registration is what the agent knows of its entry in the store.
type registration struct {
	key      string
	value    []byte
	revision uint64 // that the next write replaces
	written  bool
	at       time.Time
}

// registrationWanted reports whether there is an executor, and whether a leader
// has come.
func (a *Agent) registrationWanted(ctx context.Context) (wanted, following bool) {
	type state struct{ wanted, following bool }
	answer := make(chan state, 1)
	a.post(ctx, func() { answer <- state{a.executor != nil && !a.left, a.session != nil} })
	select {
	case s := <-answer:
		return s.wanted, s.following
	case <-ctx.Done():
		return false, false
	}
}

func (a *Agent) write(ctx context.Context, r *registration) bool {
	revision, err := a.opts.Store.Commit(ctx, fleet.Txn{
		If: []fleet.Condition{{Key: r.key, Revision: r.revision}}, Put: []fleet.Write{{Key: r.key, Value: r.value}},
	})
	var conflict *fleet.ConflictError
	switch {
	case err == nil:
		r.revision, r.written, r.at = revision, true, time.Now()
		a.opts.Log.Info("Registered.", "address", a.opts.Advertise)
		return true
	case errors.As(err, &conflict) && len(conflict.Current) > 0:
		r.revision = conflict.Current[0].Revision
		r.written, r.at = bytes.Equal(conflict.Current[0].Value, r.value), time.Now()
		return r.written
	case errors.As(err, &conflict):
		r.revision = 0
	}
	return false
}

func (a *Agent) remove(ctx context.Context, r *registration) bool {
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
