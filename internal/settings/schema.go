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

// field binds a key to the struct field that holds its value.
type field struct {
	Key
	set   func(value any) error // decodes a TOML value
	reset func()                // assigns the default
	get   func() any            // returns the value in its TOML form
}

// Limits of names, text and lists.
const (
	maxNameLength = 64   // bytes
	maxTextLength = 4096 // bytes
	maxEntries    = 64   // addresses in a list
)

func (e *Entry) fields() []field {
	return concat(
		[]field{
			nameField(&e.ID, "id", true, "Id of the entry, unique in its region."),
			nameField(&e.Region, "region", true, "Region of the entry."),
			nameField(&e.FailureDomain, "failure_domain", true, "Failure domain of the entry's VM."),
			durationField(&e.DrainDeadline, "drain_deadline", DrainDeadline, time.Second, time.Hour, "Time allowed for a planned stop."),
			addressField(&e.HTTP.Listen, "http.listen", true, "Listen address for callers and operators."),
			addressField(&e.HTTP.Advertise, "http.advertise", false, "Address that callers use; the listen address if empty."),
			addressField(&e.Session.Listen, "session.listen", true, "Listen address for agents."),
			addressField(&e.Session.Advertise, "session.advertise", false, "Address that agents use; the listen address if empty."),
			durationField(&e.Session.SilenceTimeout, "session.silence_timeout", SilenceTimeout, 500*time.Millisecond, time.Minute, "A session without traffic for this time is closed."),
		},
		e.KV.fields(), e.Requests.fields(), e.Permit.fields(),
		e.TLS.fields(), e.Log.fields(), e.Trace.fields(), e.Metrics.fields())
}

func (a *Agent) fields() []field {
	return concat(
		[]field{
			nameField(&a.VM, "vm", true, "Id of the VM, unique in its region."),
			nameField(&a.Region, "region", true, "Region of the VM."),
			nameField(&a.FailureDomain, "failure_domain", true, "Failure domain of the VM."),
			nameField(&a.Rack, "rack", true, "Rack of the VM."),
			integerField(&a.Slots, "slots", Slots, 0, 4096, "Requests that the executor runs at once."),
			integerField(&a.Connections, "connections", Connections, 0, 65536, "Connections that the executor accepts."),
			addressListField(&a.Entries, "entries", "Session addresses of all entries of the region."),
			durationField(&a.SilenceTimeout, "silence_timeout", SilenceTimeout, 500*time.Millisecond, time.Minute, "A session without traffic for this time is closed and redialed."),
			durationField(&a.DrainDeadline, "drain_deadline", DrainDeadline, time.Second, time.Hour, "Time allowed for a planned stop."),
			required(integerField(&a.Capacity.MilliCPU, "capacity.milli_cpu", 0, 0, 10_000_000, "Processors, in thousandths of a core.")),
			required(integerField(&a.Capacity.MemoryMB, "capacity.memory_mb", 0, 0, 100_000_000, "Memory, in MiB.")),
			integerField(&a.Capacity.Accelerators, "capacity.accelerators", 0, 0, 1024, "Accelerators, in whole devices."),
			urlField(&a.Worker.Address, "worker.address", false, "Base URL of the worker; without it the VM runs no tasks."),
			urlField(&a.Upstream.Address, "upstream.address", false, "Base URL of the executor; without it the VM serves no requests."),
			integerField(&a.Records.Limit, "records.limit", RecordLimit, 16, 1_000_000, "Outcome records kept in memory."),
			durationField(&a.Records.RetainFor, "records.retain_for", RetainFor, time.Second, 24*time.Hour, "Age at which an outcome record is dropped."),
			addressField(&a.HTTP.Listen, "http.listen", false, "Listen address for health and metrics; none if empty."),
		},
		a.Permit.fields(), a.TLS.fields(), a.Log.fields(), a.Trace.fields(), a.Metrics.fields())
}

