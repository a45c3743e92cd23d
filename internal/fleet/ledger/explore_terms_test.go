package ledger

import (
	"cmp"
	"flag"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/quorum"
)

// The model of several leaders plays the rules of packages lead and side by which terms are
// confirmed, leases granted and runs reported, with leaders that are cut off from the store,
// agents and executors that are started anew, reports and orders that stay on their way, and
// calls that an executor carries out late. Executors answer no orders, or no calls at all, for
// a while. The clocks of some are as slow as fleet.ClockRate; all others run at one rate.

// Times as in packages lead and side.
const (
	termsStartGrace   = 5 * time.Second
	termsGrantGrace   = 10 * time.Second
	termsLease        = 4 * time.Second
	termsLeaseMargin  = 150 * time.Millisecond
	termsHoldMax      = 10 * time.Second // longest lease that an executor accepts
	termsExpiry       = 100 * time.Millisecond
	termsInherit      = 10 * time.Second
	termsListedEnds   = 2 // ends that an executor lists at a time
	termsLeaders      = 3 // at a time
	termsJobs         = 3
	termsCalls        = 30  // in flight at a time
	termsCycles       = 150 // within which everything is done once all faults have ended
	termsContactGrace = 4500 * time.Millisecond
	termsStaleContact = time.Second
	termsRenewal      = 710 * time.Millisecond
	termsCycle        = 150 * time.Millisecond
)

// Faults that were mended, to be switched on by hand.
const (
	faultLeaveProves         = false // Leave counted as the end of the executor
	faultAnnouncementReplace = false // any announcement replaced the executor
	faultAgentForgetsCalls   = false // refusals after an earlier session counted as such
	faultCallReachesNext     = false // calls were carried out by the next instance under the ID
)

// Faults of the rules on deadlines, to be switched on by hand.
const (
	faultOrderEndsEarly  = false // an order without an answer ends before its deadline
	faultLastCallOnly    = false // earlier calls of a start with a later deadline do not count
	faultLateByTheLease  = false // executors judge a late call by their lease instead of its own deadline
	faultGrantNotCounted = false // the leader does not count its last grant
)

// Faults of the rules on contact with agents and on tasks that are located, to be switched on
// by hand.
const (
	faultContactUnconfirmed  = false // an agent that was started anew counts for the contact
	faultRestartedHeardNone  = false // an agent that was started anew says that it has heard from no leader
	faultFewerAgents         = false // one agent less bounds the leases of earlier leaders
	faultSetNotStored        = false // leases are granted by a set before it is stored
	faultSetForgotten        = false // a replaced set is dropped at once
	faultReplacedUnconfirmed = false // a new instance counts in a session without a confirmation of the term
	faultLocatedByItsEnd     = false // a listed end shows that no earlier leader has started the task again
	faultStartsOutOfContact  = false // starts need no contact
	faultNothingLeft         = false // a leader states that no lease of those before it lasts
	faultOwnForgotten        = false // a leader leaves out the leases that it has granted without a set
)

// modelBounded counts the takeovers that were settled before leases had to have ended without
// the word of agents, modelLocated the starts of located tasks before their takeover was settled,
// modelSurveyed the takeovers that were settled by lists of an earlier session, and modelLeft the
// leaders that learned of no end of earlier leases but by what the last one had stated.
var modelBounded, modelLocated, modelSurveyed, modelLeft int

// modelExpired counts the orders that have ended by their deadline in all explorations, and
// modelCounted the runs that were closed by the leader's count during a session.
var modelExpired, modelCounted int

var traceTerms = flag.Bool("model-trace", false, "print the events of a model that fails")

func (m *termsModel) tracef(format string, args ...any) {
	if *traceTerms {
		m.t.Logf("%v "+format, append([]any{m.now.Sub(start)}, args...)...)
	}
}

func termsLongest(ttl time.Duration) time.Duration {
	return time.Duration(float64(ttl)/fleet.ClockRate) + termsLeaseMargin
}

// termsLeader is a leader. Its term ends for the others with the next election.
type termsLeader struct {
	term      int
	ledger    *Ledger
	began     time.Time
	confirmed time.Time // send time of the latest call that confirmed the term
	maxLease  time.Duration
	cut       bool      // from the store
	asked     time.Time // send time of a call whose answer is on its way; zero: none
	askedOK   bool
	sessions  map[string]*termsSession
	held      map[string]time.Time
	longest   time.Duration // maxLease without the word of agents
	earlier   []quorum.Set
	own       []quorum.Set  // of the last leader
	left      time.Duration // of the leases of those before it
	sets      quorum.Sets
	contacts  map[string]*quorum.Contact
	heard     map[string]time.Time
	exclusive bool // no earlier leader orders starts
	legacy    bool // of a version that has no sets of agents, and holds no reports
}

// termsSession is a session of a leader with an agent.
type termsSession struct {
	leader  *termsLeader
	began   time.Time
	first   bool          // of the process of the agent
	left    bool          // the agent has ended it
	reports []termsReport // on their way to the leader
	frames  []termsFrame  // on their way to the agent
	answer  *termsReport  // latest report to be answered by a lease
	// answered is the latest report whose answer the agent has received.
	introduced, read bool // the first report was sent, and was read
	answered         uint64
	replied          uint64 // latest report that the leader has answered
}

type termsReport struct {
	Report
	clock time.Duration // of the executor, when the report was sent
	life  int           // of the agent's knowledge of leases

	number, answered, process uint64
	earlierHeard              time.Time // only in the first report of a session, as process
}

type termsFrame struct {
	Orders
	ttl    time.Duration
	answer termsReport
}

