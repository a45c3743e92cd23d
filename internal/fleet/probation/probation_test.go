package probation

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against hundreds of suspects that start a few at a time although executors survive
// their starts, and against large groups that go on crashing executors.
func TestGroupsFollowHowEarlierOnesHaveEnded(t *testing.T) {
	var g Groups
	require.Equal(t, 4, g.Limit(1, 300, 2))
	for _, want := range []int{8, 16, 16} {
		g.Survived(1, g.Limit(1, 300, 2))
		require.Equal(t, want, g.Limit(1, 300, 2))
	}
	require.Equal(t, 10, g.Limit(1, 20, 2), "each VM gets its share")
	g.Survived(1, 4) // one that started before
	require.Equal(t, 16, g.Limit(1, 300, 2))
	for _, want := range []int{8, 4, 4} {
		g.Crashed(1, g.Limit(1, 300, 2))
		require.Equal(t, want, g.Limit(1, 300, 2))
	}
}

// Guards against tasks that crash nothing and are given up, as they start together with one
// that does until the last crash, and against one group that sizes those of the other kind.
func TestSuspectsNearTheLimitStartAlone(t *testing.T) {
	var g Groups
	g.Survived(1, 16)
	require.Equal(t, 1, g.Limit(2, 300, 2))
	for range 5 {
		g.Survived(2, g.Limit(2, 300, 2))
		require.Equal(t, 1, g.Limit(3, 300, 2))
	}
	require.Equal(t, 4, g.Limit(2, 300, 2))
	g.Crashed(2, 1)
	require.Equal(t, 1, g.Limit(2, 300, 2))
	require.Equal(t, 16, g.Limit(1, 300, 2))
}

// Guards against suspects of one kind that wait as long as there are others.
func TestKindsTakeTurns(t *testing.T) {
	var g Groups
	var repeated []bool
	for range 4 {
		repeated = append(repeated, g.Next(true, true))
	}
	require.Equal(t, []bool{true, false, true, false}, repeated)
	require.False(t, g.Next(true, false))
	require.True(t, g.Next(false, true))
}

// Guards against more VMs that are closed to other tasks than a few suspects, or hundreds, need.
func TestVMsForSuspects(t *testing.T) {
	require.Equal(t, 1, VMs(300, 0, 1))
	require.Equal(t, 2, VMs(12, 0, 8))
	require.Equal(t, 2, VMs(4, 4, 8))
	require.Equal(t, 5, VMs(300, 0, 11))
	require.Equal(t, 5, VMs(0, 30, 11))
	require.Equal(t, 13, VMs(40, 0, 55))
	require.Equal(t, 27, VMs(300, 0, 55))
}
