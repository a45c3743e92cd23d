package shard

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultGrace    = 15 * time.Second
	DefaultOutage   = 3 * time.Second
	DefaultStable   = 30 * time.Second
	DefaultMoveRate = 5 * time.Second
)

// ErrConfig is matched by every error of Config.Validate.
var ErrConfig = errors.New("shard: invalid configuration")

// Config holds the durations of a Planner.
type Config struct {
	// Grace is the time after an outage of the store, and after the start of
	// the entry, without any take-over from an owner that seems dead. It
	// exceeds the lease of an entry's key, so that live entries register first.
	Grace time.Duration
	// Outage is the time without an answer of the store that counts as an outage.
	Outage time.Duration
	// Stable is how long an entry is live before shards are moved to it.
	Stable time.Duration
	// MoveEvery is the shortest time between two moves by one entry.
	MoveEvery time.Duration
}

// Default returns the values of the specification.
func Default() Config {
	return Config{Grace: DefaultGrace, Outage: DefaultOutage, Stable: DefaultStable, MoveEvery: DefaultMoveRate}
}

// Validate reports every value that is not positive.
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

// Planner decides which shards one entry takes over, moves and hands over.
type Planner struct {
	cfg       Config
	self      string
	contact   Instant
	graceTill Instant
	since     map[string]Instant // live since
	moved     bool
	movedAt   Instant
	leaving   bool
}

// NewPlanner returns the planner of a new entry incarnation.
func NewPlanner(cfg Config, self string, now Instant) *Planner {
	return &Planner{cfg: cfg, self: self, contact: now, graceTill: now + cfg.Grace, since: map[string]Instant{}}
}

// Contact records an answer of the store. The first one after an outage starts
// the grace period.
func (p *Planner) Contact(now Instant) {
	if now-p.contact >= p.cfg.Outage {
		p.graceTill = now + p.cfg.Grace
	}
	p.contact = max(p.contact, now)
}

// InGrace tells whether take-overs are suspended. They are also suspended when
// the last answer of the store is old: the entry may be the one cut off.
func (p *Planner) InGrace(now Instant) bool {
	return now < p.graceTill || now-p.contact >= p.cfg.Outage
}

// Live records the entries whose keys exist, as just read from the store.
func (p *Planner) Live(now Instant, entries []string) {
	p.Contact(now)
	for _, e := range entries {
		if _, ok := p.since[e]; !ok {
			p.since[e] = now
		}
	}
	for e := range p.since {
		if !slices.Contains(entries, e) {
			delete(p.since, e)
		}
	}
}

// Shutdown makes Plan hand over every shard of this entry.
func (p *Planner) Shutdown() { p.leaving = true }

// Plan returns the changes that this entry writes now, based on the table and
// live entries last read. An empty plan needs no write.
func (p *Planner) Plan(now Instant, t Table) []Change {
	if p.leaving {
		return p.leave(t)
	}
	changes := p.takeOvers(now, t)
	if len(changes) > 0 {
		return changes
	}
	return p.move(now, t)
}

// takeOvers takes the assigned shards that have no live owner. A shard that
// never had an owner needs no grace.
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
		changes = append(changes, change(uint32(s), o, p.self, TakeOver))
	}
	return changes
}

// move hands at most one shard to a stable entry that it is assigned to. An
// entry that comes and goes is never stable and receives nothing.
func (p *Planner) move(now Instant, t Table) []Change {
	if p.InGrace(now) || p.moved && now-p.movedAt < p.cfg.MoveEvery {
		return nil
	}
	var stable []string
	for e, since := range p.since {
		if e == p.self || now-since >= p.cfg.Stable {
			stable = append(stable, e)
		}
	}
	for s, want := range Assign(len(t.Shards), stable) {
		if o := t.Shards[s]; o.Owner == p.self && want != p.self {
			p.moved, p.movedAt = true, now
			return []Change{change(uint32(s), o, want, Move)}
		}
	}
	return nil
}

func (p *Planner) leave(t Table) []Change {
	others := slices.DeleteFunc(p.live(), func(e string) bool { return e == p.self })
	var changes []Change
	for s, want := range Assign(len(t.Shards), others) {
		if o := t.Shards[s]; o.Owner == p.self {
			changes = append(changes, change(uint32(s), o, want, Leave))
		}
	}
	return changes
}

func (p *Planner) live() []string {
	out := make([]string, 0, len(p.since))
	for e := range p.since {
		out = append(out, e)
	}
	slices.Sort(out)
	return out
}

func change(s uint32, o Ownership, to string, kind ChangeKind) Change {
	return Change{Shard: s, From: o.Owner, To: to, Generation: o.Generation + 1, Kind: kind}
}