// termsAgent follows the rules of package side.
type termsAgent struct {
	x          *modelExecutor
	known      bool      // the instance x.agentInstance was confirmed
	foreign    bool      // an announcement of another writer has replaced it
	born       time.Time // start of the known instance
	term       int
	session    *termsSession
	unanswered map[RunRef]time.Duration // with the last deadline of a call
	reading    time.Duration            // of the clock of the executor, at readAt
	readAt     time.Time
	deadline   time.Duration
	longest    time.Duration // no lease ends later
	life       int           // reports of earlier lives are answered by no lease
	lapsed     bool
	uncertain  bool // another instance may answer
	acked      uint64
	leaveSaid  bool
	draining   bool
	gone       bool
	// Of the process, its last report, and when it last heard from a leader, and from one
	// before that.
	process, reported       uint64 // process 0: of a version that tells nothing of leaders
	address                 string
	heardAt, earlierHeardAt time.Time
}

type termsModel struct {
	*modelVMs
	agents    []*termsAgent
	leaders   []*termsLeader // the last one has the highest term
	jobs      []fleet.Job
	stored    map[string][]byte
	quorums   []quorum.Set // of the record of the latest term
	own       []quorum.Set // of the record, as left
	left      time.Duration
	alone     bool   // the same: no lease of an earlier leader lasts
	exclusive bool   // the latest term has ended with a record that no leader orders starts
	processes uint64 // of agents, started until now
	moves     int    // of agents to other addresses
	calm      bool   // no faults any more
}

func newTermsModel(t *rapid.T, vms int) *termsModel {
	m := &termsModel{modelVMs: newModelVMs(t, vms), stored: map[string][]byte{}, jobs: []fleet.Job{modelJob("job")}}
	for _, x := range m.executors {
		m.agents = append(m.agents, m.newAgent(x))
	}
	switch rapid.IntRange(0, 5).Draw(t, "quorums") { // no leader was before
	case 0:
	case 1, 2:
		m.own, m.left = []quorum.Set{quorum.New(m.addresses())}, termsLongest(termsGrantGrace)
	default:
		m.quorums = []quorum.Set{quorum.New(m.addresses())}
	}
	m.elect(termsLongest(termsGrantGrace))
	return m
}

// newAgent returns an agent whose process has just been started.
func (m *termsModel) newAgent(x *modelExecutor) *termsAgent {
	m.processes++
	a := &termsAgent{x: x, unanswered: map[RunRef]time.Duration{}, process: m.processes, address: x.name, heardAt: m.now, earlierHeardAt: m.now}
	if rapid.IntRange(0, 7).Draw(m.t, "earlier version of the agent") == 0 {
		a.process = 0
	}
	if faultRestartedHeardNone {
		a.earlierHeardAt = a.earlierHeardAt.Add(-time.Hour)
	}
	return a
}

// addresses returns the addresses of the agents.
func (m *termsModel) addresses() []string {
	var addresses []string
	for _, a := range m.agents {
		addresses = append(addresses, a.address)
	}
	return addresses
}

// elect begins a term, whose leader knows only what is stored.
func (m *termsModel) elect(maxLease time.Duration) {
	l := &termsLeader{term: 1, began: m.now, confirmed: m.now, maxLease: maxLease, sessions: map[string]*termsSession{}, held: map[string]time.Time{}, longest: maxLease, earlier: m.quorums, own: m.own, left: m.left, sets: quorum.Inherit(m.quorums, m.own, m.now), contacts: map[string]*quorum.Contact{}, heard: map[string]time.Time{}}
	if n := len(m.leaders); n > 0 {
		l.term = m.leaders[n-1].term + 1
	}
	l.ledger = New(Options{Takeover: m.now, MaxLease: maxLease, EarlierVersions: len(m.quorums) == 0 && !m.exclusive, LongestLease: termsLongest(termsHoldMax), Attempts: func(*Job) int { return modelAttempts }, Log: func(e Event) {
		m.tracef("term %d: %s %s run %d on %s: %s", l.term, e.What, e.Task, e.Run, e.Node, e.Reason)
		if e.What == "settled" {
			for _, n := range l.ledger.Nodes {
				if n.surveyed && !n.complete && !n.LeaseEnd().Before(l.confirmed) {
					modelSurveyed++
					break
				}
			}
		}
		if e.What == "settled" && m.now.Sub(l.began) <= l.longest {
			for _, n := range l.ledger.Nodes {
				if !n.runsKnown() {
					modelBounded++
					break
				}
			}
		}
		if s := l.sessions[e.Node]; e.Reason == leaseCounted.String() && s != nil && !s.left {
			modelCounted++
		}
	}})
	m.own = nil
	m.tracef("term %d begins", l.term)
	for _, x := range m.executors {
		l.ledger.AddNode(x.name)
		l.contacts[x.name] = &quorum.Contact{}
	}
	for _, job := range m.jobs {
		l.ledger.AddJob(job, true, m.now)
		if value, ok := m.stored[job.ID]; ok {
			require.NoError(m.t, l.ledger.Restore(job.ID, value, 1, m.now))
		}
	}
	l.exclusive, m.exclusive, m.alone = m.exclusive, false, false
	if rapid.IntRange(0, 5).Draw(m.t, "earlier version of the leader") == 0 {
		l.legacy, l.earlier, l.own, l.sets, m.quorums = true, nil, nil, quorum.Sets{}, nil
	}
	m.leaders = append(m.leaders, l)
	if len(m.leaders) > termsLeaders {
		m.endTerm(m.leaders[0])
	}
}

// electBeside elects a leader while the one before goes on, mostly cut off.
func (m *termsModel) electBeside() {
	last := m.latest()
	last.cut = rapid.IntRange(0, 3).Draw(m.t, "cut") > 0
	m.elect(termsLongest(termsGrantGrace))
}

// handOver ends the latest term with a record for the next one.
func (m *termsModel) handOver() {
	last := m.latest()
	if last.cut {
		return
	}
	left := min(termsLongest(termsGrantGrace), max(termsLongest(termsLease), last.maxLease-m.now.Sub(last.began)))
	for _, n := range last.ledger.Nodes {
		left = max(left, n.LeaseEnd().Sub(m.now))
	}
	m.quorums, m.own, m.left = last.sets.All(), last.sets.Own(m.contactExpired()), left
	m.exclusive = last.exclusive
	m.elect(left)
	m.endTerm(last)
}

