package lead

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/kv"
)

// Timing of the following of the configuration, which may be large: reading it whole
// after each failed watch would keep a slow store from answering anything.
const (
	configWatchTimeout = 2 * time.Second
	// After a failed watch the next ones are short, as a silent connection is found out
	// only at their ends. They grow: a busy store needs time to begin with an answer.
	minConfigProbe = 200 * time.Millisecond
	maxConfigProbe = 800 * time.Millisecond
	// Pauses after failures, and after failures to read the configuration whole.
	minConfigPause     = 200 * time.Millisecond
	maxConfigPause     = 600 * time.Millisecond
	maxConfigReadPause = 1500 * time.Millisecond
	// configFresh is how long after its last answer from the store an entry tells others
	// which configuration is in force. Its watches end after configWatchTimeout.
	configFresh = configWatchTimeout + 500*time.Millisecond
	// configPeers is the number of entries that are asked for the configuration in one
	// attempt. They answer at once, those that the store does not answer with a refusal:
	// without a bound each would be asked by all others for as long as an outage lasts.
	configPeers = 8
)

// ConfigSource states where the operators' configuration is stored and how to decode
// it.
type ConfigSource struct {
	Prefix string // prefix to watch
	Key    string
	Decode func([]byte) (*fleet.Config, error)
}

// heldConfig is the configuration in force as the store has it.
type heldConfig struct {
	item fleet.Item
	asOf uint64 // revision of the store up to which it is the newest one that decodes
	seen int64  // when the store last answered this entry itself, as of sinceStart
}

// configCall asks an entry for a piece of its configuration.
type configCall struct {
	After    uint64 `json:"after"`              // no piece is wanted of a value of this revision or an earlier one
	Revision uint64 `json:"revision,omitempty"` // of the value whose pieces before Offset are there; 0: of none
	Offset   int    `json:"offset,omitempty"`   // bytes
}

// configPiece is a piece of the configuration that an entry holds.
type configPiece struct {
	Revision uint64 `json:"revision"`
	AsOf     uint64 `json:"as_of"`
	Offset   int    `json:"offset,omitempty"`
	Size     int    `json:"size,omitempty"` // of the whole value; 0: it is not newer
	Piece    []byte `json:"piece,omitempty"`
}

// watchConfig follows the configuration and adopts each new version, until ctx ends. It
// reads it whole at the start and once the store has dropped the history since.
func (e *Entry) watchConfig(ctx context.Context) {
	after, failures := uint64(0), 0 // 0: to be read whole
	for ctx.Err() == nil {
		var direct bool
		var err error
		whole := after == 0
		switch {
		case whole:
			after, direct, err = e.readConfig(ctx)
			direct = direct && failures == 0 // a history that is dropped again and again resets nothing
		case failures == 0:
			after, err = e.awaitConfig(ctx, after, configWatchTimeout)
			direct = err == nil
		default:
			after, direct, err = e.probeConfig(ctx, after, configProbe(failures))
		}
		switch {
		case err == nil && direct:
			failures = 0
			continue
		case err == nil && whole:
			failures = max(failures, 1)
			continue
		case err == nil: // relayed
			failures = 1
		case isNotFound(err): // before the first configuration
			failures = 1
		default:
			if errors.Is(err, fleet.ErrCompacted) {
				after = 0
			}
			if failures++; failures > 1 && ctx.Err() == nil { // a waiting watch may be cut at any time
				e.opts.Log.Warn("Configuration not read.", "after", after, "failures", failures, "err", err)
			}
		}
		fleet.Sleep(ctx, configPause(failures, after == 0, rand.Float64()))
	}
}

// configProbe returns how long a watch waits after a number of failures, 1 or more.
func configProbe(failures int) time.Duration {
	return min(maxConfigProbe, minConfigProbe<<min(failures-1, 4))
}

// configPause returns the pause after a number of failures, 1 or more. The draw, a random
// number from 0 to 1, keeps entries that have failed together from coming back together.
func configPause(failures int, whole bool, draw float64) time.Duration {
	limit := maxConfigPause
	if whole {
		limit = maxConfigReadPause
	}
	pause := min(limit, minConfigPause<<min(failures-1, 4))
	return pause/2 + time.Duration(draw*float64(pause/2))
}

