package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/structs"
)

// randomVMs returns VMs of several sizes with random loads.
func randomVMs(random *rand.Rand, n int) []*VM {
	vms := make([]*VM, n)
	for i := range vms {
		vms[i] = vm(fmt.Sprintf("vm-%03d", i), 16+8*random.Int64N(3))
		vms[i].Labels = []string{fmt.Sprint("rack-", i/8)}
		vms[i].Trouble = float64(random.IntN(3)) * random.Float64()
		for range random.IntN(4) {
			vms[i].Take(&Task{Key: StepKey{Job: fmt.Sprint(random.IntN(9))}, Need: cpu(1 + random.Int64N(4)), Lasting: true, Image: fmt.Sprint("feed-", random.IntN(5))}, 2000)
		}
		for j := range vms[i].Serving {
			vms[i].Serving[j].Level = random.Float64()
		}
	}
	MarkFillingOnly(vms)
	SetMedianTrouble(vms)
	return vms
}

func randomTask(random *rand.Rand) *Task {
	t := &Task{
		Key: StepKey{Job: fmt.Sprint(random.IntN(20))}, Pool: "pool", Count: 1 + random.IntN(60),
		Need: structs.Resources{MilliCPU: 500 + random.Int64N(6000), MemoryMB: 200 + random.Int64N(20_000)},
	}
	switch random.IntN(3) {
	case 0:
		t.Fills, t.Image, t.Forced = true, fmt.Sprint("render-", random.IntN(4)), random.IntN(2) == 0
	case 1:
		t.Lasting, t.Image = true, fmt.Sprint("feed-", random.IntN(5))
	default:
		t.MaxPerVM = random.IntN(3)
	}
	if random.IntN(4) == 0 {
		t.DataRack = fmt.Sprint("rack-", random.IntN(3))
	}
	return t
}

// Guards against a Ranking that chooses other VMs than the choice of one task after
// another, which scores every VM for each.
func TestRankingChoosesLikeOneTaskAtATime(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		interference := func(serving, filling string) float64 {
			return float64((len(serving)*7+int(filling[len(filling)-1])*3+int(serving[len(serving)-1]))%10) / 10
		}
		batch := randomVMs(rand.New(rand.NewPCG(seed, 2)), 30)
		single := randomVMs(rand.New(rand.NewPCG(seed, 2)), 30)
		for range 6 {
			task := randomTask(random)
			ranking := Rank(task, batch, interference)
			for range task.Count {
				want := Choose(task, single, interference)
				require.Equal(t, want, ranking.Take(100), "seed %d", seed)
				if want < 0 {
					break
				}
				single[want].Take(task, 100)
			}
		}
		require.Equal(t, single, batch)
	}
}

// Guards against a task that is passed over because a smaller one did not fit,
// although it fits itself.
func TestFailedCoversOnlyTasksThatFitNowhere(t *testing.T) {
	covered := 0
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 3))
		vms := randomVMs(random, 6)
		failed := Failed{}
		for range 40 {
			task := randomTask(random)
			i := Choose(task, vms, noInterference)
			if failed.Covers(task) {
				covered++
				require.Equal(t, -1, i, "seed %d", seed)
			}
			if i < 0 {
				failed.Add(task)
			} else {
				vms[i].Take(task, 100)
			}
		}
	}
	require.Positive(t, covered)
}