// succeedEnded elects a leader after the latest one has ended without a record of it, which
// its entry says.
func (m *termsModel) succeedEnded() {
	last := m.latest()
	if !m.alone {
		return
	}
	m.exclusive = true
	m.elect(termsLongest(termsLease))
	m.endTerm(last)
}

func (m *termsModel) latest() *termsLeader { return m.leaders[len(m.leaders)-1] }

func (m *termsModel) endTerm(l *termsLeader) {
	if l == m.latest() {
		return // another one is elected first
	}
	m.tracef("term %d ends", l.term)
	m.leaders = slices.DeleteFunc(m.leaders, func(o *termsLeader) bool { return o == l })
	for _, a := range m.agents {
		if a.session != nil && a.session.leader == l {
			a.loseSession()
		}
	}
}

func (m *termsModel) leader() *termsLeader {
	return m.leaders[rapid.IntRange(0, len(m.leaders)-1).Draw(m.t, "leader")]
}

func (m *termsModel) agent() *termsAgent {
	return m.agents[rapid.IntRange(0, len(m.agents)-1).Draw(m.t, "agent")]
}

// ask sends a call that confirms the term; answer handles the response.
func (m *termsModel) ask(l *termsLeader) {
	if !l.cut && l.asked.IsZero() {
		l.asked, l.askedOK = m.now, l == m.latest()
	}
}

func (m *termsModel) answer(l *termsLeader) {
	if l.asked.IsZero() {
		return
	}
	sent := l.asked
	l.asked = time.Time{}
	if !l.askedOK {
		m.endTerm(l)
		return
	}
	if !sent.After(l.confirmed) {
		return
	}
	l.confirmed = sent
	l.exclusive = l.exclusive || sent.Sub(l.began) > termsStartGrace
	m.tracef("term %d confirmed as of %v", l.term, sent.Sub(start))
	for name, began := range l.held {
		if sent.After(began) {
			delete(l.held, name)
			l.ledger.ReleaseStarts(l.ledger.Nodes[name])
		}
	}
}

// dial opens a session, in which the agent follows the leader unless it knows a higher term.
func (m *termsModel) dial(l *termsLeader, a *termsAgent) {
	name := a.x.name
	if old := l.sessions[name]; old != nil {
		m.notice(l, a)
		if l.sessions[name] != nil {
			return
		}
	}
	if l.term < a.term {
		m.endTerm(l) // the agent says so
		return
	}
	m.tracef("%s follows term %d", name, l.term)
	s := &termsSession{leader: l, began: m.now, first: a.term == 0}
	l.sessions[name] = s
	l.ledger.HoldStarts(l.ledger.Nodes[name])
	l.held[name] = m.now
	l.contacts[name].Begin(a.address, m.now)
	if a.session != nil {
		a.loseSession()
	}
	if l.term > a.term {
		clear(a.unanswered)
		if !faultRestartedHeardNone || a.term > 0 {
			a.earlierHeardAt = a.heardAt
		}
	}
	a.term, a.session, a.heardAt = l.term, s, m.now
	a.life++
	m.report(a, Report{})
}

// notice makes a leader notice that an agent has ended the session.
func (m *termsModel) notice(l *termsLeader, a *termsAgent) {
	if s := l.sessions[a.x.name]; s != nil && s.left {
		delete(l.sessions, a.x.name)
		l.ledger.Disconnected(l.ledger.Nodes[a.x.name])
	}
}

func (a *termsAgent) loseSession() {
	a.session.left, a.session.frames = true, nil
	a.session = nil
	a.cancelOrders()
}

func (a *termsAgent) cancelOrders() {
	for i := range a.x.inFlight {
		a.x.inFlight[i].repeat = false
	}
}

// restartAgent starts the process of an agent anew. Its calls may still be carried out.
func (m *termsModel) restartAgent(a *termsAgent) {
	if a.session != nil {
		a.loseSession()
	}
	a.cancelOrders()
	m.tracef("agent of %s starts anew", a.x.name)
	life, address := a.life+1, a.address
	*a = *m.newAgent(a.x)
	a.life, a.address = life, address
}

// move registers the VM of an agent at another address.
func (m *termsModel) move(a *termsAgent) {
	m.restartAgent(a)
	m.moves++
	a.address = a.x.name + "." + strconv.Itoa(m.moves)
}

// adopt confirms the announced instance and makes it the known one. A restarted agent cannot
// before a leader has told it the term.
func (m *termsModel) adopt(a *termsAgent) {
	x := a.x
	if a.known && !a.foreign && x.agentInstance == x.instanceNumber || a.term < x.fence {
		return
	}
	x.fence = a.term
	m.tracef("%s adopted", x.instance())
	a.cancelOrders()
	x.agentInstance = x.instanceNumber
	a.known, a.foreign, a.born = true, false, x.born
	a.reading, a.readAt = m.clock(x), m.now
	a.deadline, a.longest, a.lapsed, a.uncertain, a.acked = 0, a.reading+termsHoldMax, false, false, 0
	a.leaveSaid, a.gone, a.draining = false, false, false
	a.life++
}

// drain handles an announcement of the executor that it will end.
func (m *termsModel) drain(a *termsAgent) {
	if a.known && !a.foreign && !a.draining && a.x.agentInstance == a.x.instanceNumber {
		m.tracef("%s drains", a.x.instance())
		a.draining = true
		m.report(a, Report{})
	}
}

// foreignAnnouncement handles an announcement of another writer. Nothing answers under its ID.
func (m *termsModel) foreignAnnouncement(a *termsAgent) {
	if faultAnnouncementReplace && a.known {
		a.foreign = true
		a.cancelOrders()
		m.report(a, Report{})
	}
}

// leave handles a call of Leave that the executor has not sent, or that is late.
func (m *termsModel) leave(a *termsAgent) {
	if !a.known {
		return
	}
	if faultLeaveProves {
		a.gone, a.lapsed, a.draining = true, true, true
		a.cancelOrders()
		m.report(a, Report{})
		return
	}
	a.leaveSaid = true
}

