package entry

import (
	"time"

	"vanillalock.example/vanillalock/internal/jobs"
	"vanillalock.example/vanillalock/internal/scheduler"
	"vanillalock.example/vanillalock/internal/scheduler/plugins"
	"vanillalock.example/vanillalock/internal/scheduler/plugins/quarantine"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire/pb"
	"vanillalock.example/vanillalock/internal/worker"
)

// policy decides which VMs take tasks and which tasks give way.
type policy struct {
	jobs       *jobControl
	quarantine *quarantine.Tracker
}

type noSlowdown struct{}

func (noSlowdown) Pair(string, string) float64 { return 0 }

func newPolicy(j *jobControl) (*policy, *scheduler.Scheduler) {
	p := &policy{jobs: j, quarantine: quarantine.NewTracker()}
	set, _ := plugins.Default(noSlowdown{})
	return p, scheduler.New(scheduler.Config{}, set, j.ledger)
}

// nodeChanged refreshes the conditions of a VM.
func (p *policy) nodeChanged(a *agentState) {
	p.jobs.sched.SetFlags(a.node.ID, scheduler.Flags{
		Leaving:     a.leaving || a.session == nil,
		Quarantined: p.quarantine.Quarantined(a.node.ID, time.Now()),
	})
}

func (p *policy) everySecond(time.Time) {
	for _, a := range p.jobs.c.agents {
		p.nodeChanged(a)
	}
}

// ended records the end of an attempt and marks failures that are the worker's.
func (p *policy) ended(a *agentState, id structs.TaskID, ev *jobs.Event) {
	failed := ev.End == worker.Failed
	ev.WorkerFault = p.quarantine.Ended(a.node.ID, id.Job, failed, len(p.jobs.c.agents), time.Now()) && failed
	p.nodeChanged(a)
}

func (p *policy) released(structs.TaskID) {}

func (p *policy) victims(scheduler.Decision) []structs.TaskID { return nil }

func (p *policy) onUsage(*agentState, []*pb.TaskUsage) {}
