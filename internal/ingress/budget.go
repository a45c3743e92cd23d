package ingress

import "time"

// Times after which a connection counts as stalled. A legal client that sends slowly has
// shorter pauses, except for lost segments that are sent again.
const (
	stallTime    = 2 * time.Second
	newStallTime = 100 * time.Millisecond // on a connection that has not had a request served; readiness checks fail while no room is made
)

// smallBytes is what a connection may hold beside its own cost and be closed only after
// those that hold more. An ordinary request with a body of 6 KB stays below it.
const smallBytes = 64 << 10

// reservedPart is the part of the budget that only small requests get: an eighth. Large
// ones that are being served, which are never closed, leave it to them.
const reservedPart = 8

// phase is what a connection does.
type phase uint8

const (
	receiving phase = iota // a request is arriving, or the first one is awaited
	serving                // a request has arrived whole; it is not closed for others
	idle                   // between requests
)

// Account is what one connection holds.
type Account struct {
	group    Group
	base     int64 // bytes that the connection itself holds
	held     int64 // bytes in all
	phase    phase
	known    bool          // it has had a request served
	progress time.Duration // when its last byte came
	began    time.Duration // when its request began
	closed   bool
}

// Budget accounts for the connections of a process and chooses which to close when bytes
// or connections are short. Times are since an origin that the user chooses. It is not
// safe for concurrent use.
type Budget struct {
	bytes    int64
	limits   [groups]int
	held     int64
	open     [groups]int
	accounts map[*Account]struct{}
}

// NewBudget returns a budget of bytes and of connections by group.
func NewBudget(bytes int64, connections [groups]int) *Budget {
	return &Budget{bytes: bytes, limits: connections, accounts: map[*Account]struct{}{}}
}

// Open adds a connection. It returns the connections to close for it, and nil if there is
// no room for it.
func (b *Budget) Open(group Group, now time.Duration) (a *Account, victims []*Account) {
	if b.open[group] >= b.limits[group] {
		v := b.victim(func(a *Account) (int, time.Duration) {
			if a.group != group {
				return keep, 0
			}
			return a.rank(now, false)
		})
		if v == nil {
			return nil, nil
		}
		b.Close(v)
		victims = append(victims, v)
	}
	a = &Account{group: group, base: connectionCost, progress: now, began: now}
	if group == Sessions {
		a.base = sessionCost
	}
	b.accounts[a] = struct{}{}
	b.open[group]++
	more, ok := b.charge(a, a.base, now)
	if victims = append(victims, more...); !ok {
		b.Close(a)
		return nil, victims
	}
	return a, victims
}

// Close removes a connection.
func (b *Budget) Close(a *Account) {
	if a.closed {
		return
	}
	a.closed = true
	b.held -= a.held
	b.open[a.group]--
	delete(b.accounts, a)
}

// Receive charges bytes that have come on a connection. It returns the connections to close
// for it, and whether it may go on. Nothing is charged beyond half of the budget, so that a
// single request is served whatever its size.
func (b *Budget) Receive(a *Account, bytes int64, now time.Duration) (victims []*Account, ok bool) {
	if a.closed {
		return nil, false
	}
	a.progress = now
	switch {
	case a.phase == idle:
		a.phase, a.began = receiving, now
	case a.phase == serving && a.group != Sessions:
		// net/http reads the first byte of the next request meanwhile. To fail here would
		// cancel the request that is being served.
		return nil, true
	}
	return b.charge(a, min(bytes, max(0, b.bytes/2-a.held)), now)
}

func (b *Budget) charge(a *Account, bytes int64, now time.Duration) (victims []*Account, ok bool) {
	limit := b.bytes
	if a.held+bytes > a.base+smallBytes {
		limit -= b.bytes / reservedPart
	}
	for b.held+bytes > limit {
		v := b.victim(func(other *Account) (int, time.Duration) {
			if other != a {
				return other.rank(now, true)
			}
			if a.large() {
				return latestLarge, a.began
			}
			return keep, 0
		})
		if v == nil || v == a {
			return victims, false
		}
		b.Close(v)
		victims = append(victims, v)
	}
	a.held += bytes
	b.held += bytes
	return victims, true
}

// Release returns bytes that a connection holds no longer.
func (b *Budget) Release(a *Account, bytes int64) {
	if bytes = min(bytes, a.held-a.base); bytes > 0 && !a.closed {
		a.held -= bytes
		b.held -= bytes
	}
}

// Serve marks that a connection's request has arrived whole. It returns false if the
// connection was closed before.
func (b *Budget) Serve(a *Account) bool {
	if a.closed {
		return false
	}
	a.phase, a.known = serving, true
	return true
}

// Finish releases what the request of a connection holds. The request has been read whole
// or, if not, its rest is still arriving.
func (b *Budget) Finish(a *Account, whole bool, now time.Duration) {
	b.Release(a, a.held)
	a.phase, a.progress, a.began = receiving, now, now
	if whole {
		a.phase = idle
	}
}

// large reports whether the connection holds more than an ordinary request.
func (a *Account) large() bool { return a.held > a.base+smallBytes }

// Ranks of connections, those to be closed first last. Within a rank the one with the
// larger time is closed.
const (
	keep         = iota
	longestIdle  // between requests
	newStalled   // stalled since newStallTime, and no request has been served on it
	longStalled  // stalled since stallTime
	latestLarge  // holds much: the latest request is closed, as it loses least
	largeStalled // holds much and is stalled since stallTime
)

// rank returns the rank of a connection and the time by which it is compared in the rank.
// What it holds matters only if bytes are short.
func (a *Account) rank(now time.Duration, forBytes bool) (int, time.Duration) {
	stalled := now - a.progress
	large := forBytes && a.large()
	switch {
	case a.phase == serving:
		return keep, 0
	case large && stalled >= stallTime:
		return largeStalled, stalled
	case large:
		return latestLarge, a.began
	case a.phase == idle:
		return longestIdle, stalled
	case stalled >= stallTime:
		return longStalled, stalled
	case !a.known && stalled >= newStallTime:
		return newStalled, stalled
	}
	return keep, 0
}

// victim returns the connection with the highest rank and time, or nil if all are kept.
func (b *Budget) victim(rank func(*Account) (int, time.Duration)) *Account {
	var first *Account
	firstRank, firstTime := keep, time.Duration(0)
	for a := range b.accounts {
		r, t := rank(a)
		if r > firstRank || r == firstRank && r != keep && t > firstTime {
			first, firstRank, firstTime = a, r, t
		}
	}
	return first
}
