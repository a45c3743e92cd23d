package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// jobBody is the body of POST /v1/jobs.
type jobBody struct {
	Template   string            `json:"template"`
	Customer   string            `json:"customer"`
	Count      int               `json:"count"`
	Parameters map[string]string `json:"parameters,omitempty"`
}

// job submits a job and follows it to its end.
func (r *runner) job(ctx context.Context, a Arrival) {
	item := r.plan.Jobs[a.Item]
	r.collect.job(func(n *JobCounts) { n.Offered++ })
	body, err := json.Marshal(jobBody{item.Template, item.Customer, item.Count, item.Parameters})
	if err != nil {
		return
	}
	k := call{method: http.MethodPost, path: "/v1/jobs", key: a.ID, timeout: jobTimeout, body: body}
	got, _, err := r.caller.do(context.WithoutCancel(ctx), k)
	if err != nil {
		r.collect.job(func(n *JobCounts) { n.Unknown++ })
		return
	}
	var job structs.Job
	switch {
	case got.status/100 == 2 && json.Unmarshal(got.body, &job) == nil && job.ID != "":
		r.collect.job(func(n *JobCounts) { n.Accepted++ })
		r.follow(ctx, a, job.ID)
	case got.status/100 == 2 || !statesNotRun(got.body):
		r.collect.job(func(n *JobCounts) { n.Unknown++ })
	default:
		r.collect.job(func(n *JobCounts) { n.Refused++ })
	}
}

func statesNotRun(body []byte) bool {
	answer, err := DecodeAnswer(body)
	return err == nil && answer.Outcome == outcomeNotRun
}

// follow reads the job until every task is final or the wait is over.
func (r *runner) follow(ctx context.Context, a Arrival, id string) {
	end := r.started.Add(milliseconds(r.plan.Schedule.LengthMs) + r.options.JobWait)
	var last structs.Job
	status := 0
	for time.Now().Before(end) && sleepUntil(ctx, time.Now().Add(r.options.JobPoll)) {
		k := call{method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(id), timeout: pollTimeout}
		got, _, err := r.caller.do(ctx, k)
		if err != nil {
			continue
		}
		status = got.status
		var job structs.Job
		if got.status != http.StatusOK || json.Unmarshal(got.body, &job) != nil {
			continue
		}
		if last = job; finished(job) {
			r.collect.jobDone(time.Since(r.started.Add(a.At)))
			break
		}
	}
	r.collect.job(func(n *JobCounts) { n.settle(last, status) })
}

// settle counts a job as it was last seen.
func (n *JobCounts) settle(job structs.Job, status int) {
	switch {
	case status == http.StatusNotFound:
		n.Lost++
	case finished(job):
		n.Finished++
	default:
		n.Unfinished++
	}
	for _, t := range job.Tasks {
		n.Evictions += t.Evictions
		if t.State == structs.TaskDone {
			n.TasksDone++
		} else if t.State.Final() {
			n.TasksOther++
		}
	}
}

func finished(job structs.Job) bool {
	for _, t := range job.Tasks {
		if !t.State.Final() {
			return false
		}
	}
	return len(job.Tasks) > 0
}
