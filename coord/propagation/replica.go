package propagation

// Replica is an agent's copy of the objects.
type Replica struct {
	set
	revision uint64
}

// NewReplica returns an empty replica.
func NewReplica() *Replica { return &Replica{set: newSet()} }

// Apply stores the objects of a push that are newer and returns them. Repeated,
// reordered and old pushes change nothing further.
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

// Revision is the highest revision that the replica has held completely.
func (r *Replica) Revision() uint64 { return r.revision }

// Digest describes the versions of all objects. Heartbeats carry it.
func (r *Replica) Digest() uint64 { return r.digest }

// Objects lists all objects with tombstones, ordered by kind and name.
func (r *Replica) Objects() []Object { return r.sorted() }
