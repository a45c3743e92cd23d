package ledger

import (
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

// Node is a VM with its executor.
type Node struct {
	Name         string
	ledger       *Ledger
	Executor     fleet.Executor
	Listed       bool                 // lists have come in the present session of the agent
	ReportedAt   time.Time            // last report
	ListedAt     time.Time            // last report with lists
	LeaseUntil   time.Time            // when the last lease that was granted to the executor has expired
	grantedUntil time.Time            // the same for the leases of this leader
	domains      map[string]time.Time // failure domains that were reported lately of the instance, and when last
	// Leaving is set while the executor is said to leave and does not answer. Anyone may say
	// so: it gets no starts, and keeps its runs until its lease has expired.
	Leaving bool
	Runs    map[fleet.TaskID]*Run
	removed bool // to be deleted once nothing can run there
	// replaced is set once the executor has replaced another instance. foreignLeaseUntil is
	// when a lease has expired that it may have by the clock of that one.
	replaced          bool
	foreignLeaseUntil time.Time
	// lapsed is true if the agent has said in the present session that every lease
	// of the instance has expired, so that no run of earlier terms goes on.
	lapsed bool
	// lapse counts the series of reports which state that every lease has expired, and inLapse is
	// true within one.
	lapse   uint64
	inLapse bool
	// surveyed is set once complete lists have shown every run of earlier terms on the
	// instance.
	surveyed bool
	// Trouble counts failed runs as 1, refused and unanswered starts as 0.5, and decays with
	// troubleHalfLife. This is its value at troubleAt; TroubleAt returns later ones.
	Trouble          float64
	troubleAt        time.Time // last failure, refusal or unanswered start
	doneSinceTrouble int       // runs that have done their tasks since then
	changes          uint64
	listings         int           // number of lists received of the instance
	complete         bool          // complete lists have come in the present session of the agent
	completeListings int           // number of complete lists received of the instance
	orders           Orders        // not taken yet
	startsHeld       bool          // starts are not ordered yet
	highestEnd       uint64        // highest number of a listed end of the instance
	ackedEnds        uint64        // Orders.Stored as last taken
	unstoredEnds     []unstoredEnd // by number
	// lapsedSuspects and lapsedLate are the suspects and late suspects among the runs that
	// were closed when the lease expired. They count once a new instance shows that the
	// executor has crashed.
	lapsedSuspects, lapsedLate []*Run
	countedCrash               string // latest instance that this leader has seen crash; "": none
}

// unstoredEnd is an end that is acknowledged once version of the job is stored.
type unstoredEnd struct {
	number  uint64
	job     *Job // nil: it is not known yet
	version uint64
}

func (u unstoredEnd) stored() bool { return u.job != nil && u.job.storedVersion >= u.version }

// Granted records that this leader has granted a lease which has expired at a time.
func (n *Node) Granted(until time.Time) {
	if until.After(n.grantedUntil) {
		n.grantedUntil = until
	}
	if until.After(n.LeaseUntil) {
		n.LeaseUntil = until
	}
}

// LeaseEnd returns when every lease of the executor has expired.
func (n *Node) LeaseEnd() time.Time {
	if n.foreignLeaseUntil.After(n.LeaseUntil) {
		return n.foreignLeaseUntil
	}
	return n.LeaseUntil
}

// InLapse reports whether the latest report states that every lease of the executor has expired.
// The answer to it may grant one, which the next lists show.
func (n *Node) InLapse() bool { return n.inLapse }

// Changes returns a counter that rises with each report of the node and with each
// start, stop and end of a run on it.
func (n *Node) Changes() uint64 { return n.changes }
