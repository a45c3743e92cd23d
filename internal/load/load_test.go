package load

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/standin/upstream"
	"vanillalock.example/vanillalock/internal/structs"
)

func plan() Plan {
	return Plan{
		Seed:     7,
		Schedule: Schedule{BaseRate: 50, CrestFactor: 4, CrestStartMs: 10_000, CrestLengthMs: 5_000, LengthMs: 20_000},
		Mix: []MixItem{
			{Template: "clip", Class: "urgent", Share: 3, Customers: []string{"a", "b"}, TimeoutMs: 800},
			{Template: "booking", Class: "urgent", Share: 1, Customers: []string{"a"}, TimeoutMs: 800, Key: true},
		},
		Jobs: []JobItem{{Template: "render", Customer: "a", Count: 2, PerMinute: 30}},
	}
}

// TestPlan guards against runs of one seed that differ, which would make two
// reports incomparable, and against a schedule or mix that is not kept.
func TestPlan(t *testing.T) {
	first, err := plan().Arrivals()
	require.NoError(t, err)
	again, err := plan().Arrivals()
	require.NoError(t, err)
	require.Equal(t, first, again)
	other := plan()
	other.Seed = 8
	different, err := other.Arrivals()
	require.NoError(t, err)
	require.NotEqual(t, first, different)
	withoutJobs := plan()
	withoutJobs.Jobs = nil
	requests, err := withoutJobs.Arrivals()
	require.NoError(t, err)
	var kept []Arrival
	var crest, keyed int
	for i, a := range first {
		require.True(t, i == 0 || first[i-1].At <= a.At)
		if a.Job {
			continue
		}
		kept = append(kept, a)
		if a.At >= 10*time.Second && a.At < 15*time.Second {
			crest++
		}
		keyed += a.Item
	}
	require.Equal(t, requests, kept, "jobs leave the requests as they are")
	// Four standard deviations of the Poisson and binomial counts.
	require.InDelta(t, 1000, crest, 126)
	require.InDelta(t, 750, len(kept)-crest, 110)
	require.InDelta(t, len(kept)/4, keyed, 73)
	require.Error(t, Plan{}.Validate())
	bad := plan()
	bad.Schedule.BaseRate = 1e9
	require.Error(t, bad.Validate())
}

// fakeSystem is an HTTP transport that records requests and answers them with a
// function of the test.
type fakeSystem struct {
	mu     sync.Mutex
	seen   []*http.Request
	bodies []requestBody
	answer func(r *http.Request, body requestBody) (int, string, error)
}

func (f *fakeSystem) RoundTrip(r *http.Request) (*http.Response, error) {
	var body requestBody
	_ = json.NewDecoder(r.Body).Decode(&body)
	f.mu.Lock()
	f.seen, f.bodies = append(f.seen, r), append(f.bodies, body)
	f.mu.Unlock()
	status, text, err := f.answer(r, body)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewBufferString(text)), Request: r}, nil
}

func echo(b requestBody) string {
	inner, _ := json.Marshal(upstream.Echo{RequestID: b.ID, Template: b.Template, Customer: b.Customer, Parameters: b.Parameters})
	out, _ := json.Marshal(map[string]any{"request_id": b.ID, "outcome": "done", "code": 0, "body": json.RawMessage(inner)})
	return string(out)
}

// run offers a plan on virtual time and checks that the outcomes add up to the
// offered requests.
func run(t *testing.T, p Plan, o Options, f *fakeSystem) (report Report) {
	synctest.Test(t, func(t *testing.T) {
		o.Transport = f
		if o.Entries == nil {
			o.Entries = []string{"http://a", "http://b"}
		}
		var err error
		report, err = Run(t.Context(), p, o)
		require.NoError(t, err)
		c := report.Total.Counts
		require.Equal(t, c.Offered, c.Done+c.NotRun+c.Unknown+c.Unreached+c.Shed)
	})
	return report
}

func requestsOnly() Plan {
	p := plan()
	p.Jobs = nil
	return p
}

