package settings

import (
	"fmt"
	"strings"
	"time"
)

// Key describes one key of a role's settings for the documentation.
type Key struct {
	Path     string
	Type     string
	Range    string
	Default  string
	Required bool
	Doc      string
}

// EntryKeys lists the keys of the entry role in the order of the schema.
func EntryKeys() []Key { return describe(new(Entry).fields()) }

// AgentKeys lists the keys of the agent role in the order of the schema.
func AgentKeys() []Key { return describe(new(Agent).fields()) }

func describe(fields []field) []Key {
	keys := make([]Key, len(fields))
	for i, f := range fields {
		keys[i] = f.Key
	}
	return keys
}

// field binds a key to the variable that holds its value.
type field struct {
	Key
	set   func(value any) error // decodes a TOML value
	reset func()                // assigns the default
	get   func() any            // returns the value as TOML writes it
}

// Names and limits of free text.
const (
	maxNameLength = 64
	maxTextLength = 4096
	maxEntries    = 64
)

func (e *Entry) fields() []field {
	return join(
		[]field{
			name(&e.ID, "id", true, "Id of the entry, unique in its region."),
			name(&e.Region, "region", true, "Region of the entry."),
			name(&e.FailureDomain, "failure_domain", true, "Failure domain of the entry's VM."),
			duration(&e.DrainDeadline, "drain_deadline", DrainDeadline, time.Second, time.Hour, "Time allowed for a planned stop."),
			address(&e.HTTP.Listen, "http.listen", true, "Listen address for callers and operators."),
			address(&e.HTTP.Advertise, "http.advertise", false, "Address that callers use; the listen address if empty."),
			address(&e.Session.Listen, "session.listen", true, "Listen address for agents."),
			address(&e.Session.Advertise, "session.advertise", false, "Address that agents use; the listen address if empty."),
			duration(&e.Session.SilenceTimeout, "session.silence_timeout", SilenceTimeout, 500*time.Millisecond, time.Minute, "A session without traffic for this time is closed."),
		},
		e.KV.fields(), e.Requests.fields(), e.Permit.fields(),
		e.TLS.fields(), e.Log.fields(), e.Trace.fields(), e.Metrics.fields())
}

func (a *Agent) fields() []field {
	return join(
		[]field{
			name(&a.VM, "vm", true, "Id of the VM, unique in its region."),
			name(&a.Region, "region", true, "Region of the VM."),
			name(&a.FailureDomain, "failure_domain", true, "Failure domain of the VM."),
			name(&a.Rack, "rack", true, "Rack of the VM."),
			integer(&a.Slots, "slots", Slots, 0, 4096, "Requests that the executor runs at once."),
			integer(&a.Connections, "connections", Connections, 0, 65536, "Connections that the executor accepts."),
			addresses(&a.Entries, "entries", "Session addresses of all entries of the region."),
			duration(&a.SilenceTimeout, "silence_timeout", SilenceTimeout, 500*time.Millisecond, time.Minute, "A session without traffic for this time is closed and redialed."),
			duration(&a.DrainDeadline, "drain_deadline", DrainDeadline, time.Second, time.Hour, "Time allowed for a planned stop."),
			required(integer(&a.Capacity.MilliCPU, "capacity.milli_cpu", 0, 0, 10_000_000, "Processors, in thousandths of a core.")),
			required(integer(&a.Capacity.MemoryMB, "capacity.memory_mb", 0, 0, 100_000_000, "Memory, in MiB.")),
			integer(&a.Capacity.Accelerators, "capacity.accelerators", 0, 0, 1024, "Accelerators, in whole devices."),
			url(&a.Worker.Address, "worker.address", false, "Base URL of the worker; without it the VM runs no tasks."),
			url(&a.Upstream.Address, "upstream.address", false, "Base URL of the executor; without it the VM serves no requests."),
			integer(&a.Records.Limit, "records.limit", RecordLimit, 16, 1_000_000, "Outcome records kept in memory."),
			duration(&a.Records.RetainFor, "records.retain_for", RetainFor, time.Second, 24*time.Hour, "Age at which an outcome record is dropped."),
			address(&a.HTTP.Listen, "http.listen", false, "Listen address for health and metrics; none if empty."),
		},
		a.Permit.fields(), a.TLS.fields(), a.Log.fields(), a.Trace.fields(), a.Metrics.fields())
}