func (m *termsModel) report(a *termsAgent, r Report) {
	if a.session == nil {
		return
	}
	if a.known {
		r.Executor = &fleet.Executor{Instance: a.x.instanceOfAgent(), Pool: "pool", Capacity: roomy, Draining: a.draining}
		if a.foreign {
			r.Executor.Instance = a.x.name + "@foreign"
		}
		r.Lapsed = a.lapsed
	}
	earliest := a.reading + time.Duration(fleet.ClockRate*float64(m.now.Sub(a.readAt)))
	a.reported++
	report := termsReport{Report: r, clock: earliest, life: a.life, number: a.reported, answered: a.session.answered}
	if !a.session.introduced {
		a.session.introduced = true
		report.process, report.earlierHeard = a.process, a.earlierHeardAt
	}
	a.session.reports = append(a.session.reports, report)
}

// clock returns what the clock of an executor shows.
func (m *termsModel) clock(x *modelExecutor) time.Duration {
	return time.Duration(x.rate * float64(m.now.Sub(x.born)))
}

// timeOf returns when the clock of an executor shows a time, or will, and no later than the
// longest lease from now ends.
func (m *termsModel) timeOf(x *modelExecutor, clock time.Duration) time.Time {
	return x.born.Add(time.Duration(float64(min(clock, m.clock(x)+termsHoldMax)) / x.rate))
}

// restart starts an executor anew, with a clock of its own.
func (m *termsModel) restart(x *modelExecutor) {
	m.modelVMs.restart(x)
	if rapid.Bool().Draw(m.t, "slow clock") {
		x.rate = fleet.ClockRate
	}
}

// extend extends the lease of an executor to a time on its clock.
func (m *termsModel) extend(x *modelExecutor, clock time.Duration) {
	if until := m.timeOf(x, clock); clock > 0 && until.After(x.deadline) {
		x.deadline = until
	}
}

// hold has the executor list its runs, extends its lease, acknowledges ends and reports.
func (m *termsModel) hold(a *termsAgent) {
	x := a.x
	if !a.known || a.foreign || a.gone || a.session == nil || a.term < x.fence {
		return
	}
	if x.silent {
		a.uncertain = true
		return
	}
	x.fence = a.term
	if x.agentInstance != x.instanceNumber {
		if faultCallReachesNext && !a.uncertain {
			m.extend(x, a.deadline)
		}
		a.uncertain = true
		return
	}
	if !a.uncertain {
		m.extend(x, a.deadline)
		m.acknowledge(x, a.acked)
	}
	a.uncertain, a.lapsed = false, false
	a.reading, a.readAt = m.clock(x), m.now
	m.tracef("%s lists running %v ended %v, lease until %v", x.instance(), x.running, x.ended, x.deadline.Sub(start))
	if !a.draining {
		a.leaveSaid = false
	}
	var running []fleet.Running
	for _, id := range sortedTasks(x.running) {
		running = append(running, fleet.Running{Task: id, Run: x.running[id]})
	}
	ended := slices.Clone(x.ended[:min(len(x.ended), termsListedEnds)])
	listed := map[RunRef]bool{}
	for _, r := range running {
		listed[RunRef{r.Task, r.Run}] = true
	}
	for _, e := range ended {
		listed[RunRef{e.Task, e.Run}] = true
	}
	results := append(m.endExpired(a, listed), a.answerListed(listed)...)
	m.report(a, Report{Listed: true, Partial: len(x.ended) >= termsListedEnds, Running: running, Ended: ended, Results: results})
}

// endExpired ends the orders whose run is not listed after the deadline of each call that
// may start it. A start is ordered to stop, which nothing waits for.
func (m *termsModel) endExpired(a *termsAgent, listed map[RunRef]bool) []Result {
	margin := termsExpiry
	if faultOrderEndsEarly {
		margin = -2 * time.Second
	}
	var results []Result
	for i, o := range a.x.inFlight {
		ref := RunRef{o.start.Task, o.start.Run}
		if !o.repeat || o.until == 0 || a.reading <= o.until+margin || listed[ref] {
			continue
		}
		m.tracef("%s: order of %s run %d ends by its deadline", a.x.instance(), ref.Task, ref.Run)
		modelExpired++
		a.x.inFlight[i].repeat = false
		delete(a.unanswered, ref)
		if o.stop && !o.revoke {
			results = append(results, Result{Task: ref.Task, Run: ref.Run, Stop: true, Result: fleet.OrderDone})
			continue
		}
		results = append(results, Result{Task: ref.Task, Run: ref.Run, Result: fleet.OrderRevoked})
		if len(a.x.inFlight) < termsCalls {
			a.x.inFlight = append(a.x.inFlight, modelOrder{term: a.term, instance: o.instance, stop: true, start: o.start})
		}
	}
	return results
}

// answerListed ends the start orders whose runs are listed.
func (a *termsAgent) answerListed(listed map[RunRef]bool) []Result {
	var results []Result
	for i, o := range a.x.inFlight {
		ref := RunRef{o.start.Task, o.start.Run}
		if o.repeat && !o.stop && listed[ref] {
			a.x.inFlight[i].repeat = false
			results = append(results, Result{Task: ref.Task, Run: ref.Run, Result: fleet.OrderDone})
		}
	}
	maps.DeleteFunc(a.unanswered, func(ref RunRef, _ time.Duration) bool { return listed[ref] })
	return results
}

// lapse lets the agent find that every lease of the known instance has ended.
func (m *termsModel) lapse(a *termsAgent) {
	latest := a.readAt.Add(time.Duration(float64(a.longest-a.reading) / fleet.ClockRate)) // when the last lease has ended
	if !a.known || a.lapsed || !m.now.Add(-termsExpiry).After(latest) {
		return
	}
	a.lapsed = true
	m.tracef("lease of %s ended by its agent", a.x.instanceOfAgent())
	a.life++
	a.cancelOrders()
	if a.leaveSaid { // no hold has been answered since
		a.gone, a.draining = true, true
	}
	m.report(a, Report{})
}

