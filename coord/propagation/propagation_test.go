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

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// store stands for the key-value store: objects and the counted revision are
// written separately, as the entries do.
type store struct {
	objects  map[Key]Object
	revision uint64
	naive    map[Key]uint64 // highest version ever written
}

func (s *store) edit(k Key, size int, deleted bool) {
	v := s.naive[k] + 1
	s.naive[k] = v
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

// TestReplicasFollowStore guards against lost and reverted changes: pushes are
// lost, repeated and reordered, entries read at different times, a paused entry
// and agent keep old copies, and objects are written before they are counted.
// After the faults end, every replica equals the naive map of highest versions.
func TestReplicasFollowStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		st := &store{objects: map[Key]Object{}, naive: map[Key]uint64{}}
		cfg := Config{MaxBytes: 1 << 10, Repeat: 2}
		sources := []*Source{NewSource(cfg), NewSource(cfg), NewSource(cfg)}
		replicas := []*Replica{NewReplica(), NewReplica()}
		held := []map[Key]uint64{{}, {}}
		type flight struct {
			to int
			p  Push
		}
		var net []flight
		apply := func(f flight) {
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
				net = append(net, flight{to, p})
			}
		}
		beat := func(s *Source, r int) {
			post(r, s.Report(fmt.Sprint(r), replicas[r].Revision(), replicas[r].Digest()))
		}
		key := func() Key { return Key{"template", fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))} }
		steps := rapid.IntRange(5, 60).Draw(t, "steps")
		for range steps {
			src := sources[rapid.IntRange(0, 2).Draw(t, "source")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				st.edit(key(), rapid.IntRange(0, 700).Draw(t, "size"), rapid.Bool().Draw(t, "delete"))
			case 1:
				st.revision++
			case 2:
				require.NoError(t, src.Load(st.revision, st.list()))
			case 3:
				for r := range replicas {
					post(r, src.Push()[fmt.Sprint(r)])
				}
			case 4:
				beat(src, rapid.IntRange(0, 1).Draw(t, "replica"))
			default:
				if len(net) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(net)-1).Draw(t, "message")
				how := rapid.IntRange(0, 2).Draw(t, "how")
				if how > 0 {
					apply(net[i])
				}
				if how < 2 {
					net = append(net[:i], net[i+1:]...)
				}
			}
		}
		st.revision++
		for _, s := range sources {
			require.NoError(t, s.Load(st.revision, st.list()))
		}
		for range 3 * maxPatience {
			for r := range replicas {
				beat(sources[0], r)
			}
			for _, f := range net {
				apply(f)
			}
			net = nil
		}
		for r, rep := range replicas {
			require.Equal(t, st.revision, rep.Revision())
			require.Len(t, rep.Objects(), len(st.naive))
			for k, v := range st.naive {
				require.Equal(t, v, held[r][k])
			}
		}
	})
}

// TestUncountedEdit guards against an edit that is lost forever: an entry loads
// an object before its edit is counted, and the agent, already at the next
// revision through another entry, would not be sent it by revision alone.
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

// TestPausedSource guards against a revision that decreases after a pause.
func TestPausedSource(t *testing.T) {
	s := NewSource(Default())
	require.NoError(t, s.Load(5, nil))
	require.ErrorIs(t, s.Load(4, nil), ErrRevision)
	require.EqualValues(t, 5, s.Revision())
	big := Object{Key: Key{"template", "big"}, Version: 1, Data: make([]byte, DefaultMaxBytes)}
	require.ErrorIs(t, s.Load(6, []Object{big}), ErrTooLarge)
}

// TestBytesPerEdit counts the bytes of one edit at the future scale, against
// pushing the whole set, with 5% of the pushes lost.
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
	beat := func(loss float64) {
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
	beat(0)
	beat(0)
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
			beat(0.05)
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
		beat(0)
	}
	per := float64(s.Bytes()-before) / agents / edits
	t.Logf("bytes per edit and agent: %.0f; whole set: %d; ratio %.4f; heartbeats until all agents hold it: %d", per, whole, per/float64(whole), rounds)
	require.Less(t, per, float64(whole)/4)
}
