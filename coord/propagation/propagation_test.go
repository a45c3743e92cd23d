package propagation

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for the random runs unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// store simulates the key-value store. As in the entries, an object and the
// revision that counts its edit are written separately.
type store struct {
	objects  map[Key]Object
	revision uint64
	highest  map[Key]uint64 // highest version ever written
}

func (s *store) edit(k Key, size int, deleted bool) {
	v := s.highest[k] + 1
	s.highest[k] = v
	o := Object{Key: k, Version: v, Deleted: deleted}
	if !deleted {
		o.Data = make([]byte, size)
	}
	s.objects[k] = o
}

func (s *store) list() []Object {
	out := make([]Object, 0, len(s.objects))
	for _, o := range s.objects {
		out = append(out, o)
	}
	return out
}

// TestReplicasFollowStore guards against lost and reverted changes when pushes
// are lost, repeated and reordered, entries read at different times, paused
// entries and agents keep old copies, and objects are written before the
// revision counts them. After the faults end, every replica must hold the
// highest version ever written of each object.
func TestReplicasFollowStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kv := &store{objects: map[Key]Object{}, highest: map[Key]uint64{}}
		cfg := Config{MaxBytes: 1 << 10, RepeatAfter: 2}
		sources := []*Source{NewSource(cfg), NewSource(cfg), NewSource(cfg)}
		replicas := []*Replica{NewReplica(), NewReplica()}
		held := []map[Key]uint64{{}, {}}
		type delivery struct {
			to int
			p  Push
		}
		var inFlight []delivery
		apply := func(f delivery) {
			for _, o := range replicas[f.to].Apply(f.p) {
				if o.Version <= held[f.to][o.Key] {
					t.Fatalf("replica %d reverts %v from %d to %d", f.to, o.Key, held[f.to][o.Key], o.Version)
				}
				held[f.to][o.Key] = o.Version
			}
		}
		post := func(to int, ps []Push) {
			for _, p := range ps {
				if p.Size() > cfg.MaxBytes {
					t.Fatalf("push of %d bytes", p.Size())
				}
				inFlight = append(inFlight, delivery{to, p})
			}
		}
		heartbeat := func(s *Source, r int) {
			post(r, s.Report(fmt.Sprint(r), replicas[r].Revision(), replicas[r].Digest()))
		}
		key := func() Key { return Key{"template", fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))} }
		steps := rapid.IntRange(5, 60).Draw(t, "steps")
		for range steps {
			src := sources[rapid.IntRange(0, 2).Draw(t, "source")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				kv.edit(key(), rapid.IntRange(0, 700).Draw(t, "size"), rapid.Bool().Draw(t, "delete"))
			case 1:
				kv.revision++
			case 2:
				require.NoError(t, src.Load(kv.revision, kv.list()))
			case 3:
				for r := range replicas {
					post(r, src.Push()[fmt.Sprint(r)])
				}
			case 4:
				heartbeat(src, rapid.IntRange(0, 1).Draw(t, "replica"))
			default:
				if len(inFlight) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
				how := rapid.IntRange(0, 2).Draw(t, "how")
				if how > 0 {
					apply(inFlight[i])
				}
				if how < 2 {
					inFlight = append(inFlight[:i], inFlight[i+1:]...)
				}
			}
		}
		kv.revision++
		for _, s := range sources {
			require.NoError(t, s.Load(kv.revision, kv.list()))
		}
		for range 3 * maxRepeatWait {
			for r := range replicas {
				heartbeat(sources[0], r)
			}
			for _, f := range inFlight {
				apply(f)
			}
			inFlight = nil
		}
		for r, rep := range replicas {
			require.Equal(t, kv.revision, rep.Revision())
			require.Len(t, rep.Objects(), len(kv.highest))
			for k, v := range kv.highest {
				require.Equal(t, v, held[r][k])
			}
		}
	})
}

// TestUncountedEdit guards against an edit that never reaches an agent. An entry
// loads an object before the revision counts its edit. The agent has meanwhile
// reached the next revision through another entry, so a comparison of revisions
// alone wouldn't send it the object.
func TestUncountedEdit(t *testing.T) {
	key := Key{"template", "a"}
	v1, v2 := Object{Key: key, Version: 1}, Object{Key: key, Version: 2}
	first, second, agent := NewSource(Default()), NewSource(Default()), NewReplica()
	require.NoError(t, first.Load(2, []Object{v1})) // another edit was counted as 2
	for _, p := range first.Report("vm", 0, 0) {
		agent.Apply(p)
	}
	require.EqualValues(t, 2, agent.Revision())
	require.NoError(t, second.Load(1, []Object{v2})) // counted as 3 later
	require.NoError(t, second.Load(3, []Object{v2}))
	for _, p := range second.Report("vm", agent.Revision(), agent.Digest()) {
		agent.Apply(p)
	}
	got, ok := agent.Get(key)
	require.True(t, ok)
	require.EqualValues(t, 2, got.Version)
	require.EqualValues(t, 3, agent.Revision())
}

// TestPausedSource guards against a revision that decreases when a source loads
// a value read before a pause. It also checks that an oversized object is refused.
func TestPausedSource(t *testing.T) {
	s := NewSource(Default())
	require.NoError(t, s.Load(5, nil))
	require.ErrorIs(t, s.Load(4, nil), ErrRevision)
	require.EqualValues(t, 5, s.Revision())
	big := Object{Key: Key{"template", "big"}, Version: 1, Data: make([]byte, DefaultMaxBytes)}
	require.ErrorIs(t, s.Load(6, []Object{big}), ErrTooLarge)
}

// TestBytesPerEdit measures the bytes pushed per edit and agent, with 650 agents
// and 5% of the pushes lost, and compares them with a push of all objects.
func TestBytesPerEdit(t *testing.T) {
	const agents, objects, size, edits = 650, 200, 512, 20
	rng := rand.New(rand.NewPCG(1, 2))
	s := NewSource(Default())
	var all []Object
	whole := 0
	for i := range objects {
		all = append(all, Object{Key: Key{"template", fmt.Sprint(i)}, Version: 1, Data: make([]byte, size)})
		whole += all[i].Size()
	}
	require.NoError(t, s.Load(1, all))
	reps := make([]*Replica, agents)
	heartbeat := func(loss float64) {
		for i, r := range reps {
			for _, p := range s.Report(fmt.Sprint(i), r.Revision(), r.Digest()) {
				if rng.Float64() >= loss {
					r.Apply(p)
				}
			}
		}
	}
	for i := range reps {
		reps[i] = NewReplica()
	}
	heartbeat(0)
	heartbeat(0)
	before := s.Bytes()
	rounds := 0
	for e := range edits {
		all[e].Version++
		require.NoError(t, s.Load(uint64(e+2), all))
		for id, ps := range s.Push() {
			var i int
			_, _ = fmt.Sscan(id, &i)
			if rng.Float64() >= 0.05 {
				reps[i].Apply(ps[0])
			}
		}
		for n := 1; ; n++ {
			heartbeat(0.05)
			behind := 0
			for _, r := range reps {
				if r.Revision() < s.Revision() {
					behind++
				}
			}
			if behind == 0 {
				rounds = max(rounds, n)
				break
			}
			require.Less(t, n, 50)
		}
		heartbeat(0)
	}
	perEdit := float64(s.Bytes()-before) / agents / edits
	t.Logf("bytes per edit and agent: %.0f; whole set: %d; ratio %.4f; heartbeats until all agents hold it: %d", perEdit, whole, perEdit/float64(whole), rounds)
	require.Less(t, perEdit, float64(whole)/4)
}