// receive makes the agent carry out the orders of a frame.
func (m *termsModel) receive(a *termsAgent) {
	if a.session == nil || len(a.session.frames) == 0 {
		return
	}
	s := a.session
	f := s.frames[0]
	s.frames = s.frames[1:]
	s.answered, a.heardAt = max(s.answered, f.answer.number), m.now
	if !a.known || a.foreign || f.Instance != a.x.instanceOfAgent() {
		return
	}
	if f.ttl > 0 && f.answer.life == a.life {
		a.deadline = max(a.deadline, f.answer.clock+f.ttl)
		a.longest = max(a.longest, a.deadline)
	}
	a.acked = max(a.acked, f.Stored)
	for _, r := range f.Stops {
		m.order(a, modelOrder{stop: true, start: fleet.StartOrder{Task: r.Task, Run: r.Run}, until: max(a.unanswered[r], a.longest)})
	}
	for _, r := range f.Starts {
		ref := RunRef{r.Task, r.Run}
		if slices.ContainsFunc(a.x.inFlight, func(o modelOrder) bool { return o.repeat && !o.stop && o.start.Task == r.Task && o.start.Run == r.Run }) {
			continue
		}
		known, unanswered := a.unanswered[ref]
		inherits := s.first && m.now.Sub(s.began) < termsInherit
		until := a.deadline
		if !faultLastCallOnly {
			until = max(until, known)
			if inherits {
				until = max(until, a.longest)
			}
		}
		a.unanswered[ref] = until
		m.order(a, modelOrder{start: r, lease: a.deadline, until: until, uncertain: !faultAgentForgetsCalls && (unanswered || inherits)})
	}
}

// order begins an order and cancels an earlier one for the run.
func (m *termsModel) order(a *termsAgent, o modelOrder) {
	for i, earlier := range a.x.inFlight {
		if earlier.start.Task == o.start.Task && earlier.start.Run == o.start.Run {
			a.x.inFlight[i].repeat = false
		}
	}
	o.term, o.instance, o.repeat = a.term, a.x.instanceOfAgent(), true
	a.x.inFlight = append(a.x.inFlight, o)
}

// arrive carries out a call in flight; its answer may be lost. Calls that nobody waits for
// any more are left out unless late is set.
func (m *termsModel) arrive(a *termsAgent, late bool) {
	x := a.x
	var calls []int
	for i, o := range x.inFlight {
		if o.repeat || late {
			calls = append(calls, i)
		}
	}
	if len(calls) == 0 {
		return
	}
	i := rapid.SampledFrom(calls).Draw(m.t, "order")
	o := x.inFlight[i]
	if o.repeat && o.uncertain && a.uncertain || x.silent {
		return // a hold comes first, or the call waits at the executor
	}
	if o.repeat && (o.stop || !a.draining) && o.instance != x.instance() && !faultCallReachesNext {
		// It is not sent, as the instance that answers is another one.
		x.inFlight[i].uncertain, a.uncertain = true, true
		return
	}
	answered, delayed, refused := true, false, false
	if !m.calm {
		answered = rapid.Bool().Draw(m.t, "answered")
		delayed = rapid.Bool().Draw(m.t, "late")
		refused = rapid.IntRange(0, 4).Draw(m.t, "refused") == 0
	}
	if x.deaf && o.repeat {
		answered, delayed = o.stop && rapid.IntRange(0, 3).Draw(m.t, "stop answered") == 0, true
	}
	if o.repeat && !o.stop && a.draining { // the agent refuses without a call
		answered, refused = true, true
	}
	if !o.repeat || answered {
		x.inFlight = slices.Delete(x.inFlight, i, i+1)
	} else {
		x.inFlight[i].uncertain = true
		a.uncertain = true
		if delayed && len(x.inFlight) < termsCalls {
			o.repeat = false
			x.inFlight = append(x.inFlight, o) // this call is carried out later
			return
		}
	}
	result := fleet.OrderBusy
	if !refused || o.stop {
		result = m.call(x, o)
	}
	if !o.repeat || !answered {
		return
	}
	conclusive := result == fleet.OrderDone || result == fleet.OrderFenced || result == fleet.OrderGone
	if !o.stop && o.uncertain && !conclusive {
		o.stop, o.revoke = true, true
		x.inFlight = append(x.inFlight, o)
		return
	}
	if o.revoke {
		o.stop, result = false, fleet.OrderRevoked
	}
	delete(a.unanswered, RunRef{o.start.Task, o.start.Run})
	m.report(a, Report{Results: []Result{{Task: o.start.Task, Run: o.start.Run, Stop: o.stop, Result: result}}})
}

// call carries out a call. One that receives old or room extends the lease, too.
func (m *termsModel) call(x *modelExecutor, o modelOrder) fleet.OrderResult {
	o.deadline = m.timeOf(x, o.lease)
	if faultLateByTheLease && x.deadline.After(o.deadline) {
		o.deadline = x.deadline
	}
	result := m.carryOut(x, o, o.repeat)
	m.tracef("%s: call of term %d for %s to %s run %d, stop %v, lease until %v: %v", x.instance(), o.term, o.instance, o.start.Task, o.start.Run, o.stop, o.deadline.Sub(start), result)
	if !o.stop && result != fleet.OrderFenced && result != fleet.OrderGone && result != fleet.OrderLate {
		m.extend(x, o.lease)
	}
	return result
}

