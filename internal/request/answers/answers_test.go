package answers

import (
	"os"
	"slices"
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

// naive is a reference model that keeps all requests in one slice, in order of
// the last change.
type naive struct {
	cfg  Config
	reqs []naiveRequest
}

type naiveRequest struct {
	id      string
	since   time.Time
	waiters []Waiter
	answer  *structs.Answer
}

func (n *naive) find(id string) int {
	return slices.IndexFunc(n.reqs, func(r naiveRequest) bool { return r.id == id })
}

func (n *naive) complete(now time.Time, a structs.Answer) []Waiter {
	i := n.find(a.RequestID)
	if i < 0 || (n.reqs[i].answer != nil && (n.reqs[i].answer.Outcome != rescode.Unknown || a.Outcome == rescode.Unknown)) {
		return nil
	}
	w := n.reqs[i].waiters
	n.reqs = append(slices.Delete(n.reqs, i, i+1), naiveRequest{a.RequestID, now, nil, &a})
	for n.over() {
		n.reqs = slices.Delete(n.reqs, n.firstDone(), n.firstDone()+1)
	}
	return w
}

func (n *naive) over() bool {
	count, held := 0, int64(0)
	for _, r := range n.reqs {
		if r.answer != nil {
			count, held = count+1, held+size(*r.answer)
		}
	}
	return count > n.cfg.MaxAnswers || held > n.cfg.MaxBytes
}

func (n *naive) firstDone() int {
	return slices.IndexFunc(n.reqs, func(r naiveRequest) bool { return r.answer != nil })
}

// Compares a Table with the reference model. Guards against an answer that
// reaches another caller, is truncated or changed by a duplicate, and against
// unbounded retention.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{MaxAnswers: 4, MaxBytes: 30, MaxPending: 5, MaxAge: 10 * time.Second}
		table, ref := New(cfg), &naive{cfg: cfg}
		now, buffer := epoch, make([]byte, 12)
		for step := range 150 {
			now = now.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "s")) * time.Second)
			id, w := strconv.Itoa(rapid.IntRange(0, 9).Draw(t, "id")), Waiter(step)
			i := ref.find(id)
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				status, a := table.Open(now, id, w)
				pending := slices.DeleteFunc(slices.Clone(ref.reqs), func(r naiveRequest) bool { return r.answer != nil })
				switch {
				case i < 0 && len(pending) >= cfg.MaxPending:
					require.Equal(t, rescode.Overloaded, a.Code)
				case i < 0:
					require.Equal(t, Started, status)
					ref.reqs = append(ref.reqs, naiveRequest{id, now, []Waiter{w}, nil})
				case ref.reqs[i].answer != nil:
					require.Equal(t, *ref.reqs[i].answer, a)
				default:
					require.Equal(t, Waiting, status)
					ref.reqs[i].waiters = append(ref.reqs[i].waiters, w)
				}
			case 1, 2:
				// The transport reuses its buffer for the next answer.
				body := buffer[:rapid.IntRange(0, len(buffer)).Draw(t, "len")]
				for k := range body {
					body[k] = byte(step)
				}
				a := structs.Answer{RequestID: id, Outcome: rapid.SampledFrom([]rescode.Outcome{rescode.Unknown, rescode.Done}).Draw(t, "outcome"), Body: body}
				d := table.Complete(now, a)
				a.Body = slices.Clone(body)
				require.Equal(t, ref.complete(now, a), d.Waiters)
			case 3:
				var want []Waiter
				ref.reqs = slices.DeleteFunc(ref.reqs, func(r naiveRequest) bool {
					if old := now.Sub(r.since) >= cfg.MaxAge; !old {
						return false
					}
					want = append(want, r.waiters...)
					return true
				})
				var got []Waiter
				for _, d := range table.Expire(now) {
					require.Equal(t, rescode.RecordExpired, d.Answer.Code)
					got = append(got, d.Waiters...)
				}
				require.ElementsMatch(t, want, got)
			}
			pending, done, held := table.Len()
			require.Equal(t, len(ref.reqs), pending+done)
			require.LessOrEqual(t, held, cfg.MaxBytes)
		}
	})
}

// Guards against a waiter that left and still gets an answer, and against
// claiming "not run" for a request that is no longer held.
func TestLeaveAndForgotten(t *testing.T) {
	table := New(DefaultConfig())
	table.Open(epoch, "a", 1)
	table.Join("a", 2)
	table.Leave("a", 1)
	d := table.Complete(epoch, structs.Answer{RequestID: "a", Outcome: rescode.Done})
	assert.Equal(t, []Waiter{2}, d.Waiters)
	table.Expire(epoch.Add(10 * time.Minute))
	status, a := table.Join("a", 3)
	assert.Equal(t, Refused, status)
	assert.Equal(t, rescode.Unknown, a.Outcome)
}

func BenchmarkOpenComplete(b *testing.B) {
	table, body := New(DefaultConfig()), make([]byte, 1024)
	for i := 0; b.Loop(); i++ {
		id := strconv.Itoa(i)
		table.Open(epoch, id, 1)
		table.Complete(epoch, structs.Answer{RequestID: id, Body: body})
	}
}
