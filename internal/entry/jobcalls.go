package entry

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"time"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/jobs"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

const (
	// submitTimeout limits the wait for a submission to become durable.
	submitTimeout = 3 * time.Second
	// jobCallTries is the number of times that a job call looks for the owner
	// of the shard.
	jobCallTries = 3
)

// Values of JobCall.Operation.
const (
	opSubmit = "submit"
	opGet    = "get"
	opCancel = "cancel"
	opList   = "list"
)

// SubmitJob implements api.Service. If it returns without an error, the job is
// durable. The code StoreUncertain means that the job may become durable later;
// repeating the submission with the same key is safe.
func (e *Entry) SubmitJob(ctx context.Context, in api.JobInput) (structs.Job, error) {
	type prepared struct {
		job structs.Job
		err error
	}
	p, ok := queryControl(ctx, e, func(c *control) prepared {
		job, err := c.prepareJob(in)
		return prepared{job, err}
	})
	if !ok {
		return structs.Job{}, errStopped
	}
	if p.err != nil {
		return structs.Job{}, p.err
	}
	job, err := e.jobCall(ctx, opSubmit, p.job.ID, p.job)
	if in.Repeat && err != nil && rescode.Of(err).Outcome() == rescode.NotRun && rescode.Of(err) >= rescode.Overloaded {
		// The earlier call may have been accepted by another entry.
		err = rescode.Errorf(rescode.RepeatUnproven, "%w", err)
	}
	return job, err
}

// GetJob implements api.Service.
func (e *Entry) GetJob(ctx context.Context, id string) (structs.Job, error) {
	return e.jobCall(ctx, opGet, id, structs.Job{})
}

// CancelJob implements api.Service.
func (e *Entry) CancelJob(ctx context.Context, id string) (structs.Job, error) {
	return e.jobCall(ctx, opCancel, id, structs.Job{})
}

