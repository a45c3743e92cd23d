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

func termOf(before predecessor, age time.Duration) *Leader {
	l := newLeader(Options{MaxLease: handoverMaxLease}, 7, 1, begin, before)
	l.began = begin.Add(-age)
	return l
}

// Guards against a leader that counts on shorter leases than an earlier one may
// have given: one that has stepped down says nothing of those before it that did not.
func TestHandoverCoversEarlierLeaders(t *testing.T) {
	longest := lasting(handoverMaxLease)
	young := termOf(predecessor{lease: longest}, time.Second).handover(begin)
	require.GreaterOrEqual(t, time.Duration(young.LeaseMs)*time.Millisecond, longest-time.Second)
	require.False(t, young.Alone, "an earlier leader may still give starts")

	old := termOf(predecessor{lease: longest, exclusive: 9}, time.Minute).handover(begin)
	require.GreaterOrEqual(t, time.Duration(old.LeaseMs)*time.Millisecond, lasting(executorLease))
	require.Less(t, time.Duration(old.LeaseMs)*time.Millisecond, lasting(executorLease)+10*time.Millisecond)
	require.True(t, old.Alone)
}

// Guards against trust in a record that is missing or cannot be read.
func TestPredecessorWithoutHandover(t *testing.T) {
	e := NewEntry(Options{MaxLease: handoverMaxLease, Log: log.New(io.Discard)}, nil, ConfigSource{})
	require.Equal(t, predecessor{lease: lasting(handoverMaxLease)}, e.predecessor(fleet.Item{}, 5))
	require.Equal(t, predecessor{lease: lasting(handoverMaxLease)}, e.predecessor(fleet.Item{Revision: 3, Value: []byte("?")}, 5))
	require.Equal(t, predecessor{lease: lasting(handoverMaxLease)}, e.predecessor(fleet.Item{Revision: 3, Value: noHandover}, 5))
	value, err := json.Marshal(termOf(predecessor{exclusive: 2}, time.Minute).handover(begin))
	require.NoError(t, err)
	got := e.predecessor(fleet.Item{Revision: 3, Value: value}, 5)
	require.Equal(t, uint64(5), got.exclusive)
	require.Less(t, got.lease, 5*time.Second)
}
