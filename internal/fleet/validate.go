package fleet

import "fmt"

// Limits of a job. They bound the memory that one job takes at the leader.
const (
	MaxSpecBytes   = 4000
	MaxSteps       = 64
	MaxTasksOfAJob = 20000 // over all steps and occurrences
)

// Validate checks that the leader can hold the job. Steps may depend on earlier ones
// only, which rules out cycles.
func (j *Job) Validate() error {
	if len(j.Spec) > MaxSpecBytes {
		return fmt.Errorf("spec has %d bytes, at most %d are allowed", len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("%d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	if j.Repeats < 0 || j.Repeats > MaxTasksOfAJob || j.Interval < 0 {
		return fmt.Errorf("repeats %d is not between 0 and %d, or the interval %v is negative", j.Repeats, MaxTasksOfAJob, j.Interval)
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Count * max(1, j.Repeats)
	}
	if tasks > MaxTasksOfAJob {
		return fmt.Errorf("%d tasks, at most %d are allowed", tasks, MaxTasksOfAJob)
	}
	return nil
}

// validate checks the step with the given index of a job.
func (s *Step) validate(index int) error {
	if s.Count <= 0 || s.Count > MaxTasksOfAJob {
		return fmt.Errorf("step %d has %d tasks", index, s.Count)
	}
	if s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 || s.Estimate < 0 || s.TailTarget < 0 || s.MaxPerVM < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("step %d has a negative number", index)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return fmt.Errorf("step %d comes after step %d, which is not an earlier one", index, dependency)
		}
	}
	return nil
}
