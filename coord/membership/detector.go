// Package membership decides which peers are present, from their heartbeats and
// from what other observers heard.
//
// A Detector belongs to one observer. A peer that is silent for Config.Missed
// intervals is suspected, and other observers are asked whether they still hear
// it. If none does, the peer is removed Config.Remove intervals later. It
// returns with a higher incarnation, or through Detector.Readmit.
//
// The package is pure: it takes events and clock readings and returns actions.
// It is not safe for concurrent use; one goroutine owns each value.
package membership

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Instant is a reading of the observer's monotonic clock since any fixed origin.
type Instant = time.Duration

// Defaults of Config.
const (
	DefaultInterval = 2 * time.Second
	DefaultMissed   = 3
	DefaultRemove   = 2
	DefaultAsk      = 2
)

// ErrConfig is wrapped by every error of Config.Validate.
var ErrConfig = errors.New("membership: invalid configuration")

// Config holds the parameters of a Detector.
type Config struct {
	// Interval is the time between two heartbeats of a peer.
	Interval time.Duration
	// Missed is the number of silent intervals before suspicion.
	Missed int
	// Remove is the number of further intervals before removal.
	Remove int
	// Ask is the number of other observers asked per interval of suspicion;
	// 0 asks nobody, a negative number asks all.
	Ask int
}

// Default returns the default configuration.
func Default() Config {
	return Config{Interval: DefaultInterval, Missed: DefaultMissed, Remove: DefaultRemove, Ask: DefaultAsk}
}

// Validate returns an error that lists every value that is out of range.
func (c Config) Validate() error {
	var errs []error
	if c.Interval <= 0 {
		errs = append(errs, fmt.Errorf("%w: interval %v is not positive", ErrConfig, c.Interval))
	}
	if c.Missed < 1 || c.Remove < 1 {
		errs = append(errs, fmt.Errorf("%w: missed %d and remove %d must be at least 1", ErrConfig, c.Missed, c.Remove))
	}
	return errors.Join(errs...)
}

// State is what the observer knows of a peer.
type State int

// States of a peer.
const (
	// Unknown peers have never been heard.
	Unknown State = iota
	// Present peers are heard directly.
	Present
	// Suspected peers are silent; others were asked.
	Suspected
	// Indirect peers are silent here but heard by another observer. They are
	// not removed, and the observer sends them nothing new.
	Indirect
	// Leaving peers announced that they leave and receive nothing new.
	Leaving
	// Removed peers return only with a higher incarnation or after Readmit.
	Removed
)

// ActionKind tells what the observer has to do.
type ActionKind int

// Actions of a Detector.
const (
	// Ask asks Observers when they last heard the peer.
	Ask ActionKind = iota + 1
	// Changed reports a new state of the peer.
	Changed
)

// Action is an instruction to the observer.
type Action struct {
	Kind        ActionKind
	Peer        string
	Incarnation uint64
	State       State
	Observers   []string
}

// Contact is an observer's answer about a peer.
type Contact struct {
	Peer        string
	Incarnation uint64
	// Heard tells whether the observer ever heard this or a higher incarnation.
	Heard bool
	// Age is the time from the last heartbeat that the observer heard to its
	// answer.
	Age time.Duration
}

type peer struct {
	incarnation uint64
	state       State
	direct      Instant // last heard here
	indirect    Instant // last heard by another observer, at the latest
	askedAt     Instant
	askRounds   int // rounds of questions during the current suspicion
}

// Detector watches the peers of one observer.
type Detector struct {
	cfg       Config
	observers []string
	peers     map[string]*peer
	hasTicked bool
	tickedAt  Instant
	resumedAt Instant // end of the last pause of the observer itself; peers count as silent from here at the earliest
}

// NewDetector returns a detector without peers.
func NewDetector(cfg Config) *Detector {
	return &Detector{cfg: cfg, peers: map[string]*peer{}}
}

// SetObservers sets the other observers that can be asked.
func (d *Detector) SetObservers(ids []string) {
	d.observers = slices.Clone(ids)
	slices.Sort(d.observers)
}

// State returns the state and incarnation of a peer.
func (d *Detector) State(id string) (State, uint64) {
	if p, ok := d.peers[id]; ok {
		return p.state, p.incarnation
	}
	return Unknown, 0
}

// Accept reports whether the peer can be given new work.
func (d *Detector) Accept(id string) bool {
	s, _ := d.State(id)
	return s == Present
}

// Heartbeat records a message of a peer. A message of a lower incarnation, or
// of a removed one, is ignored: ok is false and the peer is told to announce
// itself anew.
func (d *Detector) Heartbeat(now Instant, id string, incarnation uint64, leaving bool) (actions []Action, ok bool) {
	p := d.peers[id]
	if p != nil && (incarnation < p.incarnation || incarnation == p.incarnation && p.state == Removed) {
		return nil, false
	}
	if p == nil || incarnation > p.incarnation {
		p = &peer{incarnation: incarnation, direct: now, indirect: now}
		d.peers[id] = p
	}
	p.direct, p.askRounds = max(p.direct, now), 0
	state := Present
	if leaving || p.state == Leaving {
		state = Leaving
	}
	return p.setState(id, state), true
}