// readConfig reads the configuration whole, from the store or else from another entry,
// and returns the revision from which to watch it. direct reports that the store has
// answered. The client of the store ends the read once no byte has come for a while; a
// limit of the whole read would have a busy store send the same bytes again.
func (e *Entry) readConfig(ctx context.Context) (after uint64, direct bool, err error) {
	item, err := e.direct.Get(ctx, e.source.Key)
	if err == nil {
		asOf := max(item.Revision, item.AsOf) // the store may have dropped the history after the revision
		e.adopt(item, asOf, sinceStart())
		return asOf, true, nil
	}
	if !isOutage(err) || ctx.Err() != nil {
		return 0, false, err
	}
	after, relayed := e.relayedConfig(ctx, 0)
	if relayed != nil {
		return 0, false, fmt.Errorf("%w; %w", err, relayed)
	}
	return after, false, nil
}

// awaitConfig watches the configuration directly and returns the revision from which to
// continue. It ends early once other direct calls get no answer.
func (e *Entry) awaitConfig(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
	changes, next, err := e.store.watchDirect(ctx, e.source.Prefix, after, wait)
	if err != nil {
		return after, err
	}
	e.adoptChanges(changes, next)
	return next, nil
}

// probeConfig watches the configuration for a short time after a failure, and asks other
// entries for it if the store does not answer. direct reports that the store has answered.
func (e *Entry) probeConfig(ctx context.Context, after uint64, wait time.Duration) (next uint64, direct bool, err error) {
	if until := e.store.avoidDirectUntil.Load(); until == 0 || sinceStart() >= until {
		changes, next, err := e.direct.Watch(ctx, e.source.Prefix, after, wait)
		if !isOutage(err) {
			e.store.avoidDirectUntil.CompareAndSwap(until, 0)
			if err == nil {
				e.adoptChanges(changes, next)
			}
			return next, true, err
		}
	}
	next, err = e.relayedConfig(ctx, after)
	return next, false, err
}

// adoptChanges puts the last change of the configuration in force. The store has
// answered with the revision next.
func (e *Entry) adoptChanges(changes []fleet.Change, next uint64) {
	var last fleet.Item
	for _, c := range changes {
		if c.Key == e.source.Key && !c.Removed && c.Revision > last.Revision {
			last = c.Item
		}
	}
	e.adopt(last, next, sinceStart())
}

// adopt puts a configuration in force if its version is higher than the current one. An
// item without a revision stands for no change. asOf is the revision of the store up to
// which there is no later one, and seen the time of the last answer of the store to this
// entry itself.
func (e *Entry) adopt(item fleet.Item, asOf uint64, seen int64) {
	held := heldConfig{asOf: asOf, seen: seen}
	if earlier := e.held.Load(); earlier != nil {
		held.item = earlier.item
	}
	if item.Revision > 0 && e.putInForce(item) {
		held.item = item
	}
	if held.item.Revision > 0 {
		e.held.Store(&held)
	}
}

// putInForce decodes a configuration, and puts it in force and returns true if its version
// is higher than the current one.
func (e *Entry) putInForce(item fleet.Item) bool {
	config, err := e.source.Decode(item.Value)
	if err != nil {
		e.opts.Log.Error("Cannot decode the configuration, keeping the current one.", "revision", item.Revision, "err", err)
		return false
	}
	current := e.config.Load()
	if current != nil && config.Version <= current.Version {
		return false
	}
	e.config.Store(config)
	e.opts.Log.Info("Configuration in force.", "version", config.Version, "revision", item.Revision, "queues", len(config.Queues))
	return true
}

