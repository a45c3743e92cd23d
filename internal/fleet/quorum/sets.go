package quorum

import (
	"slices"
	"time"
)

// maxSets bounds the sets in the record of a term, which is read at each election.
const maxSets = 8

// Sets are the sets by which the leases of a term, and those of earlier ones that may last,
// were granted. The zero value stands for leases that were granted without.
type Sets struct {
	current Set
	retired []retiredSet
	bounded bool // no lease of an earlier leader that may last was granted without a set
}

// retiredSet is a set by which no leases are granted any more. nil: none was used.
type retiredSet struct {
	set       Set
	at        time.Time
	inherited bool // replaced by an earlier leader
}

// Inherit returns the sets of a term that begins after leaders that granted leases by the
// given sets; none if some were granted without. The first one is used on, else the first one
// of those of the last term, which are none if that term has granted leases without.
func Inherit(earlier, last []Set, began time.Time) Sets {
	s := Sets{bounded: len(earlier) > 0}
	if !s.bounded {
		earlier = last
	}
	if len(earlier) > 0 {
		s.current = earlier[0]
		for _, set := range earlier[1:] {
			s.retired = append(s.retired, retiredSet{set, began, true})
		}
	}
	return s
}

// Current returns the set by which leases are granted, or nil if they are granted without.
func (s *Sets) Current() Set { return s.current }

// All returns the sets, the current one first, or nil if some leases that may last were
// granted without one, or by too many.
func (s *Sets) All() []Set { return s.all(s.retired) }

// AllAfter is as All, once the current set has been replaced.
func (s *Sets) AllAfter(next Set) []Set {
	after := Sets{current: next, bounded: s.bounded}
	return after.all(append(slices.Clone(s.retired), retiredSet{set: s.current}))
}

// Own returns the sets by which this term grants leases, or has granted some that may last,
// the current one first; nil if some were granted without. Leases by a set that was replaced
// before a time have expired.
func (s *Sets) Own(before time.Time) []Set { return s.own(s.current, s.retired, before) }

// OwnAfter is as Own, once the current set has been replaced.
func (s *Sets) OwnAfter(next Set, before time.Time) []Set {
	return s.own(next, append(slices.Clone(s.retired), retiredSet{set: s.current, at: before}), before)
}

func (s *Sets) own(current Set, retired []retiredSet, before time.Time) []Set {
	last := Sets{current: current, bounded: true}
	return last.all(slices.DeleteFunc(slices.Clone(retired), func(r retiredSet) bool { return r.inherited || r.at.Before(before) }))
}

func (s *Sets) all(retired []retiredSet) []Set {
	if !s.bounded || s.current == nil {
		return nil
	}
	sets := []Set{s.current}
	for _, r := range retired {
		if r.set == nil || len(sets) == maxSets {
			return nil
		}
		if !slices.ContainsFunc(sets, r.set.Equal) {
			sets = append(sets, r.set)
		}
	}
	return sets
}

// Replace replaces the current set. AllAfter has to be stored before.
func (s *Sets) Replace(next Set, now time.Time) {
	s.retired = append(s.retired, retiredSet{set: s.current, at: now})
	s.current = next
}

// Expire drops the sets that were replaced before a time, by which no lease that may last
// was granted. It is called once no lease of an earlier leader lasts.
func (s *Sets) Expire(before time.Time) {
	s.bounded = true
	s.retired = slices.DeleteFunc(s.retired, func(r retiredSet) bool { return r.at.Before(before) })
}
