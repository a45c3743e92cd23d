package shard

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func entryNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("entry-%d", i))
	}
	return out
}

// TestAssignAgainstNaive compares Assign with a naive search: for each shard in
// order, the entry of highest weight among all that are below the load limit.
func TestAssignAgainstNaive(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for n := 1; n < 20; n++ {
		entries := entryNames(n)
		rng.Shuffle(n, func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		load := map[string]int{}
		for s, got := range Assign(Count, entries) {
			best := ""
			for _, e := range entries {
				if load[e]*n < Count && load[e] < (Count+n-1)/n && (best == "" || Weight(uint32(s), e) > Weight(uint32(s), best)) {
					best = e
				}
			}
			require.Equal(t, best, got)
			load[best]++
		}
	}
	require.Nil(t, Assign(Count, nil))
}

// TestBalance measures the largest load and the number of moves when an entry
// leaves, for plain and for bounded rendezvous hashing.
func TestBalance(t *testing.T) {
	var plainMax, boundedMax, plainMoves, boundedMoves int
	for i := range 100 {
		entries := []string{fmt.Sprint("a", i), fmt.Sprint("b", i), fmt.Sprint("c", i), fmt.Sprint("d", i)}
		plain := func(es []string) []string {
			out := make([]string, Count)
			for s := range out {
				out[s] = Rank(uint32(s), es)[0]
			}
			return out
		}
		maxLoad := func(a []string) int {
			load := map[string]int{}
			for _, e := range a {
				load[e]++
			}
			best := 0
			for _, n := range load {
				best = max(best, n)
			}
			return best
		}
		moves := func(a, b []string) (n int) {
			for s := range a {
				if a[s] != b[s] {
					n++
				}
			}
			return n
		}
		plainMax, boundedMax = plainMax+maxLoad(plain(entries)), boundedMax+maxLoad(Assign(Count, entries))
		plainMoves += moves(plain(entries), plain(entries[:3]))
		boundedMoves += moves(Assign(Count, entries), Assign(Count, entries[:3]))
		require.LessOrEqual(t, maxLoad(Assign(Count, entries)), 4)
	}
	t.Logf("over 100 sets of 4 entries: largest load %d bounded, %d plain; moves when one leaves %d bounded, %d plain", boundedMax, plainMax, boundedMoves, plainMoves)
}

// TestPlannersSettle guards against ownership that keeps changing: three
// planners reach the assignment and then change nothing although a fourth entry
// repeatedly appears and disappears, and no live owner loses a shard after an
// outage of the store.
func TestPlannersSettle(t *testing.T) {
	entries := entryNames(3)
	ps := map[string]*Planner{}
	for _, e := range entries {
		ps[e] = NewPlanner(Default(), e, 0)
	}
	table, changes, seq := NewTable(Count), 0, uint64(0)
	round := func(now time.Duration, live []string) {
		for _, e := range entries {
			ps[e].SetLive(now, live)
			if plan := ps[e].Plan(now, table); len(plan) > 0 {
				seq++
				next, err := table.Apply(Stamp{e, seq}, plan)
				require.NoError(t, err)
				table, changes = next, changes+len(plan)
			}
		}
	}
	now := time.Duration(0)
	for ; now < 5*time.Minute; now += time.Second {
		live := entries
		if (now/time.Second)%20 >= 15 {
			live = append(slices.Clone(entries), "flapping")
		}
		round(now, live)
	}
	require.Equal(t, Count, changes, "an entry that is never stable receives no shard")
	now += time.Minute // outage: all leases expired, entries register one by one
	for i := range 10 {
		round(now+time.Duration(i)*time.Second, entries[:1+i/4])
	}
	require.Equal(t, Count, changes, "no takeover within the grace period")
	for i := range 60 {
		round(now+time.Duration(30+i)*time.Second, entries[:2])
	}
	require.Empty(t, table.Owned(entries[2]))
	for s, o := range table.Shards {
		require.Equal(t, Assign(Count, entries[:2])[s], o.Owner)
	}
}

// TestValues guards against fields lost in encoding, invalid values accepted by
// the decoders, and wrong outcomes of a read-back.
func TestValues(t *testing.T) {
	mine := Stamp{"e", 4}
	require.Equal(t, Applied, Resolve(mine, 8, mine, 7))
	require.Equal(t, Pending, Resolve(Stamp{"x", 1}, 7, mine, 7))
	require.Equal(t, Lost, Resolve(Stamp{"x", 2}, 8, mine, 7))
	table, err := NewTable(2).Apply(mine, []Change{{Shard: 1, To: "e", Generation: 1}})
	require.NoError(t, err)
	_, err = table.Apply(mine, []Change{{Shard: 1, To: "f", Generation: 1}})
	require.ErrorIs(t, err, ErrInvalid)
	b, err := table.Encode()
	require.NoError(t, err)
	back, err := DecodeTable(b, 2)
	require.NoError(t, err)
	require.Equal(t, table, back)
	_, err = DecodeTable(b, 3)
	require.ErrorIs(t, err, ErrInvalid)

	m, changed := Members{}.With(mine, []string{"b", "a"}, 0)
	require.True(t, changed)
	_, changed = m.With(mine, []string{"a", "b"}, 0)
	require.False(t, changed)
	m, _ = m.With(mine, []string{"a"}, 0)
	b, err = m.Encode()
	require.NoError(t, err)
	m, err = DecodeMembers(b)
	require.NoError(t, err)
	lists, ok := m.Since(1)
	require.True(t, ok)
	require.Len(t, lists, 2)
	m, _ = m.With(mine, []string{"c"}, 3)
	_, ok = m.Since(2)
	require.False(t, ok, "lists below the floor are dropped")
	_, err = DecodeMembers([]byte(`{"lists":[{"epoch":2},{"epoch":4}]}`))
	require.ErrorIs(t, err, ErrInvalid)
}

// TestHandover guards against a change that is written to the table before the
// shard's log is flushed.
func TestHandover(t *testing.T) {
	h := NewHandover()
	moves := []Change{{Shard: 3, From: "a", To: "b", Generation: 2, Kind: Leave}, {Shard: 5, Kind: TakeOver}}
	require.Equal(t, []uint32{3}, h.Begin(moves))
	require.True(t, h.Draining(3))
	require.Empty(t, h.Ready())
	h.Flushed(3)
	require.Equal(t, moves[:1], h.Ready())
	table := NewTable(8)
	table.Shards[3] = Ownership{"b", 2}
	h.Reconcile(table)
	require.False(t, h.Draining(3))
}
