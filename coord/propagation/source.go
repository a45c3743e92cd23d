package propagation

import (
	"errors"
	"fmt"
	"slices"
)

// Defaults of Config.
const (
	DefaultMaxBytes = 64 << 10
	DefaultRepeat   = 2
)

// Config holds the bounds of a Source.
type Config struct {
	// MaxBytes bounds a message. It is also the bound of one object.
	MaxBytes int
	// Repeat is the number of heartbeats that a push is given to take effect
	// before it is repeated.
	Repeat int
}

// Default returns the values of the specification.
func Default() Config { return Config{MaxBytes: DefaultMaxBytes, Repeat: DefaultRepeat} }

// Validate reports every value that is out of range.
func (c Config) Validate() error {
	var errs []error
	if c.MaxBytes < 1<<10 {
		errs = append(errs, fmt.Errorf("propagation: max bytes %d is below 1024", c.MaxBytes))
	}
	if c.Repeat < 1 {
		errs = append(errs, fmt.Errorf("propagation: repeat %d is below 1", c.Repeat))
	}
	return errors.Join(errs...)
}

// deltaTries is the number of pushes of changes before everything is sent. A
// full push is larger by two orders of magnitude, and a lost push is far more
// likely than an unknown state.
const deltaTries = 3

// maxPatience bounds the heartbeats between two repetitions of a push.
const maxPatience = 32

// peer is what a source knows of one replica.
type peer struct {
	revision, digest uint64
	known            bool
	synced           uint64 // local load number that the replica is known to hold
	pushed           uint64 // local load number pushed last; 0: none
	waited           int    // heartbeats since then
	tries            int    // pushes of the same changes
	patience         int    // heartbeats to wait before the next repetition
}

// Source is an entry's copy of the objects. It decides what each replica lacks.
type Source struct {
	set
	cfg      Config
	revision uint64
	load     uint64         // counts the loads that changed an object
	changed  map[Key]uint64 // load number of the latest change
	peers    map[string]*peer
	bytes    uint64
	order    []Object
}

// NewSource returns an empty source.
func NewSource(cfg Config) *Source {
	return &Source{set: newSet(), cfg: cfg, changed: map[Key]uint64{}, peers: map[string]*peer{}}
}

// Load takes over the objects that were read from the store. The revision is
// read before the objects, so they are at least as new. A lower revision, read
// before a pause, is refused with ErrRevision. An object beyond the message
// size is skipped and reported with ErrTooLarge; the others are taken over.
func (s *Source) Load(revision uint64, objects []Object) error {
	if revision < s.revision {
		return fmt.Errorf("%w: from %d to %d", ErrRevision, s.revision, revision)
	}
	s.revision = revision
	var errs []error
	next := s.load + 1
	for _, o := range objects {
		if o.Size()+overhead > s.cfg.MaxBytes {
			errs = append(errs, fmt.Errorf("%w: %s/%s has %d of at most %d bytes", ErrTooLarge, o.Kind, o.Name, o.Size(), s.cfg.MaxBytes))
			continue
		}
		if s.put(o) {
			s.changed[o.Key] = next
			s.load = next
			s.order = nil
		}
	}
	return errors.Join(errs...)
}

// Revision is the revision last loaded. It never decreases.
func (s *Source) Revision() uint64 { return s.revision }

// Get returns the object, or ok false if it does not exist or is deleted.
func (s *Source) Get(k Key) (Object, bool) { return s.get(k) }

// Digest describes the versions of all objects.
func (s *Source) Digest() uint64 { return s.digest }

// Bytes is the total size of all pushes so far.
func (s *Source) Bytes() uint64 { return s.bytes }

// Forget drops what is known of a replica, at the end of its session.
func (s *Source) Forget(id string) { delete(s.peers, id) }

// Behind lists the replicas that do not hold the revision yet, ordered by id.
func (s *Source) Behind() []string {
	var out []string
	for id, p := range s.peers {
		if p.revision < s.revision {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Report takes a replica's revision and digest from a heartbeat and returns the
// pushes to send. A replica with the same versions gets at most the revision.
func (s *Source) Report(id string, revision, digest uint64) []Push {
	p := s.peers[id]
	if p == nil {
		p = &peer{}
		s.peers[id] = p
	}
	p.revision = max(p.revision, revision)
	p.digest, p.known = digest, true
	p.waited++
	if digest == s.digest {
		p.synced, p.pushed = s.load, 0
		if revision >= s.revision {
			return nil
		}
		return s.send(nil)
	}
	if revision > s.revision || s.load == 0 {
		return nil // the replica is ahead; this entry reads the store soon
	}
	if p.pushed == s.load && p.waited < p.patience {
		return nil
	}
	return s.repair(p)
}

// Push returns the pushes after a Load for every replica that lacks objects, by
// replica id.
func (s *Source) Push() map[string][]Push {
	out := map[string][]Push{}
	for id, p := range s.peers {
		if p.known && p.digest != s.digest && p.synced > 0 && p.pushed != s.load {
			out[id] = s.repair(p)
		}
	}
	return out
}

// repair sends the changes since the last common state. After deltaTries pushes
// of the same changes without effect it sends everything, at growing distances:
// the replica's state is not the one assumed, or it holds newer objects than
// this entry.
func (s *Source) repair(p *peer) []Push {
	if p.pushed != s.load {
		p.tries, p.patience = 0, s.cfg.Repeat
	}
	p.tries++
	since := p.synced
	if p.tries > deltaTries {
		since = 0
		p.patience = min(2*p.patience, maxPatience)
	}
	p.pushed, p.waited = s.load, 0
	var objects []Object
	for _, o := range s.ordered() {
		if s.changed[o.Key] > since {
			objects = append(objects, o)
		}
	}
	return s.send(objects)
}

// ordered is the list of all objects, kept until the next change.
func (s *Source) ordered() []Object {
	if s.order == nil {
		s.order = s.sorted()
	}
	return s.order
}

// send splits the objects into messages of at most MaxBytes.
func (s *Source) send(objects []Object) []Push {
	cur := Push{Revision: s.revision, Digest: s.digest}
	var out []Push
	for _, o := range objects {
		if len(cur.Objects) > 0 && cur.Size()+o.Size() > s.cfg.MaxBytes {
			out = append(out, cur)
			cur = Push{Revision: s.revision, Digest: s.digest}
		}
		cur.Objects = append(cur.Objects, o)
	}
	out = append(out, cur)
	for _, p := range out {
		s.bytes += uint64(p.Size())
	}
	return out
}
