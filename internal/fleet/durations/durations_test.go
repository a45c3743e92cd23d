package durations

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
)

// Guards against expectations that follow single runs or what has changed long ago, that
// mix classes, and against memory that grows with the images that callers choose.
func TestExpectation(t *testing.T) {
	m, class := New(), ClassOf("q", &fleet.Step{})
	require.Equal(t, time.Second, m.Expect(class, time.Second))
	m.Observe(class, 100*time.Millisecond, time.Second)
	require.Less(t, m.Ratio(class), 3.0, "one run")
	for _, ratio := range []float64{2, 0.5} {
		for range 500 {
			m.Observe(class, time.Second, time.Duration(ratio*float64(time.Second)))
		}
		require.InDelta(t, ratio, m.Ratio(class), 0.1)
	}
	other := ClassOf("other", &fleet.Step{})
	m.Observe(other, 0, 3*time.Second)
	require.Equal(t, 3*time.Second, m.Expect(other, 0))
	require.Equal(t, time.Second, m.Expect(other, time.Second))
	for i := range maxClasses {
		m.Observe(ClassOf("q", &fleet.Step{Image: fmt.Sprint(i)}), time.Second, 2*time.Second)
	}
	require.Len(t, m.classes, maxClasses)
	require.Equal(t, 1.0, m.Ratio(class), "the least recent one is dropped")
}
