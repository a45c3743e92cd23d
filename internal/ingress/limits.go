// Package ingress protects a process against clients that it does not control: heads of
// requests without end or of very many lines, large bodies at once or stalled short of
// their end, and connections without number. A Guard accounts for what all connections
// hold, with Budget, and closes or refuses connections before the process exceeds the
// memory and the descriptors of its VM. docs/design/uncontrolled-clients.md has the reasons.
package ingress

import "time"

// Limits are the limits of one request, which operators configure.
type Limits struct {
	HeadBytes int           // of a request head
	HeadTime  time.Duration // from the first byte of a head to its end
	IdleTime  time.Duration // without a request on a connection
}

// DefaultLimits hold before there is a configuration, and for what it leaves out.
var DefaultLimits = Limits{HeadBytes: 16 << 10, HeadTime: 3 * time.Second, IdleTime: 15 * time.Second}

// withDefaults replaces limits that are not set.
func (l Limits) withDefaults() Limits {
	if l.HeadBytes <= 0 {
		l.HeadBytes = DefaultLimits.HeadBytes
	}
	if l.HeadTime <= 0 {
		l.HeadTime = DefaultLimits.HeadTime
	}
	if l.IdleTime <= 0 {
		l.IdleTime = DefaultLimits.IdleTime
	}
	return l
}

// bodyTime returns the time to a complete body. It only ends what stays open although
// nothing is short: a body of 256 KB at 9 KB a second still arrives in time.
func (l Limits) bodyTime() time.Duration { return 2 * l.IdleTime }

// headSlack is added to HeadBytes, as net/http does: what a client counts as the head may
// leave out the request line.
const headSlack = 4 << 10

// Estimates of the memory that parts of a request take, garbage before its collection
// included.
const (
	// connectionCost is that of an open connection: a goroutine's stack of 8 KB and the
	// buffers of net/http.
	connectionCost = 24 << 10
	// sessionCost is that of an open session: four goroutines and the buffers of yamux.
	sessionCost = 64 << 10
	// headByteCost is that of a byte of a head: read, cut into strings and decoded as a URL.
	headByteCost = 4
	// lineCost is that of a header line beside its bytes: an entry of a map of slices.
	lineCost = 256
	// bodyByteCost is that of a byte of a body while it arrives in a growing buffer.
	bodyByteCost = 3
	// servedByteCost is that of a byte of a body once it is decoded, encoded for the store
	// and sent there, in addition to bodyByteCost.
	servedByteCost = 5
	// sessionByteCost is that of a byte of an unread or incomplete frame, which is in the
	// buffer of its stream or in a growing one.
	sessionByteCost = 3
	// streamCost is that of an open stream of a session.
	streamCost = 16 << 10
)

// Group is a kind of listening address. Each has its own share of the connections, so that
// a crowd at one of them does not keep clients from the others.
type Group uint8

// Groups of connections.
const (
	Main     Group = iota // the callers of an entry, the announcements of an agent
	Ready                 // readiness checks
	Metrics               // metrics
	Sessions              // sessions of other processes
	groups
)

// Resources assumed if the settings state none: those of the smallest front VM.
const (
	defaultMemoryMB = 184
	defaultFDs      = 4096
)

// reservedFDs is the part of the descriptors that the platform reserves for files.
const reservedFDs = 200

// Parts of the memory limit. The rest is for the process itself and for the garbage that
// the collector leaves.
const (
	requestPart = 4 // requests get a quarter
	sessionPart = 8 // sessions get an eighth
)

// minConnections is the least share of a group: leaders, balancers and operators need
// several connections however few descriptors there are.
const minConnections = 8

// Shares are what clients may take of a process's resources.
type Shares struct {
	RequestBytes int64
	SessionBytes int64
	Connections  [groups]int
}

// SharesOf derives the shares from the limits in the settings; 0 stands for not stated.
func SharesOf(memoryMB, maxFDs int) Shares {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if maxFDs <= 0 {
		maxFDs = defaultFDs
	}
	bytes := int64(memoryMB) << 20
	// A quarter of the descriptors stays for the connections that the process itself opens.
	inbound := max(0, maxFDs-reservedFDs) * 3 / 4
	s := Shares{RequestBytes: bytes / requestPart, SessionBytes: bytes / sessionPart}
	s.Connections[Ready] = max(minConnections, inbound/16)
	s.Connections[Metrics] = max(minConnections, inbound/32)
	s.Connections[Sessions] = max(minConnections, inbound/8)
	s.Connections[Main] = max(minConnections, inbound-s.Connections[Ready]-s.Connections[Metrics]-s.Connections[Sessions])
	return s
}

// CollectorLimit returns the memory at which the garbage collector starts to work harder,
// in bytes; 0: none. The rest of the limit is for the program's code, which the collector
// does not count, and for what is allocated during a collection. A process that holds less
// than half of it never reaches it.
func CollectorLimit(memoryMB int) int64 { return int64(memoryMB) << 20 / 4 * 3 }
