package entry

import (
	"sync/atomic"

	"vanillalock.example/vanillalock/internal/rescode"
)

// Metrics holds the counters of an entry since its start.
type Metrics struct {
	done          atomic.Int64
	notRun        atomic.Int64
	unknown       atomic.Int64
	hedges        atomic.Int64
	framesDropped atomic.Int64
	placements    atomic.Int64
	refusedStarts atomic.Int64
	evictions     atomic.Int64
	takeovers     atomic.Int64
	logWrites     atomic.Int64
}

// count counts an answered request by the outcome of its code.
func (m *Metrics) count(code rescode.Code) {
	switch code.Outcome() {
	case rescode.Done:
		m.done.Add(1)
	case rescode.NotRun:
		m.notRun.Add(1)
	default:
		m.unknown.Add(1)
	}
}

// Snapshot is a copy of the counters, published by expvar.
type Snapshot struct {
	RequestsDone    int64  `json:"requests_done"`
	RequestsNotRun  int64  `json:"requests_not_run"`
	RequestsUnknown int64  `json:"requests_unknown"`
	Hedges          int64  `json:"hedges"` // second copies of late idempotent requests
	FramesDropped   int64  `json:"frames_dropped"`
	Placements      int64  `json:"placements"`
	RefusedStarts   int64  `json:"refused_starts"`
	Evictions       int64  `json:"evictions"`
	Takeovers       int64  `json:"takeovers"`
	LogWrites       int64  `json:"log_writes"`
	BytesSent       uint64 `json:"bytes_sent"`
	BytesReceived   uint64 `json:"bytes_received"`
}

// Metrics returns the current values of the counters.
func (e *Entry) Metrics() Snapshot {
	m := &e.metrics
	return Snapshot{
		RequestsDone: m.done.Load(), RequestsNotRun: m.notRun.Load(), RequestsUnknown: m.unknown.Load(), Hedges: m.hedges.Load(),
		FramesDropped: m.framesDropped.Load(), Placements: m.placements.Load(), RefusedStarts: m.refusedStarts.Load(),
		Evictions: m.evictions.Load(), Takeovers: m.takeovers.Load(), LogWrites: m.logWrites.Load(),
		BytesSent: e.stats.BytesSent.Load(), BytesReceived: e.stats.BytesReceived.Load(),
	}
}