// Readmit lets a removed peer return with the same incarnation. The observer
// calls it when the peer announces itself on a new connection: it was cut off
// and has not restarted. Messages on earlier connections stay ignored until then.
func (d *Detector) Readmit(id string, incarnation uint64) {
	if p := d.peers[id]; p != nil && p.state == Removed && p.incarnation == incarnation {
		p.state = Suspected
	}
}

// Answer records what another observer heard of a peer. An answer within the
// suspicion time refutes the suspicion.
func (d *Detector) Answer(now Instant, c Contact) []Action {
	p := d.peers[c.Peer]
	if p == nil || p.state == Removed || !c.Heard {
		return nil
	}
	if c.Incarnation > p.incarnation {
		// The peer restarted and has not connected to this observer yet.
		*p = peer{incarnation: c.Incarnation, direct: now - c.Age, indirect: now - c.Age, state: p.state}
		if p.state == Leaving {
			p.state = Indirect
		}
	}
	if c.Incarnation < p.incarnation {
		return nil
	}
	p.indirect = max(p.indirect, now-c.Age)
	if p.state == Suspected && now-p.indirect < d.suspicionTimeout() {
		p.askRounds = 0
		return p.setState(c.Peer, Indirect)
	}
	return nil
}

// Contact returns the answer to another observer's question about a peer.
func (d *Detector) Contact(now Instant, id string, incarnation uint64) Contact {
	p := d.peers[id]
	if p == nil || p.incarnation < incarnation {
		return Contact{Peer: id, Incarnation: incarnation}
	}
	return Contact{Peer: id, Incarnation: p.incarnation, Heard: true, Age: now - p.direct}
}

// Tick suspects and removes silent peers. It is called at least once per
// interval. A longer gap means that the observer itself was paused: the silence
// of its peers counts from the resumption.
func (d *Detector) Tick(now Instant) []Action {
	if d.hasTicked && now-d.tickedAt >= 2*d.cfg.Interval {
		d.resumedAt = now
	}
	d.hasTicked, d.tickedAt = true, now
	ids := make([]string, 0, len(d.peers))
	for id := range d.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var actions []Action
	for _, id := range ids {
		actions = append(actions, d.tick(now, id, d.peers[id])...)
	}
	return actions
}

func (d *Detector) tick(now Instant, id string, p *peer) []Action {
	if p.state == Removed {
		return nil
	}
	silent := now - max(p.direct, p.indirect, d.resumedAt)
	if silent >= d.suspicionTimeout()+time.Duration(d.cfg.Remove)*d.cfg.Interval {
		return p.setState(id, Removed)
	}
	if silent < d.suspicionTimeout() {
		if p.state == Indirect && now-p.askedAt >= d.cfg.Interval {
			return d.ask(now, id, p)
		}
		return nil
	}
	var actions []Action
	if p.state != Suspected && p.state != Leaving {
		actions = p.setState(id, Suspected)
	}
	if p.askRounds == 0 || now-p.askedAt >= d.cfg.Interval {
		actions = append(actions, d.ask(now, id, p)...)
	}
	return actions
}

// ask picks the observers by a hash of peer and round, so that repeated
// questions reach other observers and the load is spread.
func (d *Detector) ask(now Instant, id string, p *peer) []Action {
	p.askedAt = now
	p.askRounds++
	n := d.cfg.Ask
	if n < 0 || n > len(d.observers) {
		n = len(d.observers)
	}
	if n == 0 {
		return nil
	}
	list := slices.Clone(d.observers)
	round := now / d.cfg.Interval
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Compare(weight(a, id, uint64(round)), weight(b, id, uint64(round)))
	})
	return []Action{{Kind: Ask, Peer: id, Incarnation: p.incarnation, State: p.state, Observers: list[:n]}}
}

// suspicionTimeout returns the silence after which a peer is suspected.
func (d *Detector) suspicionTimeout() time.Duration {
	return time.Duration(d.cfg.Missed) * d.cfg.Interval
}

func (p *peer) setState(id string, s State) []Action {
	if p.state == s {
		return nil
	}
	p.state = s
	return []Action{{Kind: Changed, Peer: id, Incarnation: p.incarnation, State: s}}
}

// weight returns a hash by which ask orders the observers: FNV-1a over observer
// and peer, mixed with the round.
func weight(observer, peer string, round uint64) uint64 {
	h := uint64(14695981039346656037)
	for _, s := range []string{observer, "/", peer} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
	}
	h = (h ^ round) * 0x94d049bb133111eb
	return h ^ h>>31
}
