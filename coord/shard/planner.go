package shard

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultGrace     = 15 * time.Second
	DefaultOutage    = 3 * time.Second
	DefaultStable    = 30 * time.Second
	DefaultMoveEvery = 5 * time.Second
)

// ErrConfig is wrapped by every error of Config.Validate.
var ErrConfig = errors.New("shard: invalid configuration")

// Config holds the durations of a Planner.
type Config struct {
	// Grace is the time after an outage of the store, and after the start of
	// the entry, during which no shard is taken over from an owner that is not
	// live. It exceeds the lease of an entry's key, so that live entries have
	// registered by its end.
	Grace time.Duration
	// Outage is the time without an answer of the store that counts as an outage.
	Outage time.Duration
	// Stable is how long an entry must be live before shards are moved to it.
	Stable time.Duration
	// MoveEvery is the minimum time between two moves by one entry.
	MoveEvery time.Duration
}

// Default returns the default configuration.
func Default() Config {
	return Config{Grace: DefaultGrace, Outage: DefaultOutage, Stable: DefaultStable, MoveEvery: DefaultMoveEvery}
}

// Validate returns an error that lists every value that is not positive.
func (c Config) Validate() error {
	var errs []error
	for name, d := range map[string]time.Duration{
		"grace": c.Grace, "outage": c.Outage, "stable": c.Stable, "move interval": c.MoveEvery,
	} {
		if d <= 0 {
			errs = append(errs, fmt.Errorf("%w: %s %v is not positive", ErrConfig, name, d))
		}
	}
	return errors.Join(errs...)
}

// Planner decides which shards one entry takes over, moves to other entries and
// hands over on shutdown.
type Planner struct {
	cfg             Config
	self            string
	storeAnsweredAt Instant
	graceUntil      Instant
	liveSince       map[string]Instant // live entries and when each was first seen
	moved           bool
	movedAt         Instant
	shuttingDown    bool
}

// NewPlanner returns the planner of a new entry incarnation.
func NewPlanner(cfg Config, self string, now Instant) *Planner {
	return &Planner{cfg: cfg, self: self, storeAnsweredAt: now, graceUntil: now + cfg.Grace, liveSince: map[string]Instant{}}
}

// RecordStoreContact records an answer of the store. The first one after an outage
// starts the grace period.
func (p *Planner) RecordStoreContact(now Instant) {
	if now-p.storeAnsweredAt >= p.cfg.Outage {
		p.graceUntil = now + p.cfg.Grace
	}
	p.storeAnsweredAt = max(p.storeAnsweredAt, now)
}

// InGrace reports whether takeovers are suspended: during the grace period, and
// while the store does not answer, because then this entry may be the one that
// is cut off.
func (p *Planner) InGrace(now Instant) bool {
	return now < p.graceUntil || now-p.storeAnsweredAt >= p.cfg.Outage
}

// SetLive records the live entries: those whose keys were just read from the store.
func (p *Planner) SetLive(now Instant, entries []string) {
	p.RecordStoreContact(now)
	for _, e := range entries {
		if _, ok := p.liveSince[e]; !ok {
			p.liveSince[e] = now
		}
	}
	for e := range p.liveSince {
		if !slices.Contains(entries, e) {
			delete(p.liveSince, e)
		}
	}
}

// Shutdown makes Plan hand over every shard of this entry.
func (p *Planner) Shutdown() { p.shuttingDown = true }

// Plan returns the changes that this entry has to write now, based on the table
// and the live entries last read. An empty plan needs no write.
func (p *Planner) Plan(now Instant, t Table) []Change {
	if p.shuttingDown {
		return p.handOverAll(t)
	}
	changes := p.takeOvers(now, t)
	if len(changes) > 0 {
		return changes
	}
	return p.move(now, t)
}

// takeOvers returns the takeovers of the shards that are assigned to this entry
// and have no live owner. A shard that never had an owner is taken over even
// during the grace period.
func (p *Planner) takeOvers(now Instant, t Table) []Change {
	live := p.live()
	if !slices.Contains(live, p.self) {
		return nil
	}
	var changes []Change
	for s, want := range Assign(len(t.Shards), live) {
		o := t.Shards[s]
		if want != p.self || slices.Contains(live, o.Owner) {
			continue
		}
		if o.Owner != "" && p.InGrace(now) {
			continue
		}
		changes = append(changes, newChange(uint32(s), o, p.self, TakeOver))
	}
	return changes
}

// move hands over at most one shard to the stable entry that it is assigned to.
// An entry whose key keeps disappearing is never stable and receives no shard.
func (p *Planner) move(now Instant, t Table) []Change {
	if p.InGrace(now) || p.moved && now-p.movedAt < p.cfg.MoveEvery {
		return nil
	}
	var stable []string
	for e, since := range p.liveSince {
		if e == p.self || now-since >= p.cfg.Stable {
			stable = append(stable, e)
		}
	}
	for s, want := range Assign(len(t.Shards), stable) {
		if o := t.Shards[s]; o.Owner == p.self && want != p.self {
			p.moved, p.movedAt = true, now
			return []Change{newChange(uint32(s), o, want, Move)}
		}
	}
	return nil
}

// handOverAll hands over every shard of this entry to the other live entries.
func (p *Planner) handOverAll(t Table) []Change {
	others := slices.DeleteFunc(p.live(), func(e string) bool { return e == p.self })
	var changes []Change
	for s, want := range Assign(len(t.Shards), others) {
		if o := t.Shards[s]; o.Owner == p.self {
			changes = append(changes, newChange(uint32(s), o, want, Leave))
		}
	}
	return changes
}

// live returns the live entries, ordered by name.
func (p *Planner) live() []string {
	out := make([]string, 0, len(p.liveSince))
	for e := range p.liveSince {
		out = append(out, e)
	}
	slices.Sort(out)
	return out
}

func newChange(s uint32, o Ownership, to string, kind ChangeKind) Change {
	return Change{Shard: s, From: o.Owner, To: to, Generation: o.Generation + 1, Kind: kind}
}
