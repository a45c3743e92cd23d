package shard

import (
	"encoding/json"
	"fmt"
	"slices"
)

// MemberList holds the members of one epoch, ordered by name.
type MemberList struct {
	Epoch   uint64   `json:"epoch"`
	Members []string `json:"members"`
}

// MaxEpochs is the number of lists that Members keeps. If an attempt is older
// than the oldest list, members can no longer attest that its permit has ended
// (lease.PermitEnded), and its restart waits for the hold limit. The bound
// therefore covers several replacements of every entry.
const MaxEpochs = 256

// Members holds the current member list of a region and the lists of earlier
// epochs that running attempts may still refer to.
type Members struct {
	Stamp
	// Lists is ordered by epoch without gaps; the last one is current.
	Lists []MemberList `json:"lists"`
}

// Current returns the list of the highest epoch; its epoch is 0 if there is none.
func (m Members) Current() MemberList {
	if len(m.Lists) == 0 {
		return MemberList{}
	}
	return m.Lists[len(m.Lists)-1]
}

// Since returns the lists from an epoch to the current one. ok is false if a
// list is no longer kept.
func (m Members) Since(epoch uint64) (lists []MemberList, ok bool) {
	for i, l := range m.Lists {
		if l.Epoch == epoch {
			return slices.Clone(m.Lists[i:]), true
		}
	}
	return nil, false
}

// With returns the members with a new epoch that consists of the live entries.
// It returns the members unchanged and false if live is empty or equals the
// current list. Lists below floor, the lowest epoch of a running attempt, are
// dropped.
func (m Members) With(stamp Stamp, live []string, floor uint64) (Members, bool) {
	next := slices.Clone(live)
	slices.Sort(next)
	next = slices.Compact(next)
	cur := m.Current()
	if len(next) == 0 || slices.Equal(next, cur.Members) {
		return m, false
	}
	lists := append(slices.Clone(m.Lists), MemberList{Epoch: cur.Epoch + 1, Members: next})
	drop := max(0, len(lists)-MaxEpochs)
	for drop < len(lists)-1 && lists[drop].Epoch < floor {
		drop++
	}
	return Members{Stamp: stamp, Lists: lists[drop:]}, true
}

// Encode returns the members as JSON.
func (m Members) Encode() ([]byte, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("shard: encode members: %w", err)
	}
	return b, nil
}

// DecodeMembers decodes the member lists. Its errors wrap ErrInvalid.
func DecodeMembers(b []byte) (Members, error) {
	var m Members
	if err := json.Unmarshal(b, &m); err != nil {
		return Members{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	for i, l := range m.Lists {
		if l.Epoch == 0 || i > 0 && l.Epoch != m.Lists[i-1].Epoch+1 || !slices.IsSorted(l.Members) {
			return Members{}, fmt.Errorf("%w: member list %d has an invalid epoch or is not sorted", ErrInvalid, i)
		}
	}
	return m, nil
}
