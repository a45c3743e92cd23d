package near

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against waits that cost more than they gain, that make a job miss its objective,
// or for room that others get first or that never comes.
func TestWait(t *testing.T) {
	const none = -1 // no objective
	for name, c := range map[string]struct {
		far, waited, slack, free time.Duration // in ms; far: in percent; free: when the rack has room
		ahead                    int
		scarce, waits            bool
	}{
		"soon":                   {200, 0, none, 400, 0, false, true},
		"too uncertain":          {200, 0, none, 700, 0, false, false},
		"others lack room":       {200, 0, none, 700, 0, true, true},
		"longer than the gain":   {200, 0, none, 1100, 0, true, false},
		"others get it":          {200, 0, none, 100, 2, true, false},
		"the second is soon":     {200, 0, none, 100, 1, false, true},
		"not slower elsewhere":   {100, 0, none, 100, 0, true, false},
		"has waited":             {200, 800, none, 300, 0, true, false},
		"next decision too late": {200, 950, none, 10, 0, false, false},
		"late after a vain wait": {200, 0, 1200, 300, 0, true, false},
		"late elsewhere":         {200, 0, 400, 300, 0, false, true},
		"late after the wait":    {200, 0, 200, 300, 0, true, false},
		"late in any case":       {200, 0, -1000, 300, 0, false, true},
	} {
		task := Task{
			Duration: time.Second, FarFactor: float64(c.far) / 100, Waited: c.waited * time.Millisecond, Recheck: 100 * time.Millisecond,
			Slack: c.slack * time.Millisecond, HasObjective: c.slack != none,
		}
		_, waits := Wait(task, Rack{Frees: []time.Duration{c.free * time.Millisecond, c.free * 2 * time.Millisecond}, Ahead: c.ahead, Scarce: c.scarce})
		require.Equal(t, c.waits, waits, name)
	}
}

// Guards against jobs without a run for 3 s beside room (LOST): tasks that gain much more than
// that by the rack with their data would all wait for it.
func TestWaitIsShortAlsoForALongGain(t *testing.T) {
	task := Task{Duration: 8 * time.Second, FarFactor: 2, Recheck: 100 * time.Millisecond}
	for _, scarce := range []bool{false, true} {
		for waited := time.Duration(0); waited < 4*time.Second; waited += task.Recheck {
			task.Waited = waited
			if _, waits := Wait(task, Rack{Frees: []time.Duration{100 * time.Millisecond}, Scarce: scarce}); !waits {
				break
			}
		}
		require.LessOrEqual(t, task.Waited, 2*time.Second)
		task.Waited = 0
		_, waits := Wait(task, Rack{Frees: []time.Duration{3 * time.Second}, Scarce: scarce})
		require.False(t, waits)
	}
}
