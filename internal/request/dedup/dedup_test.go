package dedup

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/internal/fixedseed"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// TestMain fixes the seed of the property tests, so that every run checks the
// same cases.
func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 1)) }

var epoch = time.Unix(1_000_000, 0)

// history is a reference model that keeps all starts and answers of all
// incarnations.
type history struct {
	starts map[string]int            // number of starts by id
	done   map[string]structs.Answer // answers of the runs by id
	notRun map[string]bool           // ids with the outcome "not run"
}

func (h *history) check(t *rapid.T, id string, a structs.Answer) {
	switch a.Outcome {
	case rescode.Done:
		require.Equal(t, h.done[id], a, "another answer than the one of the only run")
	case rescode.NotRun:
		require.Zero(t, h.starts[id], "false not run")
		h.notRun[id] = true
	}
}

// Guards against a second run, a false "not run", a start after a "not run" and
// unbounded memory when ids are forgotten, bounds are exceeded, copies arrive late,
// clocks of entries differ and the agent restarts.
func TestNeverASecondRunOrFalseNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{MaxRecords: rapid.IntRange(1, 6).Draw(t, "max"), MaxBytes: 40, Retention: 20 * time.Second, MaxSkew: 2 * time.Second}
		now := epoch
		r := New(cfg, now)
		h := &history{map[string]int{}, map[string]structs.Answer{}, map[string]bool{}}
		issued := map[string]time.Time{}
		var live []string // accepted by this incarnation
		for range 120 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			id := strconv.Itoa(rapid.IntRange(0, 25).Draw(t, "id"))
			if _, ok := issued[id]; !ok { // stamped once, by an entry with its own skew
				issued[id] = now.Add(time.Duration(rapid.IntRange(-2000, 2000).Draw(t, "skew")) * time.Millisecond)
			}
			switch rapid.IntRange(0, 11).Draw(t, "op") {
			case 0, 1, 2, 3:
				v := r.Arrive(now, id, issued[id], 0)
				if v.Accepted {
					live = append(live, id)
				}
				h.check(t, id, v.Answer)
			case 4, 5, 6:
				if len(live) > 0 && r.Start(live[len(live)-1]) {
					id := live[len(live)-1]
					h.starts[id]++
					require.False(t, h.notRun[id], "started after not run")
				}
			case 7, 8:
				for _, id := range live {
					a := structs.Answer{RequestID: id, Outcome: rescode.Done, Body: []byte("body of " + id)}
					if waiters, got := r.Finish(now, a); len(waiters) > 0 {
						h.done[id] = a
						h.check(t, id, got)
					}
				}
				live = nil
			case 9:
				_, a := r.Refuse(now, id, rescode.SlotsFull)
				h.check(t, id, a)
			case 10:
				v, _ := r.Resolve(now, id, issued[id], rapid.Bool().Draw(t, "tombstone"), false, 0)
				h.check(t, id, v.Answer)
			case 11:
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					r, live = New(cfg, now), nil
				}
			}
			n, held := r.Len()
			require.LessOrEqual(t, n, cfg.MaxRecords)
			require.LessOrEqual(t, held, cfg.MaxBytes)
		}
		for id, n := range h.starts {
			require.LessOrEqual(t, n, 1, id)
		}
	})
}

// Guards against a duplicate that runs again or gets a different answer.
func TestDuplicateJoinsTheRun(t *testing.T) {
	r := New(DefaultConfig(), epoch)
	now := epoch.Add(time.Minute)
	assert.True(t, r.Arrive(now, "a", now, 1).Accepted)
	assert.False(t, r.Arrive(now, "a", now, 2).Accepted)
	assert.True(t, r.Start("a"))
	assert.False(t, r.Start("a"))
	v, _ := r.Resolve(now, "a", now, true, true, 3)
	assert.Equal(t, Running, v.State, "a tombstone must not hide a run")
	waiters, _ := r.Finish(now, structs.Answer{RequestID: "a", Outcome: rescode.Done, Body: []byte("x")})
	assert.Equal(t, []Waiter{1, 2, 3}, waiters)
	assert.Equal(t, "x", string(r.Arrive(now, "a", now, 4).Answer.Body))
}

// Guards against forgetting an id before the bounds require it, and against
// starting a tombstoned id.
func TestOverflowForgetsOldestIssueFirst(t *testing.T) {
	cfg := DefaultConfig()
	r := New(cfg, epoch)
	at := func(i int) time.Time { return epoch.Add(time.Minute + time.Duration(i)*time.Millisecond) }
	for i := range cfg.MaxRecords + 100 {
		id := fmt.Sprint(i)
		require.True(t, r.Arrive(at(i), id, at(i), 0).Accepted)
		require.True(t, r.Start(id))
		r.Finish(at(i), structs.Answer{RequestID: id, Outcome: rescode.Done})
	}
	end := at(cfg.MaxRecords + 100)
	assert.Equal(t, rescode.RecordExpired, r.Arrive(end, "99", at(99), 0).Answer.Code)
	assert.Equal(t, Done, r.Arrive(end, "100", at(100), 0).State)
	v, _ := r.Resolve(end, "late", end, true, false, 0)
	assert.Equal(t, rescode.NotRun, v.Answer.Outcome)
	assert.Equal(t, Tombstoned, r.Arrive(end, "late", end, 0).State)
	assert.False(t, r.Start("late"))
}

// Guards against an issue time from a fast clock that, once its id is forgotten,
// raises the floor above all other requests.
func TestStampFromTheFutureIsNotRecorded(t *testing.T) {
	r := New(DefaultConfig(), epoch)
	now := epoch.Add(time.Minute)
	v := r.Arrive(now, "a", now.Add(time.Hour), 0)
	assert.False(t, v.Accepted)
	assert.Equal(t, rescode.Unknown, v.Answer.Outcome)
	assert.False(t, r.Floor().After(now))
}

func BenchmarkArriveStartFinish(b *testing.B) {
	r := New(DefaultConfig(), epoch)
	for i := 0; b.Loop(); i++ {
		now, id := epoch.Add(time.Minute+time.Duration(i)*time.Millisecond), strconv.Itoa(i)
		r.Arrive(now, id, now, 0)
		r.Start(id)
		r.Finish(now, structs.Answer{RequestID: id, Outcome: rescode.Done})
	}
}