func (k *KV) fields() []field {
	return []field{
		url(&k.Address, "kv.address", true, "Base URL of the key-value service."),
		duration(&k.Timeout, "kv.timeout", KVTimeout, 10*time.Millisecond, 30*time.Second, "Time limit of one call."),
		duration(&k.PollInterval, "kv.poll_interval", KVPollInterval, 100*time.Millisecond, 10*time.Second, "Time between reads of the revision and the ownership table."),
		duration(&k.EntryLease, "kv.entry_lease", KVEntryLease, 2*time.Second, time.Minute, "Lease of the entry's liveness key."),
		duration(&k.TakeoverGrace, "kv.takeover_grace", KVTakeoverGrace, time.Second, 5*time.Minute, "Time after an outage without shard takeovers."),
		duration(&k.NoContact, "kv.no_contact", KVNoContact, time.Second, time.Minute, "Time without an answer after which the entry attests to the outage."),
		duration(&k.RecoverySpread, "kv.recovery_spread", KVRecoverySpread, 0, time.Minute, "Time over which reads are spread after an outage."),
		duration(&k.LogFlush, "kv.log_flush", LogFlushInterval, 10*time.Millisecond, 10*time.Second, "Group commit interval of a job shard."),
	}
}

func (r *Requests) fields() []field {
	return []field{
		integer(&r.MaxBodyBytes, "requests.max_body_bytes", MaxBodyBytes, 1024, 960*1024, "Largest body of an HTTP call, in bytes."),
		duration(&r.MaxTimeout, "requests.max_timeout", MaxRequestTimeout, time.Second, 24*time.Hour, "Longest time that a caller may ask for."),
		integer(&r.QueueLimit, "requests.queue_limit", QueueLimit, 1, 1_000_000, "Requests that may wait in the entry."),
		integer(&r.RetainedAnswers, "requests.retained_answers", RetainedAnswers, 1, 1_000_000, "Answers kept for callers that reconnect."),
		integer(&r.RetainedMB, "requests.retained_mb", RetainedMB, 1, 65536, "Total size of the answers kept, in MiB."),
		duration(&r.RetainFor, "requests.retain_for", RetainFor, time.Second, 24*time.Hour, "Age at which a kept answer is dropped."),
	}
}

func (p *Permit) fields() []field {
	return []field{
		duration(&p.Duration, "permit.duration", PermitDuration, time.Second, 10*time.Minute, "Validity of a permit after a verified renewal (L)."),
		duration(&p.Margin, "permit.margin", PermitMargin, 100*time.Millisecond, time.Minute, "Added to L before an attempt is considered expired."),
		integer(&p.DriftPercent, "permit.drift_percent", PermitDriftPercent, 0, 50, "Allowed drift of monotonic clocks, in percent."),
		duration(&p.HoldLimit, "permit.hold_limit", PermitHoldLimit, time.Minute, 7*24*time.Hour, "Longest renewal by attestation alone (H)."),
		duration(&p.Heartbeat, "permit.heartbeat", HeartbeatInterval, 100*time.Millisecond, time.Minute, "Time between heartbeats of an agent."),
	}
}

func (t *TLS) fields() []field {
	return []field{
		text(&t.Cert, "tls.cert", "", "PEM file with the certificate; set all three files or none."),
		text(&t.Key, "tls.key", "", "PEM file with the private key."),
		text(&t.CA, "tls.ca", "", "PEM file with the certificate authorities of the peers."),
	}
}

func (l *Log) fields() []field {
	return []field{
		choice(&l.Level, "log.level", "info", []string{"debug", "info", "warn", "error"}, "Least level that is written."),
		choice(&l.Format, "log.format", "text", []string{"text", "json"}, "Format of a line."),
	}
}

func (t *Trace) fields() []field {
	return []field{
		choice(&t.Exporter, "trace.exporter", "none", []string{"none", "stdout", "file", "otlp"}, "Destination of spans."),
		text(&t.Target, "trace.target", "", "Path for file, base URL for otlp."),
		integer(&t.SamplePercent, "trace.sample_percent", TraceSamplePercent, 0, 100, "Share of traces that are exported, in percent."),
	}
}

func (m *Metrics) fields() []field {
	return []field{boolean(&m.Enabled, "metrics.enabled", true, "Whether /debug/vars is served.")}
}

func join(parts ...[]field) []field {
	var all []field
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

func required(f field) field {
	f.Required, f.Default = true, ""
	return f
}

func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = s[:len(s)-2]
	}
	if strings.HasSuffix(s, "h0m") {
		s = s[:len(s)-2]
	}
	return s
}

func between(low, high any) string { return fmt.Sprintf("%v to %v", low, high) }
