package agent

import "sync/atomic"

// Metrics counts what the agent did since its start.
type Metrics struct {
	requestsRun     atomic.Int64 // requests passed to the upstream
	requestsRefused atomic.Int64 // requests refused without running them
	framesDropped   atomic.Int64 // control frames dropped for slow entries
	taskStarts      atomic.Int64 // task attempts started
	permitExpiries  atomic.Int64 // permits that expired or were revoked

	requestBytes atomic.Uint64 // of requests and answers; the rest is control traffic
}

func newMetrics() *Metrics { return &Metrics{} }

// Snapshot holds the values of the metrics at one time, as published by expvar.
type Snapshot struct {
	RequestsRun     int64  `json:"requests_run"`
	RequestsRefused int64  `json:"requests_refused"`
	FramesDropped   int64  `json:"frames_dropped"`
	TaskStarts      int64  `json:"task_starts"`
	PermitExpiries  int64  `json:"permit_expiries"`
	BytesSent       uint64 `json:"bytes_sent"`
	BytesReceived   uint64 `json:"bytes_received"`
	ControlBytes    uint64 `json:"control_bytes"` // sent and received, without requests and answers
}

// Metrics returns the current values.
func (a *Agent) Metrics() Snapshot {
	requests := a.metrics.requestBytes.Load()
	total := a.stats.BytesSent.Load() + a.stats.BytesReceived.Load()
	return Snapshot{
		ControlBytes: total - min(requests, total),
		RequestsRun:  a.metrics.requestsRun.Load(), RequestsRefused: a.metrics.requestsRefused.Load(),
		FramesDropped: a.metrics.framesDropped.Load(), TaskStarts: a.metrics.taskStarts.Load(),
		PermitExpiries: a.metrics.permitExpiries.Load(),
		BytesSent:      a.stats.BytesSent.Load(), BytesReceived: a.stats.BytesReceived.Load(),
	}
}
