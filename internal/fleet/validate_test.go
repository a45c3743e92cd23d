package fleet

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a job that ends the leader, and each leader after it, by an index out
// of range or by the memory that it takes.
func TestJobsThatNoLeaderCanHold(t *testing.T) {
	valid := func() *Job {
		return &Job{ID: "job", Steps: []Step{{Count: 2}, {Count: 3, After: []int{0}}}, Repeats: 10}
	}
	require.NoError(t, valid().Validate())
	for what, change := range map[string]func(*Job){
		"no steps":              func(j *Job) { j.Steps = nil },
		"many steps":            func(j *Job) { j.Steps = make([]Step, MaxSteps+1) },
		"no tasks":              func(j *Job) { j.Steps[0].Count = 0 },
		"negative tasks":        func(j *Job) { j.Steps[0].Count = -1 },
		"later step":            func(j *Job) { j.Steps[0].After = []int{1} },
		"negative step":         func(j *Job) { j.Steps[1].After = []int{-1} },
		"itself":                func(j *Job) { j.Steps[1].After = []int{1} },
		"many tasks":            func(j *Job) { j.Repeats = MaxTasksOfAJob },
		"number that overflows": func(j *Job) { j.Repeats, j.Steps = math.MaxInt/4+1, []Step{{Count: 4}} },
		"negative repeats":      func(j *Job) { j.Repeats = -1 },
		"negative need":         func(j *Job) { j.Steps[0].Need.MemoryMB = -1 },
		"large spec":            func(j *Job) { j.Spec = string(make([]byte, MaxSpecBytes+1)) },
	} {
		j := valid()
		change(j)
		require.Error(t, j.Validate(), what)
	}
}