// read has a leader read a report, and reports whether there was one that it may read.
func (m *termsModel) read(l *termsLeader, a *termsAgent) bool {
	name := a.x.name
	s := l.sessions[name]
	if s == nil || len(s.reports) == 0 {
		return false
	}
	r := s.reports[0]
	if !s.read {
		s.read = true
		l.contacts[name].Introduce(r.process, m.now)
		if _, known := l.heard[l.contacts[name].Address()]; !known && r.process != 0 {
			l.heard[l.contacts[name].Address()] = r.earlierHeard
		}
	}
	if faultContactUnconfirmed {
		l.contacts[name].Confirm(m.now.Add(time.Nanosecond))
	}
	l.contacts[name].Received(r.answered)
	if n := l.ledger.Nodes[name]; n.StartsHeld() && n.Replaces(r.Report) && !faultReplacedUnconfirmed && !l.legacy {
		return false // later reports wait, too
	}
	s.reports = s.reports[1:]
	m.tracef("term %d reads of %s: listed %v lapsed %v running %v ended %v results %v", l.term, a.x.name, r.Listed, r.Lapsed, r.Running, r.Ended, r.Results)
	l.ledger.Report(l.ledger.Nodes[a.x.name], r.Report, m.now)
	if faultLocatedByItsEnd {
		for _, e := range r.Ended {
			if t := l.ledger.taskByID(e.Task); t != nil {
				t.located = true
			}
		}
	}
	if r.Listed {
		s.answer = &r
	}
	return true
}

// contactLeft returns for how long a leader may grant leases by its contact with agents.
func (m *termsModel) contactLeft(l *termsLeader) time.Duration {
	received := map[string]time.Time{}
	for _, c := range l.contacts {
		if c.Confirm(l.confirmed); !c.At().IsZero() {
			received[c.Address()] = c.At()
		}
	}
	if l.sets.Current() == nil {
		return termsGrantGrace
	}
	contact, ok := l.sets.Current().Contact(received)
	if !ok {
		return 0
	}
	return termsContactGrace - m.now.Sub(contact)
}

// survey bounds the leases of earlier leaders by what agents say.
func (m *termsModel) survey(l *termsLeader) {
	bound := func(sets []quorum.Set, earliest time.Time) bool {
		var last time.Time
		for _, set := range sets {
			if faultFewerAgents {
				set = set[:max(1, len(set)-2)]
			}
			at, ok := set.LastContact(l.heard)
			if !ok {
				return false
			}
			if at.After(last) {
				last = at
			}
		}
		end := last.Add(termsLongest(termsContactGrace))
		if len(sets) == 0 {
			return false
		}
		if earliest.After(end) {
			end = earliest
		}
		l.maxLease = min(l.maxLease, max(0, end.Sub(l.began)))
		l.ledger.EndEarlierLeases(end)
		return true
	}
	bounded := bound(l.earlier, l.began)
	if before := l.maxLease; bound(l.own, l.began.Add(l.left)) && !bounded && l.maxLease < before {
		modelLeft++
	}
}

// contactExpired returns a time before which no leases were granted that may last.
func (m *termsModel) contactExpired() time.Time {
	return m.now.Add(-termsLongest(termsContactGrace))
}

// record stores the record of the latest term: without the sets that are not needed any more,
// or with the agents in contact as the next set, of which the leader may not hear.
func (m *termsModel) record(l *termsLeader) {
	if l.cut || l != m.latest() {
		return
	}
	alone := l.exclusive && m.now.Sub(l.began) > l.maxLease
	m.alone = alone
	if l.legacy {
		return
	}
	if alone {
		l.sets.Expire(m.contactExpired())
	}
	m.left = max(0, l.maxLease-m.now.Sub(l.began))
	if faultNothingLeft {
		m.left = 0
	}
	var agents []string
	m.contactLeft(l)
	for _, c := range l.contacts {
		if m.now.Sub(c.At()) <= termsStaleContact {
			agents = append(agents, c.Address())
		}
	}
	older := 0
	for name, c := range l.contacts {
		if l.sessions[name] != nil && c.IsSilent() {
			older++
		}
	}
	if len(agents) == 0 && older == 0 || !m.calm && !rapid.Bool().Draw(m.t, "next set") {
		m.quorums, m.own = l.sets.All(), l.sets.Own(m.contactExpired())
		return
	}
	next := quorum.New(agents)
	if older > len(next) {
		next = nil
	}
	m.tracef("term %d grants leases by %v", l.term, next)
	if !faultSetNotStored {
		m.quorums, m.own = l.sets.AllAfter(next), l.sets.OwnAfter(next, m.contactExpired())
	}
	if faultOwnForgotten {
		m.own = []quorum.Set{next}
	}
	if m.calm || rapid.Bool().Draw(m.t, "set stored") || faultSetNotStored {
		l.sets.Replace(next, m.now)
		if faultSetForgotten {
			l.sets.Expire(m.now.Add(time.Nanosecond))
			m.quorums = l.sets.All()
		}
	}
}

// dispatch places ready tasks and sends orders and leases.
func (m *termsModel) dispatch(l *termsLeader) {
	m.survey(l)
	contact := m.contactLeft(l)
	if l.ledger.Tick(m.now, l.confirmed); m.now.Sub(l.confirmed) > termsGrantGrace {
		m.endTerm(l)
		return
	}
	mayStart := contact > 0 || faultStartsOutOfContact
	if mayStart && m.now.Sub(l.confirmed) < termsStartGrace {
		for _, task := range l.ledger.Ready(m.now) {
			if n := l.ledger.Nodes[m.pick().name]; n.MayStart() && !n.Executor.Draining && n.Runs[task.ID] == nil {
				if task.Step.Job.Inherited && !l.ledger.Settled {
					modelLocated++
				}
				l.ledger.Start(task, n, "", m.now)
			}
		}
	}
	for _, x := range m.executors {
		s, n := l.sessions[x.name], l.ledger.Nodes[x.name]
		if s == nil || !n.Listed {
			continue
		}
		f := termsFrame{}
		if mayStart {
			f.Orders, _ = n.TakeOrders()
		} else {
			f.Orders, _ = n.TakeOrdersWithoutStarts()
		}
		// The ledger orders those of several runs in no fixed order.
		slices.SortStableFunc(f.Starts, func(a, b fleet.StartOrder) int { return cmp.Compare(a.Task.String(), b.Task.String()) })
		slices.SortStableFunc(f.Stops, func(a, b RunRef) int { return cmp.Compare(a.Task.String(), b.Task.String()) })
		if s.answer != nil {
			left := time.Duration(float64(min(termsGrantGrace-m.now.Sub(l.confirmed), contact)) * fleet.ClockRate)
			f.ttl = min(termsLease, left)
			if s.answer.number > s.replied {
				s.replied = s.answer.number
				l.contacts[x.name].Answer(s.replied, m.now)
				f.answer = *s.answer
			}
			if f.ttl > 0 { // also the answer to a report that was answered without a lease
				f.answer, s.answer = *s.answer, nil
				if !faultGrantNotCounted {
					n.Granted(m.now.Add(termsLongest(f.ttl)))
				}
			}
		}
		if !s.left {
			s.frames = append(s.frames, f)
		}
	}
}

