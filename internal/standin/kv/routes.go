package kv

import (
	"context"
	"net/http"
	"time"

	"vanillalock.example/vanillalock/internal/httpjson"
	store "vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/standin/control"
)

// operation applies one decoded call to the store.
type operation func(ctx context.Context, c store.Call) (store.Reply, error)

func (s *Server) routes() {
	s.route(store.PathGet, read, func(ctx context.Context, c store.Call) (store.Reply, error) {
		e, err := s.store.Get(ctx, c.Key)
		return store.Reply{Entry: e}, err
	})
	s.route(store.PathList, read, func(ctx context.Context, c store.Call) (store.Reply, error) {
		entries, revision, err := s.store.List(ctx, c.Prefix)
		return store.Reply{Entries: entries, Revision: revision}, err
	})
	s.route(store.PathSwap, write, func(ctx context.Context, c store.Call) (store.Reply, error) {
		e, err := s.store.CompareAndSwap(ctx, c.Key, c.Expected, c.Value, c.Lease)
		e.Value = nil
		return store.Reply{Entry: e}, err
	})
	s.route(store.PathDelete, write, func(ctx context.Context, c store.Call) (store.Reply, error) {
		return store.Reply{}, s.store.Delete(ctx, c.Key, c.Expected)
	})
	s.route(store.PathGrant, leaseCall, s.grant)
	s.route(store.PathKeepAlive, leaseCall, func(ctx context.Context, c store.Call) (store.Reply, error) {
		return store.Reply{}, s.store.KeepAlive(ctx, c.Lease)
	})
	s.route(store.PathRevoke, leaseCall, func(ctx context.Context, c store.Call) (store.Reply, error) {
		return store.Reply{}, s.store.Revoke(ctx, c.Lease)
	})
	s.route(store.PathWatch, watch, s.watch)
}

// route serves one operation: it counts the call, decodes it and applies it. A
// silent connection gets no answer, and its call is not applied.
func (s *Server) route(path string, k kind, apply operation) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		if s.tracker.Silent(r) {
			s.count(k, 0)
			control.Hang(r)
		}
		var call store.Call
		if err := httpjson.Decode(r, store.MaxCallBytes, &call); err != nil {
			httpjson.WriteError(w, http.StatusBadRequest, "malformed", err.Error())
			return
		}
		s.count(k, len(call.Value))
		ctx := r.Context()
		if k != watch {
			// Like a slow service, apply the call even if its caller has given up.
			ctx = context.WithoutCancel(ctx)
		}
		reply, err := apply(ctx, call)
		s.reply(w, reply, err)
	})
}

func (s *Server) grant(ctx context.Context, c store.Call) (store.Reply, error) {
	ttl := max(milliseconds(c.TTLMs, maxLeaseTTL), minLeaseTTL)
	id, err := s.store.GrantLease(ctx, ttl)
	return store.Reply{Lease: id}, err
}

// watch waits for changes for the time that the call asks for, or until the
// faults change.
func (s *Server) watch(ctx context.Context, c store.Call) (store.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(c.WaitMs, maxWatchWait))
	defer cancel()
	faultsChanged := s.watchContext()
	defer context.AfterFunc(faultsChanged, cancel)()
	events, revision, err := s.store.Watch(ctx, c.Prefix, c.After)
	if err == nil && len(events) == 0 && s.Faults().Down {
		err = store.ErrUnavailable
	}
	return store.Reply{Events: events, Revision: revision}, err
}

// milliseconds converts ms, limited to the range from 0 to limit.
func milliseconds(ms int64, limit time.Duration) time.Duration {
	return time.Duration(min(max(ms, 0), limit.Milliseconds())) * time.Millisecond
}
