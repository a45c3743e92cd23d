// Package shard assigns the shards of a region to its live entries.
//
// Rendezvous hashing proposes an owner for each shard. The ownership table in
// the key-value store is authoritative. Every change of owner raises the
// shard's generation, which fences all earlier owners.
//
// The package is pure: it takes events and clock readings and returns changes.
// It is not safe for concurrent use; one goroutine owns each value.
package shard

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"
)

// Instant is a reading of a process's monotonic clock since any fixed origin.
type Instant = time.Duration

// Count is the number of shards of a region.
const Count = 16

// Weight returns the rendezvous weight of an entry for a shard.
func Weight(shard uint32, entry string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(strconv.AppendUint(nil, uint64(shard), 10))
	return mix(h.Sum64())
}

// mix is the finalizer of SplitMix64. FNV alone leaves the high bits of short,
// similar names correlated, which skews the choice of the highest weight.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Rank returns the entries ordered by weight for a shard, highest first. Equal
// weights are ordered by name.
func Rank(shard uint32, entries []string) []string {
	type weighted struct {
		entry  string
		weight uint64
	}
	ws := make([]weighted, len(entries))
	for i, e := range entries {
		ws[i] = weighted{e, Weight(shard, e)}
	}
	slices.SortFunc(ws, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.entry, b.entry))
	})
	out := make([]string, len(ws))
	for i, w := range ws {
		out[i] = w.entry
	}
	return out
}

// Assign proposes an owner for each of count shards: the entry of highest
// weight that has not reached its share, count/len(entries) rounded up. Plain
// rendezvous hashing, without this limit, leaves an entry with up to twice its
// share at 16 shards. The result depends only on the set of entries. It is nil
// without entries.
func Assign(count int, entries []string) []string {
	set := slices.Clone(entries)
	slices.Sort(set)
	set = slices.Compact(set)
	if len(set) == 0 {
		return nil
	}
	limit := (count + len(set) - 1) / len(set)
	load := make(map[string]int, len(set))
	out := make([]string, count)
	for s := range out {
		for _, e := range Rank(uint32(s), set) {
			if load[e] < limit {
				out[s] = e
				load[e]++
				break
			}
		}
	}
	return out
}
