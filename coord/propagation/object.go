// Package propagation brings versioned objects from entries to agents so that
// an accepted change reaches everyone and never reverts.
//
// A Source is an entry's copy, loaded from the key-value store; a Replica is an
// agent's copy. An object is replaced only by a higher version, and a deletion
// is a tombstone with a version. A digest over all versions, reported in
// heartbeats, finds every difference between the copies, also one that the
// revision does not show: an object may be written before its edit is counted.
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

// Key names an object.
type Key struct {
	Kind, Name string
}

// Object is one version of an object.
type Object struct {
	Key
	// Version rises with each edit, also with a deletion and a creation after it.
	Version uint64
	Data    []byte
	// Deleted marks a tombstone; Data is empty.
	Deleted bool
}

// overhead is the size of an object's frame beyond its strings, at most: field
// tags and lengths, the version and the deletion flag.
const overhead = 24

// Size is the upper bound of the object's size in a message, in bytes.
func (o Object) Size() int { return len(o.Kind) + len(o.Name) + len(o.Data) + overhead }

// Push is one message from a source to a replica.
type Push struct {
	// Revision and Digest describe the source's whole state. The replica takes
	// the revision over when its own digest is the same.
	Revision uint64
	Digest   uint64
	Objects  []Object
}

// Size is the upper bound of the message's size, in bytes.
func (p Push) Size() int {
	n := overhead
	for _, o := range p.Objects {
		n += o.Size()
	}
	return n
}

// Errors of this package.
var (
	// ErrTooLarge means an object exceeds the message size.
	ErrTooLarge = errors.New("propagation: object is too large")
	// ErrRevision means a load would lower the revision. Nothing changed.
	ErrRevision = errors.New("propagation: revision would decrease")
)

// set is a set of objects with its digest: the sum of the hashes of the
// objects' names and versions, so it changes in constant time per object.
type set struct {
	objects map[Key]Object
	digest  uint64
}

func newSet() set { return set{objects: map[Key]Object{}} }

// put stores the object if its version is higher.
func (s *set) put(o Object) bool {
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
func (s *set) get(k Key) (Object, bool) {
	o, ok := s.objects[k]
	return o, ok && !o.Deleted
}

func (s *set) sorted() []Object {
	out := make([]Object, 0, len(s.objects))
	for _, o := range s.objects {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

func hash(o Object) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d:%s%d:%s", len(o.Kind), o.Kind, len(o.Name), o.Name)
	_, _ = h.Write(strconv.AppendUint(nil, o.Version, 10))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
