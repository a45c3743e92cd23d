package quorum

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var base = time.Unix(1000, 0)

func at(seconds int) time.Time { return base.Add(time.Duration(seconds) * time.Second) }

// Guards against a bound that is earlier than the last contact of an earlier leader, however
// agents were divided between it and the next one.
func TestLastContactIsNoEarlierThanAnyContact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := []string{"a", "b", "c", "d", "e", "f", "g"}[:rapid.IntRange(1, 7).Draw(t, "agents")]
		set := New(agents)
		received, heard := map[string]time.Time{}, map[string]time.Time{}
		for _, agent := range agents {
			last := rapid.IntRange(0, 20).Draw(t, "received")
			if last > 0 { // the earlier leader knows of this frame or of one before
				received[agent] = at(rapid.IntRange(1, last).Draw(t, "known"))
			}
			if rapid.Bool().Draw(t, "follows") {
				heard[agent] = at(last + rapid.IntRange(0, 3).Draw(t, "restarted"))
			}
		}
		contact, inContact := set.Contact(received)
		last, known := set.LastContact(heard)
		if inContact && known {
			require.False(t, last.Before(contact), "contact at %v, bound %v", contact, last)
		}
	})
}

// Guards against a leader that counts as in contact without a quorum, and a bound by too
// few agents.
func TestQuorumAndBound(t *testing.T) {
	times := func(agents ...string) map[string]time.Time {
		m := map[string]time.Time{}
		for i, agent := range agents {
			m[agent] = at(i)
		}
		return m
	}
	for _, c := range []struct {
		agents             []string
		quorum, intersects int
	}{{[]string{"a"}, 1, 1}, {[]string{"a", "b"}, 2, 1}, {[]string{"a", "b", "c"}, 2, 2}, {[]string{"a", "b", "c", "d"}, 3, 2}, {strings.Split("abcdefghijk", ""), 7, 5}} {
		set := New(c.agents)
		_, ok := set.Contact(times(c.agents[:c.quorum-1]...))
		require.False(t, ok, "%v", set)
		contact, ok := set.Contact(times(c.agents...))
		require.True(t, ok)
		require.Equal(t, at(len(set)-c.quorum), contact)
		_, ok = set.LastContact(times(c.agents[:c.intersects-1]...))
		require.False(t, ok, "%v", set)
		last, ok := set.LastContact(times(append([]string{"other"}, c.agents...)...))
		require.True(t, ok)
		require.Equal(t, at(c.intersects), last)
	}
	_, ok := Set(nil).LastContact(times("a"))
	require.False(t, ok)
	require.Equal(t, 2, New([]string{"b", "a"}).Changes(New([]string{"a", "c"})))
}
