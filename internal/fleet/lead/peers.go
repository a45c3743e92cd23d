package lead

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// peerRefreshInterval is the interval at which the addresses of the other entries are read.
// They are needed only while this entry cannot reach the store itself.
const peerRefreshInterval = 4 * time.Second

// peerDialTimeout is the timeout for opening a session: a host that is powered off does not
// refuse the connection.
const peerDialTimeout = 250 * time.Millisecond

// deadSilence is the time without a reply after which a session counts as dead. Other
// requests in it fail as well, so that an entry which ends the stream without a reply, or
// that had less time left, does not cost it.
const deadSilence = askTimeout - 50*time.Millisecond

// peers holds the sessions with other entries. They are opened on first use.
type peers struct {
	mu       sync.Mutex
	known    []string                 // addresses; the one that last reached the store for this entry comes first
	sessions map[string]*wire.Session // by address
	dials    singleflight.Group       // by address
}

// set replaces the addresses of the other entries and keeps their order.
func (p *peers) set(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := slices.DeleteFunc(p.known, func(a string) bool { return !slices.Contains(addresses, a) })
	for _, a := range addresses {
		if !slices.Contains(kept, a) {
			kept = append(kept, a)
		}
	}
	p.known = kept
}

func (p *peers) addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.known)
}

// prefer moves an address to the front.
func (p *peers) prefer(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.known, address); i > 0 {
		p.known = slices.Insert(slices.Delete(p.known, i, i+1), 0, address)
	}
}

// session returns the session with an entry, and opens one if none is alive. Requests
// that come at once share one attempt, as each new session closes the earlier one.
func (p *peers) session(address string) (*wire.Session, error) {
	if session := p.alive(address); session != nil {
		return session, nil
	}
	opened, err, _ := p.dials.Do(address, func() (any, error) {
		if session := p.alive(address); session != nil {
			return session, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), peerDialTimeout)
		defer cancel()
		session, err := wire.Dial(ctx, address, wire.Config{})
		if err != nil {
			return nil, err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if earlier := p.sessions[address]; earlier != nil {
			_ = earlier.Close()
		}
		p.sessions[address] = session
		return session, nil
	})
	if err != nil {
		return nil, err
	}
	return opened.(*wire.Session), nil
}

// alive returns the session with an entry unless there is none or it has ended.
func (p *peers) alive(address string) *wire.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	session := p.sessions[address]
	if session == nil {
		return nil
	}
	select {
	case <-session.Done():
		return nil
	default:
		return session
	}
}

// ask sends a request to an entry and returns its reply.
func (p *peers) ask(ctx context.Context, address string, q *pb.FleetAsk) (*pb.FleetReply, error) {
	session, err := p.session(address)
	if err != nil {
		return nil, err
	}
	timeout := askTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(time.Millisecond, min(timeout, time.Until(deadline)))
	}
	reply, waited, err := link.Exchange(session, q, timeout)
	if err != nil && waited >= deadSilence {
		// The connection may be dead without an error: the next request opens another.
		_ = session.Close()
	}
	return reply, err
}

// maintainPeers keeps this entry's address in the store, and reads those of the others
// every peerRefreshInterval until ctx ends.
func (e *Entry) maintainPeers(ctx context.Context) {
	value, err := json.Marshal(link.EntryRecord{Address: e.opts.Advertise})
	if err != nil { // a struct of strings always encodes
		e.opts.Log.Error("Cannot encode this entry's record.", "err", err)
		return
	}
	record := fleet.Write{Key: fleet.EntryBase + e.opts.Node, Value: value}
	written := false
	for ctx.Err() == nil {
		if written = e.refreshPeers(ctx, record, written); !written {
			fleet.Sleep(ctx, campaignRetry)
			continue
		}
		fleet.Sleep(ctx, peerRefreshInterval)
	}
}

// refreshPeers writes this entry's record unless it is written, reads those of the others,
// and reports whether the store holds the record. A write of the process before may have
// replaced it late.
func (e *Entry) refreshPeers(ctx context.Context, record fleet.Write, written bool) bool {
	if !written {
		_, err := e.direct.Commit(ctx, fleet.Txn{Put: []fleet.Write{record}})
		written = err == nil
	}
	items, _, err := fleet.ReadAll(ctx, e.direct, fleet.EntryBase)
	if err != nil {
		return written
	}
	// Entries that are cut off together do not all ask the same one first.
	addresses := e.otherAddresses(items)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	e.peers.set(addresses)
	return written && slices.ContainsFunc(items, func(i fleet.Item) bool { return i.Key == record.Key && bytes.Equal(i.Value, record.Value) })
}

// otherAddresses returns the addresses in the records of the other entries.
func (e *Entry) otherAddresses(items []fleet.Item) []string {
	var addresses []string
	for _, item := range items {
		var record link.EntryRecord
		if err := json.Unmarshal(item.Value, &record); err != nil {
			e.opts.Log.Error("Cannot decode an entry's record.", "key", item.Key, "err", err)
			continue
		}
		if strings.TrimPrefix(item.Key, fleet.EntryBase) != e.opts.Node {
			addresses = append(addresses, record.Address)
		}
	}
	return addresses
}