// TestOpenLoop guards against a generator that waits for a slow system: a stall
// of 300 ms in every answer must show in the latency but not in the arrivals.
func TestOpenLoop(t *testing.T) {
	f := &fakeSystem{answer: func(_ *http.Request, b requestBody) (int, string, error) {
		time.Sleep(300 * time.Millisecond)
		return 200, echo(b), nil
	}}
	report := run(t, requestsOnly(), Options{}, f)
	arrivals, err := requestsOnly().Arrivals()
	require.NoError(t, err)
	require.Equal(t, len(arrivals), report.Total.InTime)
	require.InEpsilon(t, 300_000, report.Total.Latency.P50Us, 0.01)
	require.InEpsilon(t, 300_000, report.Total.Latency.MaxUs, 0.01)
	perSecond := 0
	for _, s := range report.Seconds {
		perSecond += s.Done
	}
	require.Equal(t, len(arrivals), perSecond)
	require.Len(t, report.Groups, 2)
	require.Zero(t, report.Total.Wrong)
	require.Equal(t, "800ms", f.seen[0].Header.Get("Request-Timeout"))
}

// TestRetryElsewhere guards against a retry with another id or key, which would
// run a booking twice, and against retries without bound.
func TestRetryElsewhere(t *testing.T) {
	f := &fakeSystem{answer: func(r *http.Request, b requestBody) (int, string, error) {
		if r.URL.Host == "a" {
			return 0, "", errors.New("connection refused")
		}
		return 200, echo(b), nil
	}}
	report := run(t, requestsOnly(), Options{}, f)
	require.Equal(t, report.Total.Offered, report.Total.Done)
	require.Positive(t, report.Total.Retries)
	ids := map[string]string{}
	for i, b := range f.bodies {
		key := f.seen[i].Header.Get("Idempotency-Key")
		if b.Template == "booking" {
			require.Equal(t, b.ID, key)
		}
		if earlier, ok := ids[b.ID]; ok {
			require.Equal(t, earlier, key)
		}
		ids[b.ID] = key
	}
	require.Len(t, ids, report.Total.Offered)
	f.seen = nil
	f.answer = func(*http.Request, requestBody) (int, string, error) { return 0, "", errors.New("refused") }
	report = run(t, requestsOnly(), Options{}, f)
	require.Equal(t, report.Total.Offered, report.Total.Unreached)
	require.Len(t, f.seen, 3*report.Total.Offered)
}

// TestOutcomes guards against answers that are counted under the wrong outcome and
// against accepting the answer to another request.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want Counts
	}{
		"not run":        {`{"outcome":"not_run","code":2001}`, Counts{NotRun: 1}},
		"rejected":       {`{"code":1003,"detail":"x"}`, Counts{NotRun: 1}},
		"unknown":        {`{"outcome":"unknown","code":3001}`, Counts{Unknown: 1}},
		"ran and failed": {`{"outcome":"done","code":4001}`, Counts{Done: 1, Failed: 1}},
		"another's body": {`{"outcome":"done","code":0,"body":{"request_id":"other"}}`, Counts{Done: 1, InTime: 1, Wrong: 1}},
		"truncated text": {`{"outcome":"done","code":0,"body":"{\"request_id\":"}`, Counts{Done: 1, InTime: 1, Wrong: 1}},
		"not UTF-8":      {`{"outcome":"done","code":0,"body_base64":"/w=="}`, Counts{Done: 1, InTime: 1, Wrong: 1}},
		"another's id":   {`{"request_id":"other","outcome":"not_run","code":2001}`, Counts{NotRun: 1, Wrong: 1}},
		"no JSON":        {`<html>`, Counts{Unknown: 1, Wrong: 1}},
		"no code":        {`{}`, Counts{Unknown: 1}},
		"other outcome":  {`{"outcome":"maybe"}`, Counts{Unknown: 1, Wrong: 1}},
	} {
		f := &fakeSystem{answer: func(*http.Request, requestBody) (int, string, error) { return 503, c.text, nil }}
		got := run(t, requestsOnly(), Options{}, f).Total.Counts
		n := got.Offered
		c.want = Counts{n, c.want.Done * n, c.want.InTime * n, c.want.Failed * n, c.want.NotRun * n, c.want.Unknown * n, 0, 0, 0, c.want.Wrong * n}
		require.Equal(t, c.want, got, name)
	}
}