// store stores all progress, on the condition that the term lasts.
func (m *termsModel) store(l *termsLeader) {
	if l.cut {
		return
	}
	records, err := l.ledger.Dirty(10)
	require.NoError(m.t, err)
	if l != m.latest() {
		l.ledger.NotStored(records)
		return
	}
	for _, r := range records {
		m.stored[r.Job] = r.Value
	}
	l.ledger.Stored(records, 1)
}

// accept accepts a job.
func (m *termsModel) accept(l *termsLeader) {
	if l.cut || l != m.latest() || len(m.jobs) == termsJobs {
		return
	}
	job := modelJob("job" + string(rune('0'+len(m.jobs))))
	m.jobs = append(m.jobs, job)
	l.ledger.AddJob(job, false, m.now)
}

// cycle is the usual sequence between a leader and an agent.
func (m *termsModel) cycle(l *termsLeader, a *termsAgent) {
	m.adopt(a)
	m.notice(l, a)
	if s := l.sessions[a.x.name]; s == nil {
		if l.term < a.term {
			return
		}
		m.dial(l, a)
	}
	m.adopt(a)
	m.hold(a)
	for m.read(l, a) {
	}
	m.dispatch(l)
	m.receiveAll(a)
	for range len(a.x.inFlight) {
		m.arrive(a, m.calm)
	}
}

func (m *termsModel) receiveAll(a *termsAgent) {
	for a.session != nil && len(a.session.frames) > 0 {
		m.receive(a)
	}
}

// reset ends the session of an agent, once or twice and also with its process, while it calls
// its executor, which carries the calls out later or never.
func (m *termsModel) reset(a *termsAgent) {
	l := m.latest()
	m.hold(a)
	for m.read(l, a) {
	}
	m.dispatch(l)
	m.receiveAll(a)
	for range rapid.IntRange(1, 2).Draw(m.t, "resets") {
		if rapid.Bool().Draw(m.t, "process") {
			m.restartAgent(a)
		} else if a.session != nil {
			a.loseSession()
		}
		m.dial(l, a)
	}
	m.pass(rapid.IntRange(1, 4).Draw(m.t, "renewals"))
	m.arrive(a, true)
}

// reborn starts an executor anew under its ID while starts are called, which have a deadline
// by the clock of the instance before, and ends the session.
func (m *termsModel) reborn(a *termsAgent) {
	l := m.latest()
	m.confirm(l)
	m.hold(a)
	for m.read(l, a) {
	}
	m.dispatch(l)
	m.receiveAll(a)
	m.restart(a.x)
	m.arrive(a, false)
	if rapid.Bool().Draw(m.t, "adopted") {
		m.adopt(a)
		m.cycle(l, a)
	}
	if a.session != nil {
		a.loseSession()
	}
	m.notice(l, a)
	m.pass(rapid.IntRange(3, 8).Draw(m.t, "renewals"))
}

// impair has an executor answer no orders, or no calls at all, for a while in which its agent
// has orders for it, and carries the calls out late.
func (m *termsModel) impair(a *termsAgent) {
	l := m.latest()
	m.confirm(l)
	m.cycle(l, a)
	m.dispatch(l)
	a.x.deaf = true
	m.receiveAll(a)
	m.arrive(a, false)
	a.x.silent = rapid.Bool().Draw(m.t, "silent")
	for range rapid.IntRange(1, 3).Draw(m.t, "parts") {
		m.pass(rapid.IntRange(1, 5).Draw(m.t, "renewals"))
		switch rapid.IntRange(0, 5).Draw(m.t, "beside") {
		case 0:
			m.restartAgent(a)
			m.dial(l, a)
		case 1:
			if a.session != nil {
				a.loseSession()
			}
			m.dial(l, a)
		case 2:
			m.electBeside()
		}
	}
	a.x.deaf, a.x.silent = false, false
	for range rapid.IntRange(1, 4).Draw(m.t, "calls") {
		m.arrive(a, true)
	}
}

// advance advances the clock.
func (m *termsModel) advance(by time.Duration) {
	m.now = m.now.Add(by)
	m.expireLeases()
	for _, a := range m.agents {
		m.lapse(a)
	}
}

// pass lets time pass, in which agents renew their leases with the leaders that they follow.
func (m *termsModel) pass(renewals int) {
	for range renewals {
		m.advance(termsRenewal)
		for _, l := range slices.Clone(m.leaders) {
			if slices.Contains(m.leaders, l) {
				m.confirm(l)
			}
		}
		for _, a := range m.agents {
			if a.session != nil {
				m.cycle(a.session.leader, a)
			}
		}
	}
}

// confirm confirms a term at once, unless the leader is cut off from the store.
func (m *termsModel) confirm(l *termsLeader) {
	m.answer(l)
	if slices.Contains(m.leaders, l) {
		m.ask(l)
		m.answer(l)
	}
}

// split elects a leader beside one that has just been confirmed and has work on all VMs, and
// lets some agents follow it.
func (m *termsModel) split() {
	last := m.latest()
	m.confirm(last)
	for _, a := range m.agents {
		m.cycle(last, a)
	}
	m.succeed()
}

