package soak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	fleetlink "vanillalock.example/vanillalock/internal/fleet/link"
)

var (
	cutSeeds = flag.Int("soak.cut.seeds", 0, "number of further seeds with cuts of the leader, from soak.first on")
	cutSize  = flag.String("soak.size", "3,6,9", "failure domains, entries and VMs of fleets with cuts")
)

// cutSeedsAlways run every time: each of them has found violations in all its plays.
var cutSeedsAlways = []uint64{5, 6}

// Times and numbers of one seed with cuts.
const (
	cutCount      = 2
	minCutWorlds  = 2 // at a time
	minCutTime    = 9 * time.Second
	maxCutTime    = 11 * time.Second
	beforeCut     = 4 * time.Second // of traffic
	betweenCuts   = 5 * time.Second
	maxStoreDelay = 2 * time.Second // from the cut of the sessions to that of the store
	maxKeyDelay   = time.Second     // from then on until the key is removed where it does not lapse
	cutCallers    = 5               // for six entries
	maxKeptVMs    = 2
	leaderChecks  = 100 * time.Millisecond
)

// TestSoakCutLeaders guards against two leaders that start the same tasks while the first
// one is cut off from the store, the other entries and most agents.
func TestSoakCutLeaders(t *testing.T) {
	playSeeds(t, withSeeds(cutSeedsAlways, *cutSeeds), max(*parallel, minCutWorlds), runCutSeed)
}

// runCutSeed runs one fleet whose leader is cut off repeatedly.
func runCutSeed(t *testing.T, binary string, slot int, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	size := fleetSize{links: true}
	_, err := fmt.Sscanf(*cutSize, "%d,%d,%d", &size.domains, &size.entries, &size.vms)
	require.NoError(t, err, "-soak.size")
	f := newTestFleet(ctx, t, binary, slot, seed, size)
	t.Cleanup(cancel)
	stopSending := f.sendLongTasks(seed, cutCallers*size.entries/6)
	fleet.Sleep(ctx, beforeCut)
	for range cutCount {
		f.inject(cutOfLeader, rand.New(rand.NewPCG(f.rng.Uint64(), 6)), 0)
		fleet.Sleep(ctx, betweenCuts)
	}
	f.clearFaults()
	stopSending()
	f.conclude(f.settle())
}

var cutOfLeader = disruption{name: "cut of the leader", inject: func(f *testFleet, rng *rand.Rand, _ time.Duration) { f.cutLeader(rng) }}

// sendLongTasks waits for the start of the fleet and starts callers that submit jobs with
// tasks of 0.5 to 6 s until the returned function is called.
func (f *testFleet) sendLongTasks(seed uint64, count int) context.CancelFunc {
	b := f.newBalancer()
	fleet.Sleep(f.ctx, startTime)
	sending, stop := context.WithCancel(f.ctx)
	for i := range count {
		c := f.newCaller(b, seed*10+uint64(i))
		c.longTasks = true
		lasting := 0
		if i == 0 {
			lasting = lastingJobs
		}
		go c.run(sending, lasting)
	}
	recaller := f.newCaller(b, seed*10+uint64(count))
	recaller.longTasks = true
	go recaller.recall(sending)
	return stop
}

// leader returns the entry that leads according to the store, waiting for one to be
// elected.
func (f *testFleet) leader() *process {
	for f.ctx.Err() == nil {
		item, err := f.store.Get(f.ctx, fleet.LeaderKey)
		var record fleetlink.LeaderRecord
		if err == nil && json.Unmarshal(item.Value, &record) == nil {
			if i := slices.IndexFunc(f.entries, func(p *process) bool { return p.node == record.Node }); i >= 0 {
				return f.entries[i]
			}
		}
		fleet.Sleep(f.ctx, leaderChecks)
	}
	return f.entries[0]
}

// wayLost is the direction in which a cut between two sides loses bytes.
type wayLost int

const (
	bothLost wayLost = iota
	outLost          // from the side that is cut off
	inLost
)

// cutKind is the way in which a cut of some links is carried out.
type cutKind struct {
	name string
	way  wayLost
	// open connections go on, or lose all further bytes. Otherwise they carry what was lost
	// after the end of the cut.
	openGoOn, openSilenced bool
	refusing               bool // new connections are reset instead of unanswered
}