// ListJobs implements api.Service. It collects the jobs of all live entries. If
// an entry does not answer, the call fails instead of returning a partial list.
func (e *Entry) ListJobs(ctx context.Context) ([]structs.Job, error) {
	all := e.localJobs(ctx)
	for _, peer := range e.peers(ctx) {
		result, err := e.forwardJob(ctx, peer, opList, "", nil)
		if err != nil {
			return nil, err
		}
		var list []structs.Job
		if err := json.Unmarshal(result.Payload, &list); err != nil {
			return nil, rescode.Errorf(rescode.Internal, "decode jobs of %s: %w", peer.ID, err)
		}
		all = append(all, list...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all, nil
}

// prepareJob validates a submission and builds the job from the configuration
// in force.
func (c *control) prepareJob(in api.JobInput) (structs.Job, error) {
	template, customer, err := c.lookup(in.Template, in.Customer, structs.KindTask)
	if err != nil {
		return structs.Job{}, err
	}
	parameters, err := mergeParameters(template, customer, in.Parameters)
	if err != nil {
		return structs.Job{}, err
	}
	job := structs.Job{
		Template: template.Name, TemplateVersion: template.Version, Customer: customer.Name, CustomerVersion: customer.Version,
		Team: customer.Team, Parameters: parameters, QoS: template.QoS, Resources: template.Resources,
		ExpectedMillis: template.ExpectedMillis, MaxAttempts: max(template.MaxAttempts, 1), LongRunning: template.LongRunningService,
		Count: max(in.Count, 1),
	}
	if in.Resources != nil {
		job.Resources = *in.Resources
	}
	if job.Resources.Negative() {
		return structs.Job{}, rescode.FieldErrorf(rescode.OutOfRange, "resources", "an amount is negative")
	}
	job.ID = c.jobs.newID(customer.Name, in.Key)
	return job, nil
}

// newID returns the id of a new job. With a key the id is derived from the
// customer and the key, so that a repeated submission reaches the same shard.
// Without one it is random, preferably in a shard that this entry owns.
func (j *jobControl) newID(customer, key string) string {
	if key != "" {
		return jobs.IDForKey(customer, key)
	}
	const tries = 64
	id := randomID("j")
	for range tries {
		if s := j.shardOf(id); s != nil && s.state != nil {
			break
		}
		id = randomID("j")
	}
	return id
}

// jobCall runs a call at the entry that owns the job's shard, which may be this
// one. It looks for the owner up to jobCallTries times.
func (e *Entry) jobCall(ctx context.Context, operation, id string, job structs.Job) (structs.Job, error) {
	var lastErr error = rescode.Errorf(rescode.NotOwner, "no entry serves the shard of job %s at the moment", id)
	for range jobCallTries {
		result, err := e.localJobCall(ctx, operation, id, job)
		if rescode.Of(err) != rescode.NotOwner {
			return result, err
		}
		if peer, ok := e.remoteOwner(ctx, id); ok {
			result, err := e.remoteJobCall(ctx, peer, operation, id, job)
			if rescode.Of(err) != rescode.NotOwner {
				return result, err
			}
			lastErr = err
		}
		if !e.sleep(e.opts.StoreTimes.PollInterval / 2) {
			return structs.Job{}, errStopped
		}
	}
	if operation == opSubmit {
		return structs.Job{}, rescode.Errorf(rescode.StoreUnavailable, "%w", lastErr)
	}
	return structs.Job{}, lastErr
}

// remoteOwner returns the owner of the job's shard if it is another live entry.
func (e *Entry) remoteOwner(ctx context.Context, id string) (peerRecord, bool) {
	type found struct {
		peer peerRecord
		ok   bool
	}
	f, ok := queryControl(ctx, e, func(c *control) found {
		s := jobs.ShardOf(id, e.opts.Shards)
		peer, ok := c.peers[c.jobs.table.Shards[s].Owner]
		return found{peer, ok && peer.Incarnation != e.incarnation}
	})
	return f.peer, ok && f.ok
}

// localJobCall runs a call on a shard of this entry. It fails with NotOwner if
// the shard is not owned, not open or being handed over.
func (e *Entry) localJobCall(ctx context.Context, operation, id string, job structs.Job) (structs.Job, error) {
	type result struct {
		job  structs.Job
		err  error
		wait chan error
	}
	r, ok := queryControl(ctx, e, func(c *control) result {
		s := c.jobs.shardOf(id)
		if s == nil || s.state == nil || c.jobs.handover.Draining(s.id) {
			return result{err: errNotOwner}
		}
		switch operation {
		case opSubmit:
			job, wait, err := c.jobs.submit(s, job)
			return result{job, err, wait}
		case opCancel:
			if err := s.state.Cancel(id, time.Now()); err != nil {
				return result{err: rescode.FieldErrorf(rescode.NotFound, "id", "job %q does not exist", id)}
			}
		}
		got, err := s.state.Get(id)
		if err != nil {
			err = rescode.FieldErrorf(rescode.NotFound, "id", "job %q does not exist", id)
		}
		return result{job: got, err: err}
	})
	if !ok {
		return structs.Job{}, errStopped
	}
	if r.wait == nil {
		return r.job, r.err
	}
	select {
	case err := <-r.wait:
		return r.job, err
	case <-time.After(submitTimeout):
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
	return r.job, rescode.Errorf(rescode.StoreUncertain, "job %s is not durable yet", id)
}

// submit adds a job to a shard and returns a channel that reports when it is
// durable. Jobs are refused while the shard's log cannot be written, because an
// accepted job must not be lost.
func (j *jobControl) submit(s *ownedShard, job structs.Job) (structs.Job, chan error, error) {
	if s.writeFailing || !j.c.storeContact() {
		return structs.Job{}, nil, rescode.Errorf(rescode.StoreUnavailable, "the key-value service does not answer")
	}
	out, _, err := s.state.Submit(job, time.Now())
	if err != nil {
		return structs.Job{}, nil, err
	}
	wait := make(chan error, 1)
	j.submitters[job.ID] = append(j.submitters[job.ID], wait)
	return out, wait, nil
}

// localJobs returns the jobs of all shards that are open at this entry.
func (e *Entry) localJobs(ctx context.Context) []structs.Job {
	list, _ := queryControl(ctx, e, func(c *control) []structs.Job {
		var out []structs.Job
		for _, s := range c.jobs.owned {
			if s.state != nil {
				out = append(out, s.state.List()...)
			}
		}
		return out
	})
	return list
}

// remoteJobCall runs a call at another entry and decodes the returned job.
func (e *Entry) remoteJobCall(ctx context.Context, peer peerRecord, operation, id string, job structs.Job) (structs.Job, error) {
	payload, err := json.Marshal(job)
	if err != nil {
		return structs.Job{}, rescode.Errorf(rescode.Internal, "encode job: %w", err)
	}
	result, err := e.forwardJob(ctx, peer, operation, id, payload)
	if err != nil {
		return structs.Job{}, err
	}
	var out structs.Job
	if err := json.Unmarshal(result.Payload, &out); err != nil {
		return structs.Job{}, rescode.Errorf(rescode.Internal, "decode job: %w", err)
	}
	return out, nil
}

// forwardJob sends a call to another entry. It fails with NotOwner if the call
// was not sent, and with StoreUncertain if the answer was lost: a submission
// may then have been accepted.
func (e *Entry) forwardJob(ctx context.Context, peer peerRecord, operation, id string, payload []byte) (*pb.JobResult, error) {
	reply, err := e.callPeer(ctx, peer, &pb.Frame{Body: &pb.Frame_JobCall{JobCall: &pb.JobCall{
		Operation: operation, Job: id, Payload: payload,
	}}}, submitTimeout+peerTimeout)
	if errors.Is(err, errNotSent) {
		return nil, rescode.Errorf(rescode.NotOwner, "entry %s is out of reach: %w", peer.ID, err)
	}
	if err != nil {
		return nil, rescode.Errorf(rescode.StoreUncertain, "entry %s does not answer: %w", peer.ID, err)
	}
	result := reply.GetJobResult()
	if result == nil {
		return nil, rescode.Errorf(rescode.Internal, "%w", errUnexpectedFrame)
	}
	if result.Code != 0 {
		return nil, &rescode.Error{Code: rescode.Code(result.Code), Field: result.Field, Err: errorText(result.Detail)}
	}
	return result, nil
}

// errorText is the text of an error that another entry returned.
type errorText string

func (t errorText) Error() string { return string(t) }

// serveJobCall runs a call that another entry has forwarded, on local shards
// only.
func (e *Entry) serveJobCall(ctx context.Context, call *pb.JobCall) *pb.JobResult {
	if call.Operation == opList {
		return jobResult(e.localJobs(ctx), nil)
	}
	var job structs.Job
	if len(call.Payload) > 0 {
		if err := json.Unmarshal(call.Payload, &job); err != nil {
			return jobResult(nil, rescode.Errorf(rescode.MalformedBody, "decode job: %w", err))
		}
	}
	out, err := e.localJobCall(ctx, call.Operation, call.Job, job)
	return jobResult(out, err)
}

// jobResult encodes the result of a forwarded call.
func jobResult(value any, err error) *pb.JobResult {
	if err != nil {
		result := &pb.JobResult{Code: uint32(rescode.Of(err)), Detail: err.Error()}
		if coded := codedError(err); coded != nil {
			result.Field = coded.Field
		}
		return result
	}
	payload, err := json.Marshal(value)
	if err != nil {
		return &pb.JobResult{Code: uint32(rescode.Internal), Detail: err.Error()}
	}
	return &pb.JobResult{Payload: payload}
}