// TestSilentEntry guards against callers that hang on a silent connection, and
// against counting them as unreached.
func TestSilentEntry(t *testing.T) {
	f := &fakeSystem{answer: func(r *http.Request, _ requestBody) (int, string, error) {
		httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
		<-r.Context().Done()
		return 0, "", r.Context().Err()
	}}
	report := run(t, requestsOnly(), Options{MaxInFlight: 100}, f)
	require.Positive(t, report.Total.Shed)
	require.Equal(t, report.Total.Offered, report.Total.Unknown+report.Total.Shed)
	require.Zero(t, report.Total.Retries)
}

// TestJobs guards against jobs that end or vanish without being counted.
func TestJobs(t *testing.T) {
	p := plan()
	p.Schedule.BaseRate, p.Mix = 0, nil
	answer := func(state structs.TaskState, status int) func(*http.Request, requestBody) (int, string, error) {
		return func(r *http.Request, _ requestBody) (int, string, error) {
			job, _ := json.Marshal(structs.Job{ID: "j", Tasks: []structs.Task{{State: state, Evictions: 1}}})
			if r.Method == http.MethodPost {
				return 201, string(job), nil
			}
			return status, string(job), nil
		}
	}
	done := run(t, p, Options{}, &fakeSystem{answer: answer(structs.TaskDone, 200)}).Jobs
	n := done.Offered
	require.Positive(t, n)
	require.Equal(t, JobCounts{Offered: n, Accepted: n, Finished: n, TasksDone: n, Evictions: n}, done)
	require.Equal(t, n, run(t, p, Options{}, &fakeSystem{answer: answer(structs.TaskRunning, 200)}).Jobs.Unfinished)
	require.Equal(t, n, run(t, p, Options{}, &fakeSystem{answer: answer("", 404)}).Jobs.Lost)
	refuse := func(*http.Request, requestBody) (int, string, error) { return 503, `{"code":2006}`, nil }
	require.Equal(t, n, run(t, p, Options{}, &fakeSystem{answer: refuse}).Jobs.Refused)
}

// TestReportIsStable guards against reports that cannot be compared, and
// against a comparison of different plans.
func TestReportIsStable(t *testing.T) {
	write := func(p Plan, delay time.Duration) (Report, string) {
		f := &fakeSystem{answer: func(_ *http.Request, b requestBody) (int, string, error) {
			time.Sleep(delay)
			return 200, echo(b), nil
		}}
		var out bytes.Buffer
		report := run(t, p, Options{}, f)
		require.NoError(t, errors.Join(report.WriteJSON(&out), report.WriteText(&out)))
		return report, out.String()
	}
	base, first := write(requestsOnly(), 10*time.Millisecond)
	_, second := write(requestsOnly(), 10*time.Millisecond)
	require.Equal(t, first, second)
	require.Contains(t, first, `"schema": "vanillalock.load/1"`)
	p := requestsOnly()
	p.RunID = "second"
	slow, _ := write(p, time.Second)
	rows, err := Compare(base, slow)
	require.NoError(t, err)
	require.InEpsilon(t, 100, rows[2].P99Ratio, 0.01)
	require.Equal(t, []float64{1, 0}, []float64{rows[2].BaseInTime, rows[2].OtherInTime})
	slow.Plan.Seed++
	_, err = Compare(base, slow)
	require.ErrorIs(t, err, ErrDifferentPlans)
}

// TestLatencyFromIntendedArrival guards against a generator that runs late and
// starts the clock only when it sends.
func TestLatencyFromIntendedArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeSystem{answer: func(_ *http.Request, b requestBody) (int, string, error) { return 200, echo(b), nil }}
		o := withDefaults(Options{Entries: []string{"http://a"}, Transport: f})
		r := &runner{plan: plan(), options: o, client: newEntryClient(o), collect: newCollector(time.Second), started: time.Now().Add(-time.Second)}
		r.runRequest(t.Context(), Arrival{ID: "x", Customer: "a"})
		require.InEpsilon(t, 1_000_000, r.collect.report(plan()).Total.Latency.P50Us, 0.01)
	})
}
