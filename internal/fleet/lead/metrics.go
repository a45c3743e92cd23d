package lead

import (
	"strings"

	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/obs"
)

// Metrics are the counters and latencies of an entry.
type Metrics struct {
	set    *obs.Metrics
	Commit *obs.Latency // of progress to the store
	Plan   *obs.Latency // duration of a plan
	Loop   *obs.Latency // from the arrival of an event at the leader's loop to its handling
	Submit *obs.Latency // of submissions, measured at the entry
	State  *obs.Latency // of requests for the state of a job

	OrderBytes    obs.Counter // of frames to agents
	Reports       obs.Counter // of agents
	ReportBytes   obs.Counter
	LongWaits     obs.Counter // steps with a task that has long waited for a VM, again each waitLineEvery
	LongOrders    obs.Counter // starts and stops that are long without an outcome, in the same way
	LongTakeovers obs.Counter // takeovers that hold tasks back for long, in the same way

	EvacuatedDomains obs.Gauge // failure domains in which the leader starts nothing
}

// NewMetrics returns the metrics of an entry, published under the given name.
func NewMetrics(name string) *Metrics {
	set := obs.NewMetrics(name)
	return &Metrics{
		set: set, OrderBytes: set.Counter("order_bytes"), Reports: set.Counter("reports"), ReportBytes: set.Counter("report_bytes"),
		LongWaits: set.Counter("long_waits"), LongOrders: set.Counter("long_orders"), LongTakeovers: set.Counter("long_takeovers"), EvacuatedDomains: set.Gauge("evacuated_domains"),
		Commit: set.Latency("commit"), Plan: set.Latency("plan"), Loop: set.Latency("loop_delay"), Submit: set.Latency("submit"), State: set.Latency("state"),
	}
}

// count counts an event of the ledger by its kind.
func (m *Metrics) count(e ledger.Event) {
	m.set.Counter("ledger_" + strings.ReplaceAll(e.What, " ", "_")).Add(1)
}

// Answered counts an answer to a caller by call and result.
func (m *Metrics) Answered(call string, result uint8) {
	m.set.Counter("answered_" + call + "_" + string('0'+rune(result))).Add(1)
}
