package lead

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
)

const handoverMaxLease = 10 * time.Second

// termOf returns a leader whose term began the given time ago.
func termOf(before predecessor, age time.Duration) *Leader {
	l := newLeader(Options{MaxLease: handoverMaxLease}, 7, 1, startTime, before)
	l.began = startTime.Add(-age)
	return l
}

// Guards against a handover record that covers only the leases of the leader that
// steps down: leases of an earlier leader, which crashed, may last longer.
func TestHandoverCoversEarlierLeaders(t *testing.T) {
	longest := maxLeaseDuration(handoverMaxLease)
	young := termOf(predecessor{maxLease: longest}, time.Second).handover(startTime)
	require.GreaterOrEqual(t, time.Duration(young.LeaseMs)*time.Millisecond, longest-time.Second)
	require.False(t, young.Exclusive, "an earlier leader may still order starts")

	old := termOf(predecessor{maxLease: longest, exclusiveSince: 9}, time.Minute).handover(startTime)
	require.GreaterOrEqual(t, time.Duration(old.LeaseMs)*time.Millisecond, maxLeaseDuration(executorLease))
	require.Less(t, time.Duration(old.LeaseMs)*time.Millisecond, maxLeaseDuration(executorLease)+10*time.Millisecond)
	require.True(t, old.Exclusive)
}

// Guards against assuming short leases when the handover record is missing, cannot be
// decoded or is that of a leader that has not stepped down.
func TestPredecessorWithoutHandover(t *testing.T) {
	e := NewEntry(Options{MaxLease: handoverMaxLease, Log: log.New(io.Discard)}, nil, ConfigSource{})
	require.Equal(t, predecessor{maxLease: maxLeaseDuration(handoverMaxLease)}, e.predecessor(fleet.Item{}, 5))
	require.Equal(t, predecessor{maxLease: maxLeaseDuration(handoverMaxLease)}, e.predecessor(fleet.Item{Revision: 3, Value: []byte("?")}, 5))
	require.Equal(t, predecessor{maxLease: maxLeaseDuration(handoverMaxLease)}, e.predecessor(fleet.Item{Revision: 3, Value: noHandover}, 5))
	value, err := json.Marshal(termOf(predecessor{exclusiveSince: 2}, time.Minute).handover(startTime))
	require.NoError(t, err)
	got := e.predecessor(fleet.Item{Revision: 3, Value: value}, 5)
	require.Equal(t, uint64(5), got.exclusiveSince)
	require.Less(t, got.maxLease, 5*time.Second)
}
