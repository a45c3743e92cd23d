// Package settings parses the TOML settings of the entry and agent roles.
//
// Parsing is strict: an unknown key, a value of the wrong type or without a
// unit, a value out of range and a missing required key are all reported in
// one error, each with its key path and line number.
package settings

import "time"

// Defaults of the settings.
const (
	// PermitDuration (L) is the validity of a permit after a verified renewal.
	PermitDuration = 10 * time.Second
	// PermitMargin is added to PermitDuration before an attempt is considered
	// expired.
	PermitMargin = 1 * time.Second
	// PermitDriftPercent is the largest drift of a monotonic clock, in percent.
	PermitDriftPercent = 1
	// PermitHoldLimit (H) is the longest time for which a permit is renewed by
	// attestation alone.
	PermitHoldLimit = 6 * time.Hour
	// HeartbeatInterval is the time between two heartbeats of an agent to an entry.
	HeartbeatInterval = 2 * time.Second
	// SilenceTimeout is the time without traffic after which a session is closed.
	SilenceTimeout = 2 * time.Second
	// KVTimeout is the time limit of one call to the key-value service.
	KVTimeout = 1 * time.Second
	// KVPollInterval is the time between reads of the revision and the ownership
	// table.
	KVPollInterval = 1 * time.Second
	// KVEntryLease is the lease of an entry's liveness key.
	KVEntryLease = 10 * time.Second
	// KVTakeoverGrace is the time after an outage during which no shard is taken
	// over.
	KVTakeoverGrace = 15 * time.Second
	// KVNoContactTimeout is the time without an answer of the key-value service
	// after which an entry attests to the outage.
	KVNoContactTimeout = 3 * time.Second
	// KVRecoverySpread is the time over which an entry spreads its reads after an
	// outage.
	KVRecoverySpread = 5 * time.Second
	// LogFlushInterval is the group commit interval of a job shard that has
	// unwritten records.
	LogFlushInterval = 250 * time.Millisecond
	// MaxBodyBytes is the largest body of an HTTP call. It is below the largest
	// frame of a session, 1 MB.
	MaxBodyBytes = 512 * 1024
	// MaxRequestTimeout is the largest value of the header Request-Timeout.
	MaxRequestTimeout = 10 * time.Minute
	// QueueLimit is the largest number of requests that wait in one entry.
	QueueLimit = 4096
	// RetainedAnswers is the largest number of answers kept for callers that
	// reconnect.
	RetainedAnswers = 8192
	// RetainedMB is the largest total size of these answers, in MiB.
	RetainedMB = 16
	// RecordLimit is the largest number of outcome records of an agent.
	RecordLimit = 16384
	// RetainFor is the age at which answers and outcome records are dropped.
	RetainFor = 10 * time.Minute
	// DrainDeadline is the time allowed for a planned stop.
	DrainDeadline = 2 * time.Minute
	// Slots is the number of requests that an executor runs at once.
	Slots = 8
	// Connections is the number of connections that an executor accepts.
	Connections = 64
	// TraceSamplePercent is the share of traces that are exported.
	TraceSamplePercent = 100
)

// HTTP configures an HTTP listener.
type HTTP struct {
	Listen    string // host:port
	Advertise string // host:port that others dial; the listen address if empty
}

// Session configures the listener for agents' sessions.
type Session struct {
	Listen         string
	Advertise      string
	SilenceTimeout time.Duration
}

// KV configures the client of the key-value service. The constants KVTimeout
// to LogFlushInterval describe its times.
type KV struct {
	Address          string // base URL
	Timeout          time.Duration
	PollInterval     time.Duration
	EntryLease       time.Duration
	TakeoverGrace    time.Duration
	NoContactTimeout time.Duration
	RecoverySpread   time.Duration
	LogFlushInterval time.Duration
}

// Requests are the limits of the request path.
type Requests struct {
	MaxBodyBytes    int64
	MaxTimeout      time.Duration
	QueueLimit      int64
	RetainedAnswers int64
	RetainedMB      int64
	RetainFor       time.Duration
}

// Permit holds the times that govern the permits to run attempts of tasks (package
// coord/lease). They must be equal in all entries and agents of a region.
type Permit struct {
	Duration     time.Duration
	Margin       time.Duration
	DriftPercent int64
	HoldLimit    time.Duration
	Heartbeat    time.Duration
}

// TLS holds the paths of PEM files for mutual TLS. Empty paths disable TLS.
type TLS struct {
	Cert string
	Key  string
	CA   string
}

// Enabled reports whether TLS is used.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Log selects the lowest level and the format of log lines.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // text or json
}

// Trace selects the span exporter.
type Trace struct {
	Exporter      string // none, stdout, file or otlp
	Target        string // path for file, URL for otlp
	SamplePercent int64
}

// Metrics selects whether /debug/vars is served.
type Metrics struct {
	Enabled bool
}

// Entry holds the settings of the entry role.
type Entry struct {
	ID            string
	Region        string
	FailureDomain string
	DrainDeadline time.Duration
	HTTP          HTTP
	Session       Session
	KV            KV
	Requests      Requests
	Permit        Permit
	TLS           TLS
	Log           Log
	Trace         Trace
	Metrics       Metrics
}

// Capacity holds the resources that a VM offers to tasks.
type Capacity struct {
	MilliCPU     int64 // thousandths of a core
	MemoryMB     int64 // MiB
	Accelerators int64 // whole devices
}

// Endpoint is the base URL of a service on the agent's VM.
type Endpoint struct {
	Address string
}

// Records bounds the outcome records of an agent.
type Records struct {
	Limit     int64
	RetainFor time.Duration
}

// Agent holds the settings of the agent role.
type Agent struct {
	VM             string
	Region         string
	FailureDomain  string
	Rack           string
	Slots          int64
	Connections    int64
	Entries        []string // session addresses, host:port
	SilenceTimeout time.Duration
	DrainDeadline  time.Duration
	Capacity       Capacity
	Worker         Endpoint
	Upstream       Endpoint
	Records        Records
	HTTP           HTTP
	Permit         Permit
	TLS            TLS
	Log            Log
	Trace          Trace
	Metrics        Metrics
}

// ParseEntry parses the settings of an entry. The error is Faults.
func ParseEntry(document []byte) (Entry, error) {
	var e Entry
	err := parse(document, e.fields())
	if err != nil {
		return Entry{}, err
	}
	if e.HTTP.Advertise == "" {
		e.HTTP.Advertise = e.HTTP.Listen
	}
	if e.Session.Advertise == "" {
		e.Session.Advertise = e.Session.Listen
	}
	return e, nil
}

// ParseAgent parses the settings of an agent. The error is Faults.
func ParseAgent(document []byte) (Agent, error) {
	var a Agent
	if err := parse(document, a.fields()); err != nil {
		return Agent{}, err
	}
	return a, nil
}

// Effective returns the settings including defaults as TOML that parses to the same
// settings.
func (e *Entry) Effective() string { return render(e.fields()) }

// Effective returns the settings including defaults as TOML that parses to the same
// settings.
func (a *Agent) Effective() string { return render(a.fields()) }
