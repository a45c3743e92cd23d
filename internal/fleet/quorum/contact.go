package quorum

import "time"

// Contact is what a leader knows of its contact with one agent.
type Contact struct {
	address    string    // of the agent in its latest session
	introduced time.Time // when the first report of the session came; zero: none has
	process    uint64    // of the agent in the session; 0: an agent of an earlier version
	answers    []answer  // of the session, not known to be received, the oldest first
	// unconfirmed is the contact in the session by a process that may have followed a later
	// leader before.
	unconfirmed time.Time
	// confirmed is the process that followed this leader when the store confirmed the term.
	// While it lasts it accepts no session after it has followed a later leader.
	confirmed uint64
	at        time.Time
}

// answer is a frame that answers a report.
type answer struct {
	report uint64
	sent   time.Time
}

// maxAnswers bounds the answers that are not known to be received. Agents report several
// times a second while a session lasts.
const maxAnswers = 64

// Address returns the address of the agent in its latest session.
func (c *Contact) Address() string { return c.address }

// At returns when the latest frame was sent that the agent is known to have received from
// this leader before it followed a later one. It is zero if there is none.
func (c *Contact) At() time.Time { return c.at }

// IsSilent reports whether the agent is of a version that does not tell what it receives.
func (c *Contact) IsSilent() bool { return !c.introduced.IsZero() && c.process == 0 }

// Begin records that a session is open whose first frame was sent at a time.
func (c *Contact) Begin(address string, sent time.Time) {
	if address != c.address {
		*c = Contact{address: address}
	}
	c.introduced, c.process, c.unconfirmed = time.Time{}, 0, time.Time{}
	c.answers = append(c.answers[:0], answer{0, sent})
}

// Introduce records the process that has sent the first report of the session, which came
// at a time.
func (c *Contact) Introduce(process uint64, now time.Time) {
	c.introduced, c.process = now, process
}

// Answer records that a report is answered at a time.
func (c *Contact) Answer(report uint64, now time.Time) {
	if len(c.answers) < maxAnswers {
		c.answers = append(c.answers, answer{report, now})
	}
}

// Received records that the agent has received the answer to a report. 0 stands for the
// first frame of the session.
func (c *Contact) Received(report uint64) {
	if c.process == 0 {
		return
	}
	for len(c.answers) > 0 && c.answers[0].report <= report {
		c.unconfirmed = c.answers[0].sent
		c.answers = c.answers[1:]
	}
	c.count()
}

// Confirm records that the store has confirmed the term by a call sent at a time.
func (c *Contact) Confirm(sent time.Time) {
	if !c.introduced.IsZero() && c.introduced.Before(sent) {
		c.confirmed = c.process
		c.count()
	}
}

// count counts the contact in the session if its process is confirmed.
func (c *Contact) count() {
	if c.process != 0 && c.process == c.confirmed && c.unconfirmed.After(c.at) {
		c.at = c.unconfirmed
	}
}
