package audit

import "vanillalock.example/vanillalock/internal/standin/upstream"

// checkExecutions checks the limits of the upstreams and the executions of
// requests.
func checkExecutions(r *Report, in Input) {
	refused := map[string]bool{}
	for _, id := range in.NotRun {
		refused[id] = true
	}
	effects := map[string]upstream.Execution{}
	for _, u := range in.Upstreams {
		checkLimits(r, u)
		for _, e := range u.Executions {
			r.Executions++
			if refused[e.RequestID] {
				r.add(FalseRefusal, e.StartUnixNs, e.RequestID, "ran on %s although it was reported as not run", e.Upstream)
			}
			checkEffect(r, effects, e)
		}
	}
}

func checkLimits(r *Report, u upstream.Records) {
	if u.Dropped > 0 {
		r.add(Incomplete, 0, u.Upstream, "%d executions are missing", u.Dropped)
	}
	for range u.SlotViolations {
		r.add(OverLimit, 0, u.Upstream, "request beyond the slots")
	}
	for range u.ConnectionViolations {
		r.add(OverLimit, 0, u.Upstream, "request beyond the connections")
	}
}

// checkEffect reports the second and later executions of a non-idempotent
// request. An execution counts from its start, even if it failed or its caller
// disconnected. Idempotent requests may run again.
func checkEffect(r *Report, effects map[string]upstream.Execution, e upstream.Execution) {
	if e.Idempotent {
		return
	}
	key := "key " + e.IdempotencyKey
	if e.IdempotencyKey == "" {
		key = "request " + e.RequestID
	}
	first, seen := effects[key]
	if !seen {
		effects[key] = e
		return
	}
	r.add(DuplicateEffect, e.StartUnixNs, key, "ran on %s as %s and on %s as %s", first.Upstream, first.RequestID, e.Upstream, e.RequestID)
}
