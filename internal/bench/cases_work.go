package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// maxInFlight bounds the calls that a case has in flight.
const maxInFlight = 64

// spreadCalls calls f n times, evenly spaced over a window, and waits for all calls.
func (b *bench) spreadCalls(ctx context.Context, n int, f func(context.Context, int) error) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxInFlight)
	if n == 0 {
		return nil
	}
	// The last call starts early enough to end inside the window.
	step := b.window() * 8 / 10 / time.Duration(n)
	next := time.Now()
	for i := range n {
		if err := sleep(ctx, time.Until(next)); err != nil {
			break
		}
		next = next.Add(step)
		g.Go(func() error { return f(ctx, i) })
	}
	return g.Wait()
}

// startTimes holds when the worker started the first task of each job.
type startTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (s *startTimes) started(id structs.TaskID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[id.Job] = time.Now()
}

func (s *startTimes) of(job string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[job]
	return at, ok
}

// starts varies the starts of short tasks, one task to a job, up to the peak of
// 48/s of the future scale.
func (b *bench) starts(ctx context.Context) error {
	const entries, agents, per = 3, 12, "task starts/s"
	times := &startTimes{at: map[string]time.Time{}}
	r, err := startRig(ctx, entries, agents, times.started)
	if err != nil {
		return err
	}
	defer r.stop()
	for _, rate := range []int{0, 12, 24, 48} {
		taskCount := int(float64(rate) * b.window().Seconds())
		var mu sync.Mutex
		submitted, refused := map[string]time.Time{}, 0
		x := float64(rate)
		err := b.eachWindow(ctx, r, func(ctx context.Context, _ int) error {
			clear(submitted)
			refused = 0
			return b.spreadCalls(ctx, taskCount, func(ctx context.Context, i int) error {
				began := time.Now()
				job, refusals, err := r.submit(ctx, i, api.JobInput{Template: urgentTask, Customer: customerName})
				mu.Lock()
				submitted[job.ID], refused = began, refused+refusals
				mu.Unlock()
				return err
			})
		}, func(repeat int, d reading, seconds float64) {
			b.add("kv.start_writes", "log writes/s", per, x, repeat, d.store.LogWrites/seconds)
			b.add("kv.start_bytes", "log bytes/s", per, x, repeat, d.store.LogBytes/seconds)
			b.add("start.frames", "data frames/s", per, x, repeat, d.data/seconds)
			b.add("start.bytes", "session B/s", per, x, repeat, d.bytes/seconds)
			b.add("start.refused", "submissions/s refused as not run and repeated", per, x, repeat, float64(refused)/seconds)
			b.add("cpu.start", "core of all processes", per, x, repeat, d.cpu/seconds)
			b.add("allocs.start", "objects/s of all processes", per, x, repeat, d.allocs/seconds)
			if rate > 0 {
				typical, slowest := delays(times, submitted)
				b.add("start.median", "s from submission to the worker, median", per, x, repeat, typical)
				b.add("start.slowest", "s from submission to the worker, slowest", per, x, repeat, slowest)
			}
		})
		if err != nil {
			return err
		}
		if err := r.wait(func() bool { return r.countTasks(structs.TaskRunning)+r.countTasks(structs.TaskQueued) == 0 }); err != nil {
			return err
		}
	}
	return nil
}

// submit repeats a submission that is refused as not run, for example because the
// shard of the job is changing its owner. It returns the number of refusals.
func (r *rig) submit(ctx context.Context, i int, input api.JobInput) (structs.Job, int, error) {
	for refusals := 0; ; refusals++ {
		job, err := r.entries[i%len(r.entries)].SubmitJob(ctx, input)
		if err == nil || rescode.Of(err).Outcome() != rescode.NotRun {
			return job, refusals, err
		}
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return job, refusals, err
		}
	}
}

// delays returns the median and the highest delay in seconds from submission to
// start, of the jobs whose task has started.
func delays(times *startTimes, submitted map[string]time.Time) (typical, slowest float64) {
	var all []float64
	for job, began := range submitted {
		if at, ok := times.of(job); ok {
			all = append(all, at.Sub(began).Seconds())
			slowest = max(slowest, at.Sub(began).Seconds())
		}
	}
	return median(all), slowest
}

// requests varies the requests of a window: idempotent ones and ones that need
// a claim.
func (b *bench) requests(ctx context.Context) error {
	const entries, agents = 3, 12
	r, err := startRig(ctx, entries, agents, nil)
	if err != nil {
		return err
	}
	defer r.stop()
	for _, template := range []string{idempotentRequest, chargeRequest} {
		for _, rate := range []int{0, 25, 50, 100} {
			if err := b.requestsAt(ctx, r, template, rate); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b *bench) requestsAt(ctx context.Context, r *rig, template string, rate int) error {
	const per = "requests/s"
	n := int(float64(rate) * b.window().Seconds())
	kind := map[string]string{idempotentRequest: "idempotent", chargeRequest: "claimed"}[template]
	x := float64(rate)
	return b.eachWindow(ctx, r, func(ctx context.Context, repeat int) error {
		return b.spreadCalls(ctx, n, func(ctx context.Context, i int) error {
			id := fmt.Sprintf("%s-%d-%d-%d", kind, rate, repeat, i)
			answer, err := r.entries[i%len(r.entries)].SubmitRequest(ctx, api.RequestInput{ID: id, IdempotencyKey: id, Template: template, Customer: customerName})
			if err == nil && answer.Code != rescode.OK {
				err = fmt.Errorf("request %s: %s: %s", id, answer.Code, answer.Detail)
			}
			return err
		})
	}, func(repeat int, d reading, seconds float64) {
		b.add("request.bytes_"+kind, "session B/s", per, x, repeat, d.bytes/seconds)
		b.add("request.frames_"+kind, "data frames/s", per, x, repeat, d.data/seconds)
		b.add("request.cpu_"+kind, "core of all processes", per, x, repeat, d.cpu/seconds)
		b.add("request.allocs_"+kind, "objects/s of all processes", per, x, repeat, d.allocs/seconds)
		b.add("request.kv_writes_"+kind, "writes/s", per, x, repeat, d.store.Writes/seconds)
		b.add("request.kv_reads_"+kind, "reads/s", per, x, repeat, d.store.Reads/seconds)
		b.add("request.kv_leases_"+kind, "lease calls/s", per, x, repeat, d.store.Leases/seconds)
	})
}
