package ledger

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

func exp2(x float64) float64 { return math.Exp2(x) }

// taskProgress is the stored progress of one task. It is left out for a task of
// which no run has ended and at whose start no executor has crashed.
type taskProgress struct {
	Occurrence int       `json:"o,omitempty"`
	Step       int       `json:"s,omitempty"`
	Index      int       `json:"i,omitempty"`
	Ended      int       `json:"r,omitempty"` // Task.EndedRun
	Failed     []failure `json:"f,omitempty"`
	Crashes    crashes   `json:"x,omitzero"`
	Done       bool      `json:"d,omitempty"`
	Checkpoint string    `json:"c,omitempty"`
}

// progress is the stored progress of a job. Once it is final, tasks are left out.
type progress struct {
	Final JobState       `json:"final,omitempty"`
	Tasks []taskProgress `json:"tasks,omitempty"`
}

// Record is the progress of a job, to be stored under the job's id.
type Record struct {
	Job      string
	Value    []byte
	Revision uint64 // revision of the stored progress that it replaces; 0: none
	version  uint64 // of the job
}

// progressChanged records that the progress of a job has to be stored.
func (l *Ledger) progressChanged(job *Job) {
	job.version++
	l.queueUnstored(job)
}

// queueUnstored queues a job for Dirty, unless it is queued or a record of it is out.
func (l *Ledger) queueUnstored(job *Job) {
	if !job.unstored && !job.storing && job.version != job.storedVersion {
		job.unstored = true
		l.unstored = append(l.unstored, job)
	}
}

// Unstored returns the number of jobs that Dirty would return a record of.
func (l *Ledger) Unstored() int { return len(l.unstored) }

// Dirty returns records of at most limit jobs whose progress is not stored yet, those
// that have waited longest first. Each has to be passed to Stored or NotStored; until
// then there is no other record of its job.
func (l *Ledger) Dirty(limit int) ([]Record, error) {
	var out []Record
	for len(l.unstored) > 0 && len(out) < limit {
		job := l.unstored[0]
		l.unstored = l.unstored[1:]
		job.unstored = false
		if l.Jobs[job.ID] != job || job.version == job.storedVersion {
			continue
		}
		value, err := json.Marshal(job.progress())
		if err != nil {
			return out, fmt.Errorf("encode progress of job %s: %w", job.ID, err)
		}
		job.storing = true
		out = append(out, Record{Job: job.ID, Value: value, Revision: job.revision, version: job.version})
	}
	return out, nil
}

func (j *Job) progress() progress {
	p := progress{Final: j.Final}
	if j.Final != "" {
		return p
	}
	for _, occ := range j.Occurrences {
		for _, s := range occ.Steps {
			for _, t := range s.Tasks {
				if t.EndedRun == 0 && len(t.failures) == 0 && t.crashes == (crashes{}) {
					continue
				}
				tp := taskProgress{Occurrence: occ.Number, Step: s.Index, Index: t.ID.Index, Ended: t.EndedRun, Failed: t.failures, Crashes: t.crashes, Done: t.Done}
				if !t.Done {
					tp.Checkpoint = t.Checkpoint
				}
				p.Tasks = append(p.Tasks, tp)
			}
		}
	}
	return p
}

// Stored marks records of Dirty as stored at a revision.
func (l *Ledger) Stored(records []Record, revision uint64) {
	for _, r := range records {
		job := l.Jobs[r.Job]
		if job == nil {
			continue
		}
		job.storing, job.storedVersion, job.revision = false, r.version, revision
		for n := range job.endedOn {
			l.pending[n] = struct{}{}
		}
		if job.version == job.storedVersion {
			job.endedOn = nil
		}
		l.queueUnstored(job)
		l.orderDeferred(job)
		l.dropTasks(job)
	}
}

// dropTasks frees the tasks of a job once its final state is stored and its runs have
// ended. The job itself is kept for the callers that ask for its state.
func (l *Ledger) dropTasks(job *Job) {
	if job.Final == "" || job.storedVersion < job.finalVersion {
		return
	}
	for _, occ := range job.Occurrences {
		for _, s := range occ.Steps {
			for _, t := range s.Tasks {
				if t.Current != nil {
					return
				}
			}
		}
	}
	job.Occurrences, job.Steps, job.Spec = nil, nil, ""
}

