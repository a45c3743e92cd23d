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

// runJob submits a job and polls it until its end.
func (r *runner) runJob(ctx context.Context, a Arrival) {
	item := r.plan.Jobs[a.Item]
	r.collect.updateJobs(func(n *JobCounts) { n.Offered++ })
	body, err := json.Marshal(jobBody{item.Template, item.Customer, item.Count, item.Parameters})
	if err != nil {
		return
	}
	k := call{method: http.MethodPost, path: "/v1/jobs", key: a.ID, timeout: jobTimeout, body: body}
	got, _, err := r.client.do(context.WithoutCancel(ctx), k)
	if err != nil {
		r.collect.updateJobs(func(n *JobCounts) { n.Unknown++ })
		return
	}
	var job structs.Job
	switch {
	case got.status/100 == 2 && json.Unmarshal(got.body, &job) == nil && job.ID != "":
		r.collect.updateJobs(func(n *JobCounts) { n.Accepted++ })
		r.follow(ctx, a, job.ID)
	case got.status/100 == 2 || !statesNotRun(got.body):
		r.collect.updateJobs(func(n *JobCounts) { n.Unknown++ })
	default:
		r.collect.updateJobs(func(n *JobCounts) { n.Refused++ })
	}
}

// statesNotRun reports whether an answer says that the call did not run.
func statesNotRun(body []byte) bool {
	answer, err := DecodeAnswer(body)
	return err == nil && answer.Outcome == outcomeNotRun
}

// follow polls the job until every task is final or the wait is over.
func (r *runner) follow(ctx context.Context, a Arrival, id string) {
	end := r.started.Add(milliseconds(r.plan.Schedule.LengthMs) + r.options.JobWait)
	var last structs.Job
	status := 0
	for time.Now().Before(end) && sleepUntil(ctx, time.Now().Add(r.options.JobPoll)) {
		k := call{method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(id), timeout: pollTimeout}
		got, _, err := r.client.do(ctx, k)
		if err != nil {
			continue
		}
		status = got.status
		var job structs.Job
		if got.status != http.StatusOK || json.Unmarshal(got.body, &job) != nil {
			continue
		}
		if last = job; finished(job) {
			r.collect.recordJobTime(time.Since(r.started.Add(a.At)))
			break
		}
	}
	r.collect.updateJobs(func(n *JobCounts) { n.addJob(last, status) })
}

// addJob counts a job and its tasks in the state that was read last. The
// parameter status is the HTTP status of the last read.
func (n *JobCounts) addJob(job structs.Job, status int) {
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