// relayedConfig asks other entries for a configuration of a later revision, adopts it and
// returns the revision from which to watch it.
func (e *Entry) relayedConfig(ctx context.Context, after uint64) (uint64, error) {
	first, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	addresses := e.peers.addresses()
	if len(addresses) > 1 {
		// The one that last reached the store comes first; others at random, so that
		// entries that are cut off together do not all ask the same one.
		rest := addresses[1:]
		rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	}
	failed := fmt.Errorf("%w: no other entry is known", kv.ErrUnavailable)
	for _, address := range addresses[:min(len(addresses), configPeers)] {
		if first.Err() != nil {
			break
		}
		item, asOf, err := e.fetchConfig(ctx, first, address, after)
		if err != nil {
			failed = err
			continue
		}
		var seen int64
		if held := e.held.Load(); held != nil {
			seen = held.seen
		}
		e.peers.prefer(address)
		asOf = max(asOf, after)
		e.adopt(item, asOf, seen)
		return asOf, nil
	}
	return after, failed
}

// fetchConfig reads the configuration of another entry piece by piece, so that small calls
// in the same session need not wait for all of it. Without a later revision the item is
// empty. first limits the time until the first piece has come.
func (e *Entry) fetchConfig(ctx, first context.Context, address string, after uint64) (fleet.Item, uint64, error) {
	item := fleet.Item{Key: e.source.Key}
	for limit := first; ; limit = ctx {
		call := storeCall{Config: &configCall{After: after, Revision: item.Revision, Offset: len(item.Value)}}
		reply, err := e.askStore(limit, address, call)
		if err == nil {
			err = reply.err()
		}
		piece := reply.Config
		switch {
		case err != nil:
			return fleet.Item{}, 0, err
		case piece == nil: // an entry of an earlier version
			return fleet.Item{}, 0, fmt.Errorf("%w: entry %s does not relay the configuration", kv.ErrUnavailable, address)
		case piece.Size == 0:
			return fleet.Item{}, piece.AsOf, nil
		case piece.Offset != len(item.Value) || item.Revision != 0 && piece.Revision != item.Revision || len(piece.Piece) == 0:
			return fleet.Item{}, 0, fmt.Errorf("%w: the configuration of entry %s has changed meanwhile", kv.ErrUnavailable, address)
		}
		item.Revision = piece.Revision
		item.Value = append(item.Value, piece.Piece...)
		if len(item.Value) >= piece.Size {
			return item, max(piece.AsOf, piece.Revision), nil
		}
	}
}

// freshConfig returns the configuration that this entry holds if the store has answered it
// lately.
func (e *Entry) freshConfig() (*heldConfig, error) {
	held := e.held.Load()
	if held == nil {
		return nil, fmt.Errorf("%w: this entry has read no configuration", kv.ErrUnavailable)
	}
	if age := time.Duration(sinceStart() - held.seen); held.seen == 0 || age > configFresh {
		return nil, fmt.Errorf("%w: the store has not answered this entry for %v", kv.ErrUnavailable, age.Round(time.Millisecond))
	}
	return held, nil
}

// configReply answers a relayed call for the configuration from the one that this entry
// holds, without a call to the store. ok reports whether it is such a call. Entries of
// earlier versions read and watch it as any other key.
func (e *Entry) configReply(c storeCall) (reply storeReply, ok bool, err error) {
	get := c.Get != "" && c.Get == e.source.Key
	watch := c.Watch != nil && e.source.Prefix != "" && c.Watch.Prefix == e.source.Prefix
	if c.Config == nil && !get && !watch {
		return reply, false, nil
	}
	held, err := e.freshConfig()
	if err != nil {
		return reply, true, err
	}
	switch {
	case get:
		reply.Item = held.item
		reply.Item.AsOf = held.asOf
	case watch:
		reply.Revision = max(held.asOf, c.Watch.After)
		if held.item.Revision > c.Watch.After {
			reply.Changes = []fleet.Change{{Item: held.item}}
		}
	default:
		reply.Config = held.piece(*c.Config)
	}
	return reply, true, nil
}

// piece returns the piece that is asked for, or the first one if that is of an earlier
// value.
func (h *heldConfig) piece(c configCall) *configPiece {
	p := &configPiece{Revision: h.item.Revision, AsOf: h.asOf}
	if h.item.Revision <= c.After {
		return p
	}
	p.Size = len(h.item.Value)
	if c.Revision == h.item.Revision {
		p.Offset = min(max(c.Offset, 0), p.Size)
	}
	p.Piece = h.item.Value[p.Offset:min(p.Size, p.Offset+maxRelayedBytes)]
	return p
}
