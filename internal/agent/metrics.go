package agent

import "sync/atomic"

// Metrics counts what the agent did since its start.
type Metrics struct {
	ran      atomic.Int64 // requests handed to the upstream
	refused  atomic.Int64 // requests refused as not run
	dropped  atomic.Int64 // control frames dropped for slow entries
	starts   atomic.Int64 // task attempts started
	expiries atomic.Int64 // permits that ended

	requestBytes atomic.Uint64 // of requests and answers; the rest is control traffic
}

func newMetrics() *Metrics { return &Metrics{} }

// Snapshot is a reading of the metrics for expvar.
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

// Metrics returns the current reading.
func (a *Agent) Metrics() Snapshot {
	requests := a.metrics.requestBytes.Load()
	total := a.stats.BytesSent.Load() + a.stats.BytesReceived.Load()
	return Snapshot{
		ControlBytes: total - min(requests, total),
		RequestsRun:  a.metrics.ran.Load(), RequestsRefused: a.metrics.refused.Load(),
		FramesDropped: a.metrics.dropped.Load(), TaskStarts: a.metrics.starts.Load(),
		PermitExpiries: a.metrics.expiries.Load(),
		BytesSent:      a.stats.BytesSent.Load(), BytesReceived: a.stats.BytesReceived.Load(),
	}
}
