package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testBudget has room for nine small connections.
func testBudget() *Budget {
	const each = connectionCost + smallBytes
	return NewBudget(9*each, [groups]int{Main: 20, Ready: 2})
}

func open(t *testing.T, b *Budget, g Group, now time.Duration) *Account {
	t.Helper()
	a, victims := b.Open(g, now)
	require.NotNil(t, a)
	require.Empty(t, victims)
	return a
}

func receive(t *testing.T, b *Budget, a *Account, bytes int64, now time.Duration) {
	t.Helper()
	victims, ok := b.Receive(a, bytes, now)
	require.True(t, ok)
	require.Empty(t, victims)
}

// Guards against closing a connection that makes progress, or whose request is being
// served, while another one that holds more has stalled for longer.
func TestLongestStalledIsClosedFirst(t *testing.T) {
	b := testBudget()
	var all []*Account
	for i := range 3 {
		a := open(t, b, Main, 0)
		receive(t, b, a, 3*smallBytes, time.Duration(i)*time.Second)
		all = append(all, a)
	}
	require.True(t, b.Serve(all[0]))
	slow := open(t, b, Main, 0)
	receive(t, b, slow, 100, 0)
	asker := open(t, b, Main, 4*time.Second)
	victims, ok := b.Receive(asker, 2*smallBytes, 4*time.Second)
	require.True(t, ok)
	require.Equal(t, []*Account{all[1]}, victims)
	_, ok = b.Receive(all[1], 1, 4*time.Second)
	require.False(t, ok, "it is closed")
	require.False(t, b.Serve(all[1]))
	require.False(t, slow.closed)
}

// Guards against a crowd that makes progress and takes the room of requests that began
// before it, or of small ones that come later.
func TestLatestLargeRequestGivesWay(t *testing.T) {
	b := testBudget()
	early := open(t, b, Main, 0)
	receive(t, b, early, smallBytes*3/2, 0)
	var crowd []*Account
	now := time.Second
	for range 3 {
		a := open(t, b, Main, now)
		receive(t, b, a, 5*smallBytes/2, now)
		crowd = append(crowd, a)
		now += 100 * time.Millisecond
	}
	_, ok := b.Receive(crowd[2], 5*smallBytes, now)
	require.False(t, ok, "the latest one is refused itself")
	receive(t, b, open(t, b, Main, now), smallBytes, now) // large requests leave room for it
	later := open(t, b, Main, now)
	victims, ok := b.Receive(later, smallBytes/2, now)
	require.True(t, ok)
	require.Equal(t, []*Account{crowd[2]}, victims)
	require.False(t, early.closed)
}

// Guards against a single legal request that is refused because the budget of a small VM
// is below its cost.
func TestSingleRequestIsServedWhateverItsSize(t *testing.T) {
	b := testBudget()
	a := open(t, b, Main, 0)
	for range 4 {
		receive(t, b, a, 10*smallBytes, 0)
	}
	require.True(t, b.Serve(a))
	b.Finish(a, true, 0)
	require.EqualValues(t, connectionCost, b.held)
	b.Close(a)
	b.Close(a)
	require.Zero(t, b.held)
}

// Guards against a crowd of connections at one address that keeps clients from another, and
// against closing one that is used for one that is not.
func TestConnectionsOfAGroup(t *testing.T) {
	b := testBudget()
	served, waiting := open(t, b, Ready, 0), open(t, b, Ready, 0)
	require.True(t, b.Serve(served))
	none, _ := b.Open(Ready, newStallTime-1)
	require.Nil(t, none, "nothing has stalled")
	open(t, b, Main, 0)
	_, victims := b.Open(Ready, newStallTime)
	require.Equal(t, []*Account{waiting}, victims)
	b.Finish(served, true, newStallTime)
	_, victims = b.Open(Ready, newStallTime+1)
	require.Equal(t, []*Account{served}, victims, "an idle one is closed last")
}

// Guards against accounts that do not add up, after whatever sequence of events, and
// against closing a connection whose request is being served.
func TestAccountsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := testBudget()
		var all []*Account
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
			var victims []*Account
			what := rapid.IntRange(0, 5).Draw(t, "event")
			if what == 0 || len(all) == 0 {
				var a *Account
				if a, victims = b.Open(Group(rapid.IntRange(0, 1).Draw(t, "group")), now); a != nil {
					all = append(all, a)
				}
			} else {
				a := rapid.SampledFrom(all).Draw(t, "account")
				switch what {
				case 1, 2:
					victims, _ = b.Receive(a, rapid.Int64Range(0, 4*smallBytes).Draw(t, "bytes"), now)
				case 3:
					b.Serve(a)
				case 4:
					if a.phase == serving {
						b.Finish(a, true, now)
					}
				case 5:
					b.Close(a)
				}
			}
			for _, v := range victims {
				require.NotEqual(t, serving, v.phase)
			}
			held, connections := int64(0), 0
			for a := range b.accounts {
				held += a.held
				connections++
			}
			require.Equal(t, held, b.held)
			require.LessOrEqual(t, b.held, b.bytes)
			require.Equal(t, connections, b.open[Main]+b.open[Ready])
		}
	})
}

// Guards against a head whose end is missed, or found too early, depending on how its
// bytes come.
func TestHeadIsFoundHoweverItsBytesCome(t *testing.T) {
	for text, size := range map[string]int{
		"GET / HTTP/1.1\r\na: b\r\n\r\nbody": 24, "\r\n\nGET /\n\nmore": 10, "a\r\r\n\r\n": 6, "a\n\rb\n \n\n": 8, "\r\n\r\n": -1, "a\r\n": -1,
	} {
		for step := 1; step <= len(text); step++ {
			var h headScanner
			used, done := 0, false
			for at := 0; at < len(text) && !done; at += step {
				var n int
				n, _, done = h.scan([]byte(text[at:min(at+step, len(text))]))
				used += n
			}
			if size < 0 {
				require.False(t, done, "%q by %d", text, step)
				continue
			}
			require.True(t, done, "%q by %d", text, step)
			require.Equal(t, size, used, "%q by %d", text, step)
			require.Equal(t, size, h.size)
		}
	}
}