// splitAgain elects two leaders after each other beside an earlier one.
func (m *termsModel) splitAgain() {
	m.split()
	m.pass(rapid.IntRange(0, 9).Draw(m.t, "renewals"))
	m.succeed()
	m.pass(rapid.IntRange(0, 9).Draw(m.t, "renewals"))
}

// succeed cuts the latest leader off, and elects another one that some agents follow.
func (m *termsModel) succeed() {
	last := m.latest()
	last.cut = true
	m.elect(termsLongest(termsGrantGrace))
	for _, a := range m.agents {
		if rapid.IntRange(0, 2).Draw(m.t, "follows") > 0 {
			m.cycle(m.latest(), a)
			m.notice(last, a)
		}
	}
}

// recover ends all faults and requires that every job ends.
func (m *termsModel) recover() {
	m.calm = true
	for _, x := range m.executors {
		x.deaf, x.silent = false, false
	}
	l := m.latest()
	l.cut = false
	done := func() bool {
		for _, job := range m.jobs {
			if l.ledger.Jobs[job.ID].Final == "" {
				return false
			}
		}
		return true
	}
	for range termsCycles {
		if done() {
			return
		}
		m.advance(termsCycle)
		m.confirm(l)
		for _, a := range m.agents {
			// One that drains ends, and the next one is announced. One that is said to have
			// left is not used again before, see TestExecutorSaidToLeaveIsUsedAgainOnceItAnswers.
			if a.draining || a.gone {
				m.restart(a.x)
			}
			if a.session != nil && a.session.leader != l {
				a.loseSession()
			}
			m.cycle(l, a)
			for _, id := range sortedTasks(a.x.running) {
				m.end(a.x, id, fleet.EndDone)
			}
		}
		m.record(l)
		m.store(l)
	}
	require.True(m.t, done(), "a task is lost: %d jobs, settled %v", len(m.jobs), l.ledger.Settled)
}

const (
	minTermsStarts  = 14000
	minTermsExpired = 100
	minTermsCounted = 100
	// termsChecks is the number of checks unless the command names one. Each takes longer
	// than those of the model of one leader.
	termsChecks = 3000
)

// limitChecks sets the number of checks of a test that has the default of the package.
func limitChecks(t *testing.T, checks int) {
	if f := flag.Lookup("rapid.checks"); f.Value.String() == strconv.Itoa(defaultChecks) {
		require.NoError(t, f.Value.Set(strconv.Itoa(checks)))
		t.Cleanup(func() { require.NoError(t, f.Value.Set(strconv.Itoa(defaultChecks))) })
	}
}

// Guards against runs of a task that meet, starts after its end and lost tasks while two
// leaders lead at a time.
func TestExploreLeadersBesideEachOther(t *testing.T) {
	limitChecks(t, termsChecks)
	modelStarts, modelExpired, modelCounted, modelBounded, modelLocated, modelSurveyed, modelLeft = 0, 0, 0, 0, 0, 0, 0
	defer func() {
		t.Logf("%d starts, %d of located tasks, %d orders ended by their deadline, %d runs by count, %d takeovers bounded, %d settled by lists of an earlier session, %d bounded by what the last leader stated", modelStarts, modelLocated, modelExpired, modelCounted, modelBounded, modelSurveyed, modelLeft)
		require.Greater(t, modelStarts, minTermsStarts)
		require.Greater(t, modelExpired, minTermsExpired)
		require.Greater(t, modelCounted, minTermsCounted)
	}()
	rapid.Check(t, func(t *rapid.T) {
		m := newTermsModel(t, rapid.IntRange(1, 3).Draw(t, "executors"))
		advance := func() {
			ms := rapid.SampledFrom([]int{20, 100, 300, 300, 1000, 2000, 4200}).Draw(t, "ms")
			m.advance(time.Duration(ms) * time.Millisecond)
		}
		steps := []struct {
			weight int
			run    func()
		}{
			{12, func() { m.cycle(m.leader(), m.agent()) }}, {4, func() { m.hold(m.agent()) }}, {4, func() { m.read(m.leader(), m.agent()) }},
			{4, func() { m.dispatch(m.leader()) }}, {4, func() { m.receive(m.agent()) }}, {5, func() { m.arrive(m.agent(), true) }},
			{4, func() { m.ask(m.leader()) }}, {4, func() { m.answer(m.leader()) }}, {3, func() { m.store(m.latest()) }},
			{2, func() { m.record(m.latest()) }}, {4, func() { m.finish(m.pick()) }}, {5, advance}, {1, m.electBeside}, {1, m.split}, {1, m.splitAgain}, {2, func() { m.reset(m.agent()) }}, {2, func() { m.reborn(m.agent()) }}, {2, func() { m.impair(m.agent()) }},
			{2, func() { m.pass(rapid.IntRange(1, 7).Draw(t, "renewals")) }}, {1, m.handOver}, {1, m.succeedEnded}, {1, func() { m.move(m.agent()) }}, {2, func() { m.accept(m.latest()) }},
			{1, func() { m.restart(m.pick()) }}, {1, func() { m.restartAgent(m.agent()) }},
			{1, func() { a := m.agent(); m.restartAgent(a); m.restart(a.x) }},
			{2, func() { m.adopt(m.agent()) }}, {2, func() { m.dial(m.leader(), m.agent()) }}, {1, func() { m.notice(m.leader(), m.agent()) }},
			{1, func() {
				if a := m.agent(); a.session != nil {
					a.loseSession()
				}
			}},
			{1, func() { m.leave(m.agent()) }}, {1, func() { m.drain(m.agent()) }}, {1, func() { m.foreignAnnouncement(m.agent()) }},
			{1, func() { l := m.latest(); l.cut = !l.cut }},
		}
		var draw []func()
		for _, s := range steps {
			for range s.weight {
				draw = append(draw, s.run)
			}
		}
		for range rapid.IntRange(30, 90).Draw(t, "steps") {
			draw[rapid.IntRange(0, len(draw)-1).Draw(t, "step")]()
		}
		m.recover()
	})
}
