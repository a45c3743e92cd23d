package audit

import (
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/standin/upstream"
	"vanillalock.example/vanillalock/internal/standin/worker"
	"vanillalock.example/vanillalock/internal/structs"
	api "vanillalock.example/vanillalock/internal/worker"
)

var core = structs.Resources{MilliCPU: 1000, MemoryMB: 100}

func event(at int64, kind worker.EventKind, attempt uint32, state api.State) worker.Event {
	return worker.Event{
		AtUnixNs: at, Kind: kind, State: state, Resources: core,
		Task: structs.TaskID{Job: "render"}, Token: structs.Token{Generation: 1, Attempt: attempt},
	}
}

func resumed(e worker.Event) worker.Event {
	e.ResumedFrom = "checkpoint:render:0:1:50"
	return e
}

func vm(name string, events ...worker.Event) worker.Records {
	return worker.Records{Worker: name, Capacity: core, Events: events}
}

func execution(id, key string, idempotent bool) upstream.Execution {
	return upstream.Execution{Upstream: "u", RequestID: id, IdempotencyKey: key, Idempotent: idempotent}
}

// TestCheck guards against a check that misses a violation or reports one for
// valid records.
func TestCheck(t *testing.T) {
	start, end := worker.EventStart, worker.EventEnd
	first := vm("a", event(0, start, 1, api.Running), event(10, worker.EventLapse, 1, api.Lapsed))
	other := event(6, start, 1, api.Running)
	other.Task.Index = 1
	refused := other
	refused.Kind = worker.EventOverCapacity
	executions := func(e ...upstream.Execution) Input {
		return Input{Upstreams: []upstream.Records{{Upstream: "u", Executions: e}}}
	}
	workers := func(w ...worker.Records) Input { return Input{Workers: w} }
	falseRefusal := executions(execution("r", "", true))
	falseRefusal.NotRun = []string{"r"}
	for name, c := range map[string]struct {
		in   Input
		want map[Kind]int
	}{
		"moved after the lapse":  {workers(first, vm("b", resumed(event(10, start, 2, api.Running)), event(20, end, 2, api.Done))), map[Kind]int{}},
		"runs in two places":     {workers(first, vm("b", event(9, start, 2, api.Running))), map[Kind]int{Overlap: 1}},
		"never ended":            {workers(vm("a", event(0, start, 1, api.Running)), vm("b", event(99, start, 2, api.Running))), map[Kind]int{Overlap: 1}},
		"resumed while running":  {workers(first, vm("b", resumed(event(9, start, 2, api.Running)))), map[Kind]int{Overlap: 1, DoubleResume: 1}},
		"completed twice":        {workers(vm("a", event(0, start, 1, api.Running), event(5, end, 1, api.Done)), vm("b", event(6, start, 2, api.Running), event(8, end, 2, api.Done))), map[Kind]int{DoubleCompletion: 1}},
		"failed, then completed": {workers(vm("a", event(0, start, 1, api.Running), event(5, end, 1, api.Failed)), vm("b", event(6, start, 2, api.Running), event(8, end, 2, api.Done))), map[Kind]int{}},
		"over capacity":          {workers(vm("a", event(0, start, 1, api.Running), other)), map[Kind]int{OverCapacity: 1}},
		"refused for capacity":   {workers(vm("a", event(0, start, 1, api.Running), refused)), map[Kind]int{OverCapacity: 1}},
		"refused although fits":  {workers(vm("a", refused)), map[Kind]int{Incomplete: 1}},
		"end without start":      {workers(vm("a", event(5, end, 1, api.Done))), map[Kind]int{Incomplete: 1}},
		"events dropped":         {workers(worker.Records{Dropped: 1}), map[Kind]int{Incomplete: 1}},
		"key executed twice":     {executions(execution("r1", "k", false), execution("r2", "k", false)), map[Kind]int{DuplicateEffect: 1}},
		"request executed twice": {executions(execution("r", "", false), execution("r", "", false)), map[Kind]int{DuplicateEffect: 1}},
		"idempotent retry":       {executions(execution("r", "k", true), execution("r", "k", true)), map[Kind]int{}},
		"ran after not run":      {falseRefusal, map[Kind]int{FalseRefusal: 1}},
		"beyond limits":          {Input{Upstreams: []upstream.Records{{SlotViolations: 2, ConnectionViolations: 1, Dropped: 1}}}, map[Kind]int{OverLimit: 3, Incomplete: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			report := Check(c.in)
			require.Equal(t, c.want, report.Counts, "%+v", report.Violations)
			require.Equal(t, len(c.want) == 0, report.OK())
		})
	}
	require.Equal(t, 2, Check(executions(execution("a", "", true), execution("b", "", true))).Executions)
	require.Equal(t, 1, Check(workers(first)).Starts)
}
