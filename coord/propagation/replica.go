package propagation

// Replica is an agent's copy of the objects.
type Replica struct {
	objectSet
	revision uint64
}

// NewReplica returns an empty replica.
func NewReplica() *Replica { return &Replica{objectSet: newObjectSet()} }

// Apply stores those objects of a push that are newer than the replica's, and
// returns them. Repeated, reordered and old pushes have no further effect.
func (r *Replica) Apply(p Push) []Object {
	var changed []Object
	for _, o := range p.Objects {
		if r.put(o) {
			changed = append(changed, o)
		}
	}
	if r.digest == p.Digest {
		r.revision = max(r.revision, p.Revision)
	}
	return changed
}

// Get returns the object, or ok false if it does not exist or is deleted.
func (r *Replica) Get(k Key) (Object, bool) { return r.get(k) }

// Revision returns the highest revision that the replica has held completely.
func (r *Replica) Revision() uint64 { return r.revision }

// Digest returns the digest over the versions of all objects, which the agent
// reports in its heartbeats.
func (r *Replica) Digest() uint64 { return r.digest }

// Objects returns all objects, including tombstones, ordered by kind and name.
func (r *Replica) Objects() []Object { return r.sorted() }
