// Package propagation replicates versioned objects from entries to agents, so
// that an accepted change reaches every agent and is never reverted.
//
// A Source is an entry's copy, loaded from the key-value store; a Replica is an
// agent's copy. An object is replaced only by a higher version, and a deletion
// is a tombstone with a version. Agents report a digest over all versions in
// their heartbeats. It shows every difference between the copies, also one that
// the revision does not show, because an object may be written to the store
// before the revision counts its edit.
//
// The package is pure: it takes events and returns messages. It is not safe for
// concurrent use; one goroutine owns each value.
package propagation

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
)

// Key identifies an object.
type Key struct {
	Kind, Name string
}

// Object is one version of a replicated object.
type Object struct {
	Key
	// Version increases with each edit, including a deletion and a creation
	// after a deletion.
	Version uint64
	Data    []byte
	// Deleted marks a tombstone; Data is empty.
	Deleted bool
}

// frameOverhead is the maximum size of an object's encoding beyond its strings,
// in bytes: field tags and lengths, the version and the deletion flag.
const frameOverhead = 24

// Size returns an upper bound of the object's size in a message, in bytes.
func (o Object) Size() int { return len(o.Kind) + len(o.Name) + len(o.Data) + frameOverhead }

// Push is one message from a source to a replica.
type Push struct {
	// Revision and Digest describe the source's whole state. The replica adopts
	// the revision when its own digest is the same.
	Revision uint64
	Digest   uint64
	Objects  []Object
}

// Size returns an upper bound of the message's size, in bytes.
func (p Push) Size() int {
	n := frameOverhead
	for _, o := range p.Objects {
		n += o.Size()
	}
	return n
}

// Errors of this package.
var (
	// ErrTooLarge means that an object exceeds the maximum message size.
	ErrTooLarge = errors.New("propagation: object is too large")
	// ErrRevision means that a load would lower the revision. The source is
	// unchanged.
	ErrRevision = errors.New("propagation: revision would decrease")
)

// objectSet is a set of objects with its digest. The digest is the sum of the
// hashes of the objects' keys and versions, so replacing an object updates it in
// constant time.
type objectSet struct {
	objects map[Key]Object
	digest  uint64
}

func newObjectSet() objectSet { return objectSet{objects: map[Key]Object{}} }

// put stores the object if the set has no version of it or a lower one, and
// reports whether it did.
func (s *objectSet) put(o Object) bool {
	old, ok := s.objects[o.Key]
	if ok && o.Version <= old.Version {
		return false
	}
	if ok {
		s.digest -= hash(old)
	}
	s.digest += hash(o)
	o.Data = slices.Clone(o.Data)
	s.objects[o.Key] = o
	return true
}

// get returns the object, or ok false if it does not exist or is deleted.
func (s *objectSet) get(k Key) (Object, bool) {
	o, ok := s.objects[k]
	return o, ok && !o.Deleted
}

// sorted returns all objects, ordered by kind and name.
func (s *objectSet) sorted() []Object {
	out := make([]Object, 0, len(s.objects))
	for _, o := range s.objects {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// hash returns the object's contribution to a digest: FNV-1a over key and
// version, followed by a mixing step.
func hash(o Object) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d:%s%d:%s", len(o.Kind), o.Kind, len(o.Name), o.Name)
	_, _ = h.Write(strconv.AppendUint(nil, o.Version, 10))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
