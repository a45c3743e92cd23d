package propagation

import (
	"errors"
	"fmt"
	"slices"
)

// Defaults of Config.
const (
	DefaultMaxBytes    = 64 << 10
	DefaultRepeatAfter = 2
)

// Config holds the limits of a Source.
type Config struct {
	// MaxBytes is the maximum size of a message and so of an object.
	MaxBytes int
	// RepeatAfter is the number of heartbeats after which a push without effect
	// is repeated.
	RepeatAfter int
}

// Default returns the default configuration.
func Default() Config { return Config{MaxBytes: DefaultMaxBytes, RepeatAfter: DefaultRepeatAfter} }

// Validate returns an error that lists every value that is out of range.
func (c Config) Validate() error {
	var errs []error
	if c.MaxBytes < 1<<10 {
		errs = append(errs, fmt.Errorf("propagation: max bytes %d is below 1024", c.MaxBytes))
	}
	if c.RepeatAfter < 1 {
		errs = append(errs, fmt.Errorf("propagation: repeat %d is below 1", c.RepeatAfter))
	}
	return errors.Join(errs...)
}

// maxDeltaPushes is the number of pushes of the same changes before all objects
// are sent. A full push is larger by two orders of magnitude, and a lost push is
// far more likely than a replica whose state differs from the one assumed.
const maxDeltaPushes = 3

// maxRepeatWait is the maximum number of heartbeats between two full pushes
// without effect.
const maxRepeatWait = 32

// replicaState is what a source knows about one replica.
type replicaState struct {
	revision, digest uint64
	known            bool
	syncedLoad       uint64 // Source.loadNumber that the replica is known to hold
	pushedLoad       uint64 // Source.loadNumber of the last push; 0: none
	heartbeats       int    // heartbeats since the last push
	pushes           int    // pushes of the same changes
	repeatWait       int    // heartbeats to wait before the next repetition
}

// Source is an entry's copy of the objects. It tracks which objects each replica
// lacks and builds the pushes.
type Source struct {
	objectSet
	cfg           Config
	revision      uint64
	loadNumber    uint64         // counts the loads that changed an object
	changed       map[Key]uint64 // loadNumber of the object's latest change
	replicas      map[string]*replicaState
	pushedBytes   uint64
	sortedObjects []Object // cache of ordered; nil after a change
}

// NewSource returns an empty source.
func NewSource(cfg Config) *Source {
	return &Source{objectSet: newObjectSet(), cfg: cfg, changed: map[Key]uint64{}, replicas: map[string]*replicaState{}}
}

// Load stores the objects that were read from the key-value store. The caller
// reads the revision before the objects, so that they are at least as new. A
// revision lower than the last, for example one read before a pause, is refused
// with ErrRevision. An object that exceeds the message size is skipped and
// reported with ErrTooLarge; the others are stored.
func (s *Source) Load(revision uint64, objects []Object) error {
	if revision < s.revision {
		return fmt.Errorf("%w: from %d to %d", ErrRevision, s.revision, revision)
	}
	s.revision = revision
	var errs []error
	next := s.loadNumber + 1
	for _, o := range objects {
		if o.Size()+frameOverhead > s.cfg.MaxBytes {
			errs = append(errs, fmt.Errorf("%w: %s/%s has %d of at most %d bytes", ErrTooLarge, o.Kind, o.Name, o.Size(), s.cfg.MaxBytes))
			continue
		}
		if s.put(o) {
			s.changed[o.Key] = next
			s.loadNumber = next
			s.sortedObjects = nil
		}
	}
	return errors.Join(errs...)
}

// Revision returns the revision last loaded. It never decreases.
func (s *Source) Revision() uint64 { return s.revision }

// Get returns the object, or ok false if it does not exist or is deleted.
func (s *Source) Get(k Key) (Object, bool) { return s.get(k) }

// Digest returns the digest over the versions of all objects.
func (s *Source) Digest() uint64 { return s.digest }

// Bytes returns the total size of all pushes built so far.
func (s *Source) Bytes() uint64 { return s.pushedBytes }

// Forget drops the state of a replica. It is called when the session ends.
func (s *Source) Forget(id string) { delete(s.replicas, id) }

// Behind returns the replicas that do not hold the current revision yet, ordered
// by id.
func (s *Source) Behind() []string {
	var out []string
	for id, p := range s.replicas {
		if p.revision < s.revision {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Report records the revision and digest of a replica's heartbeat and returns
// the pushes to send to it. A replica that holds the same versions gets at most
// a push of the revision, without objects.
func (s *Source) Report(id string, revision, digest uint64) []Push {
	p := s.replicas[id]
	if p == nil {
		p = &replicaState{}
		s.replicas[id] = p
	}
	p.revision = max(p.revision, revision)
	p.digest, p.known = digest, true
	p.heartbeats++
	if digest == s.digest {
		p.syncedLoad, p.pushedLoad = s.loadNumber, 0
		if revision >= s.revision {
			return nil
		}
		return s.buildPushes(nil)
	}
	if revision > s.revision || s.loadNumber == 0 {
		return nil // the replica is ahead until this entry reads the store again
	}
	if p.pushedLoad == s.loadNumber && p.heartbeats < p.repeatWait {
		return nil
	}
	return s.repair(p)
}

// Push returns the pushes to send after a Load, by replica id, for every replica
// that lacks objects.
func (s *Source) Push() map[string][]Push {
	out := map[string][]Push{}
	for id, p := range s.replicas {
		if p.known && p.digest != s.digest && p.syncedLoad > 0 && p.pushedLoad != s.loadNumber {
			out[id] = s.repair(p)
		}
	}
	return out
}

// repair returns pushes of the changes since the state that the replica is known
// to hold. After maxDeltaPushes pushes of the same changes without effect it
// returns all objects, at doubling intervals, because the replica's state is not
// the one assumed or it holds newer objects than this entry.
func (s *Source) repair(p *replicaState) []Push {
	if p.pushedLoad != s.loadNumber {
		p.pushes, p.repeatWait = 0, s.cfg.RepeatAfter
	}
	p.pushes++
	since := p.syncedLoad
	if p.pushes > maxDeltaPushes {
		since = 0
		p.repeatWait = min(2*p.repeatWait, maxRepeatWait)
	}
	p.pushedLoad, p.heartbeats = s.loadNumber, 0
	var objects []Object
	for _, o := range s.ordered() {
		if s.changed[o.Key] > since {
			objects = append(objects, o)
		}
	}
	return s.buildPushes(objects)
}

// ordered returns all objects, ordered by kind and name, and caches the list
// until the next change.
func (s *Source) ordered() []Object {
	if s.sortedObjects == nil {
		s.sortedObjects = s.sorted()
	}
	return s.sortedObjects
}

// buildPushes splits the objects into pushes of at most MaxBytes. Without
// objects it returns one push that carries only the revision and the digest.
func (s *Source) buildPushes(objects []Object) []Push {
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
		s.pushedBytes += uint64(p.Size())
	}
	return out
}