func (k *KV) fields() []field {
	return []field{
		urlField(&k.Address, "kv.address", true, "Base URL of the key-value service."),
		durationField(&k.Timeout, "kv.timeout", KVTimeout, 10*time.Millisecond, 30*time.Second, "Time limit of one call."),
		durationField(&k.PollInterval, "kv.poll_interval", KVPollInterval, 100*time.Millisecond, 10*time.Second, "Time between reads of the revision and the ownership table."),
		durationField(&k.EntryLease, "kv.entry_lease", KVEntryLease, 2*time.Second, time.Minute, "Lease of the entry's liveness key."),
		durationField(&k.TakeoverGrace, "kv.takeover_grace", KVTakeoverGrace, time.Second, 5*time.Minute, "Time after an outage without shard takeovers."),
		durationField(&k.NoContactTimeout, "kv.no_contact", KVNoContactTimeout, time.Second, time.Minute, "Time without an answer after which the entry attests to the outage."),
		durationField(&k.RecoverySpread, "kv.recovery_spread", KVRecoverySpread, 0, time.Minute, "Time over which reads are spread after an outage."),
		durationField(&k.LogFlushInterval, "kv.log_flush", LogFlushInterval, 10*time.Millisecond, 10*time.Second, "Group commit interval of a job shard."),
	}
}

func (r *Requests) fields() []field {
	return []field{
		integerField(&r.MaxBodyBytes, "requests.max_body_bytes", MaxBodyBytes, 1024, 960*1024, "Largest body of an HTTP call, in bytes."),
		durationField(&r.MaxTimeout, "requests.max_timeout", MaxRequestTimeout, time.Second, 24*time.Hour, "Longest time that a caller may ask for."),
		integerField(&r.QueueLimit, "requests.queue_limit", QueueLimit, 1, 1_000_000, "Requests that may wait in the entry."),
		integerField(&r.RetainedAnswers, "requests.retained_answers", RetainedAnswers, 1, 1_000_000, "Answers kept for callers that reconnect."),
		integerField(&r.RetainedMB, "requests.retained_mb", RetainedMB, 1, 65536, "Total size of the answers kept, in MiB."),
		durationField(&r.RetainFor, "requests.retain_for", RetainFor, time.Second, 24*time.Hour, "Age at which a kept answer is dropped."),
	}
}

func (p *Permit) fields() []field {
	return []field{
		durationField(&p.Duration, "permit.duration", PermitDuration, time.Second, 10*time.Minute, "Validity of a permit after a verified renewal (L)."),
		durationField(&p.Margin, "permit.margin", PermitMargin, 100*time.Millisecond, time.Minute, "Added to L before an attempt is considered expired."),
		integerField(&p.DriftPercent, "permit.drift_percent", PermitDriftPercent, 0, 50, "Allowed drift of monotonic clocks, in percent."),
		durationField(&p.HoldLimit, "permit.hold_limit", PermitHoldLimit, time.Minute, 7*24*time.Hour, "Longest renewal by attestation alone (H)."),
		durationField(&p.Heartbeat, "permit.heartbeat", HeartbeatInterval, 100*time.Millisecond, time.Minute, "Time between heartbeats of an agent."),
	}
}

func (t *TLS) fields() []field {
	return []field{
		textField(&t.Cert, "tls.cert", "", "PEM file with the certificate; set all three files or none."),
		textField(&t.Key, "tls.key", "", "PEM file with the private key."),
		textField(&t.CA, "tls.ca", "", "PEM file with the certificate authorities of the peers."),
	}
}

func (l *Log) fields() []field {
	return []field{
		choiceField(&l.Level, "log.level", "info", []string{"debug", "info", "warn", "error"}, "Least level that is written."),
		choiceField(&l.Format, "log.format", "text", []string{"text", "json"}, "Format of a line."),
	}
}

func (t *Trace) fields() []field {
	return []field{
		choiceField(&t.Exporter, "trace.exporter", "none", []string{"none", "stdout", "file", "otlp"}, "Destination of spans."),
		textField(&t.Target, "trace.target", "", "Path for file, base URL for otlp."),
		integerField(&t.SamplePercent, "trace.sample_percent", TraceSamplePercent, 0, 100, "Share of traces that are exported, in percent."),
	}
}

func (m *Metrics) fields() []field {
	return []field{booleanField(&m.Enabled, "metrics.enabled", true, "Whether /debug/vars is served.")}
}

func concat(parts ...[]field) []field {
	var all []field
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

// required returns f as a key that must be present and has no default.
func required(f field) field {
	f.Required, f.Default = true, ""
	return f
}

// formatDuration formats d without the zero units that Duration.String appends:
// 1h instead of 1h0m0s.
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

// formatRange formats a range for the documentation and error messages.
func formatRange(low, high any) string { return fmt.Sprintf("%v to %v", low, high) }