// NotStored returns records of Dirty that could not be stored, or of which it is not
// known.
func (l *Ledger) NotStored(records []Record) {
	for _, r := range records {
		if job := l.Jobs[r.Job]; job != nil {
			job.storing = false
			l.queueUnstored(job)
		}
	}
}

// StoredState returns the state of a job according to its stored progress.
func StoredState(value []byte) (JobState, error) {
	var p progress
	if err := json.Unmarshal(value, &p); err != nil {
		return "", fmt.Errorf("stored progress: %w", err)
	}
	if p.Final != "" {
		return p.Final, nil
	}
	return Active, nil
}

// AddFinal adds a job whose stored state is final, without its tasks.
func (l *Ledger) AddFinal(id string, state JobState, revision uint64, now time.Time) {
	if l.Jobs[id] == nil {
		job := &Job{Job: fleet.Job{ID: id}, Started: true, Final: state, FinalAt: now, revision: revision}
		l.Jobs[id] = job
		delete(l.cancelledEarly, id)
		l.applyEarlyEnds(job, now)
	}
}

// Restore sets the progress of a job from the store, where it has the given
// revision. The job has to be added before, else Restore does nothing. After an
// error no task of the job is started, as it is not known which are done.
func (l *Ledger) Restore(id string, value []byte, revision uint64, now time.Time) error {
	job := l.Jobs[id]
	if job == nil {
		return nil
	}
	err := l.restore(job, value, revision, now)
	if err != nil {
		l.suspend(job)
	}
	return err
}

// suspend keeps the tasks of a job from being started.
func (l *Ledger) suspend(job *Job) {
	for _, occ := range job.Occurrences {
		for _, s := range occ.Steps {
			delete(l.openSteps, s)
		}
	}
	l.scheduled = slices.DeleteFunc(l.scheduled, func(occ *Occurrence) bool { return slices.Contains(job.Occurrences, occ) })
}

func (l *Ledger) restore(job *Job, value []byte, revision uint64, now time.Time) error {
	id, changed := job.ID, job.version > 0 // by ends that were listed before the job was known
	var p progress
	if err := json.Unmarshal(value, &p); err != nil {
		return fmt.Errorf("stored progress of job %s: %w", id, err)
	}
	job.revision = revision
	if p.Final != "" {
		job.Started = true
		l.finish(job, p.Final, now)
		job.storedVersion = job.version
		l.dropTasks(job)
		return nil
	}
	for _, tp := range p.Tasks {
		t := l.taskByID(fleet.TaskID{Job: id, Occurrence: tp.Occurrence, Step: tp.Step, Index: tp.Index})
		if t == nil {
			return fmt.Errorf("stored progress of job %s names task %d.%d.%d, which the job does not have", id, tp.Occurrence, tp.Step, tp.Index)
		}
		job.Started = true
		t.EndedRun, t.LastRun, t.failures, t.crashes, t.Checkpoint = tp.Ended, max(tp.Ended, tp.Crashes.Run), tp.Failed, tp.Crashes, tp.Checkpoint
		for _, f := range tp.Failed {
			t.LastRun = max(t.LastRun, f.Run)
		}
		if tp.Done {
			l.markDone(t, now)
		}
	}
	if job.Final != "" { // all tasks are stored as done, but the final state is not stored
		return nil
	}
	if !changed {
		job.storedVersion = job.version
	}
	return nil
}

// Forget removes the jobs whose final state is stored and older than keep, and the
// cancellations of jobs that have not become known for as long. It returns the ids of both.
func (l *Ledger) Forget(keep time.Duration, now time.Time) (ids, cancelled []string) {
	maps.DeleteFunc(l.cancelledEarly, func(id string, at time.Time) bool {
		if now.Sub(at) <= keep {
			return false
		}
		cancelled = append(cancelled, id)
		return true
	})
	for id, job := range l.Jobs {
		if job.Final != "" && job.storedVersion >= job.version && now.Sub(job.FinalAt) > keep {
			ids = append(ids, id)
			delete(l.Jobs, id)
			l.log(Event{What: "job forgotten", Task: fleet.TaskID{Job: id}, Reason: string(job.Final)})
		}
	}
	return ids, cancelled
}

// Rebase sets the revision of the stored progress of a job after a conflict, so
// that the next record replaces that revision.
func (l *Ledger) Rebase(id string, revision uint64) {
	if job := l.Jobs[id]; job != nil {
		job.revision = revision
	}
}