var cutKinds = []cutKind{
	{name: "both ways"},
	{name: "both ways, new connections refused", refusing: true},
	{name: "open ones silenced, new ones refused", openSilenced: true, refusing: true},
	{name: "out", way: outLost},
	{name: "in", way: inLost},
	{name: "new ones refused, open ones go on", openGoOn: true, refusing: true},
}

// fault returns the fault of a link whose connections are opened from the side that is cut
// off, or to it.
func (k cutKind) fault(opensFromInside bool) linkFault {
	fault := linkFault{silenced: k.openSilenced, refusing: k.refusing}
	if k.openGoOn {
		return fault
	}
	out, in := up, down
	if !opensFromInside {
		out, in = down, up
	}
	fault.held[out] = k.way != inLost
	fault.held[in] = k.way != outLost
	return fault
}

// cutLeader cuts the entries in the failure domain of the leader off from the store, the
// other entries and most agents. The agents that stay with the leader may be out of reach
// of the other entries. The leader's key is removed at once, soon or not at all.
func (f *testFleet) cutLeader(rng *rand.Rand) {
	leader := f.leader()
	// Agents that hear a leader which does not hear them any more carry out its last starts.
	both, in := cutKinds[0], cutKinds[4]
	toStore, toEntries, toAgents := pick(rng, slices.Concat(cutKinds, []cutKind{both, both})), pick(rng, cutKinds), pick(rng, slices.Concat(cutKinds, []cutKind{both, both, in}))
	if rng.IntN(2) == 0 {
		toStore, toEntries = toAgents, toAgents
	}
	kept := rng.Perm(len(f.agents))[:1+rng.IntN(maxKeptVMs)]
	keptCutOff, length := rng.IntN(4) > 0, minCutTime+time.Duration(rng.Int64N(int64(maxCutTime-minCutTime)))
	storeDelay := pick(rng, []time.Duration{0, time.Duration(rng.Int64N(int64(maxStoreDelay)))})
	keyDelay := pick(rng, []time.Duration{0, 0, time.Duration(rng.Int64N(int64(maxKeyDelay))), -1})
	var cut []*proxy
	set := func(p *proxy, fault linkFault) {
		p.setLink(fault)
		cut = append(cut, p)
	}
	began := time.Now()
	for _, inside := range f.entries {
		if inside.domain != leader.domain {
			continue
		}
		for _, outside := range f.entries {
			if outside.domain != leader.domain {
				set(f.links[link{inside.node, outside.node}], toEntries.fault(true))
				set(f.links[link{outside.node, inside.node}], toEntries.fault(false))
			}
		}
		for i, agent := range f.agents {
			if !slices.Contains(kept, i) {
				set(f.links[link{inside.node, agent.node}], toAgents.fault(true))
			}
		}
	}
	var names []string
	for _, i := range kept {
		names = append(names, f.agents[i].node)
		for _, outside := range f.entries {
			if keptCutOff && outside.domain != leader.domain {
				set(f.links[link{outside.node, f.agents[i].node}], both.fault(true))
			}
		}
	}
	fleet.Sleep(f.ctx, storeDelay)
	for _, inside := range f.entries {
		if inside.domain == leader.domain {
			set(inside.store, toStore.fault(true))
		}
	}
	f.t.Logf("%s domain %d of leader %s cut off for %v: store after %v: %s; entries: %s; agents: %s; stay: %v, out of reach for others: %t; key removed after %v",
		began.Format("15:04:05.000"), leader.domain, leader.node, length.Round(time.Millisecond), storeDelay.Round(time.Millisecond), toStore.name, toEntries.name, toAgents.name, names, keptCutOff, keyDelay)
	if keyDelay >= 0 {
		fleet.Sleep(f.ctx, keyDelay)
		f.store.Remove(fleet.LeaderKey)
	}
	fleet.Sleep(f.ctx, length-time.Since(began))
	for _, p := range cut {
		p.setLink(linkFault{})
	}
	f.t.Logf("%s cut ended", time.Now().Format("15:04:05.000"))
}
