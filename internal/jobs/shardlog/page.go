// Package shardlog keeps the records of one job shard in the key-value service.
//
// The log is a chain of numbered pages of at most MaxPageBytes. A page is
// rewritten by compare-and-swap until the write that fills it closes it; only a
// closed page gets a successor. Page n lives in the key of slot n mod RingPages.
// Slots are never deleted, so the version of a slot only rises and a stale
// owner's write always conflicts, also after its page has been replaced.
//
// A new owner writes the tail page, or its successor, under its generation: this
// is the fence. From then on every write of an earlier owner conflicts.
//
// A snapshot is the state before page Base in parts of at most MaxSnapshotBytes.
// Two areas alternate, so the snapshot in force is never overwritten. The slots
// of the pages before Base are reused.
package shardlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

const (
	// MaxPageBytes bounds a page; a larger page costs more per rewrite.
	MaxPageBytes = 32 << 10
	// MaxSnapshotBytes bounds one part of a snapshot.
	MaxSnapshotBytes = 256 << 10
	// RingPages is the number of page slots of a shard: 1 MB in full.
	RingPages = 32
	// compactPages is the number of live pages at which a snapshot is taken.
	compactPages = 12
	// headerBytes is reserved for the header line.
	headerBytes = 512
	// closeBytes closes a page with less room than this, which saves the write
	// that would only close it.
	closeBytes = 1 << 10
)

// Errors of a Log. Other errors match those of package kv and are transient.
var (
	// ErrFenced means another owner has taken the shard over. It is permanent.
	ErrFenced = errors.New("shardlog: fenced by another owner")
	// ErrCorrupt means the pages do not form a chain.
	ErrCorrupt = errors.New("shardlog: pages do not form a chain")
)

// header is the first line of a page or snapshot part.
type header struct {
	Writer     string `json:"writer"` // entry incarnation
	Seq        uint64 `json:"seq"`    // of the writer, per shard
	Generation uint64 `json:"gen"`
	Page       uint64 `json:"page"`             // snapshot: the first page after it
	Closed     bool   `json:"closed,omitempty"` // pages only
	Part       int    `json:"part,omitempty"`   // snapshots only
	Parts      int    `json:"parts,omitempty"`  // snapshots only
}

// same reports whether both headers come from the same write.
func (h header) same(o header) bool {
	return h.Writer == o.Writer && h.Seq == o.Seq && h.Generation == o.Generation
}

func (h header) encode(body []byte) []byte {
	line, err := json.Marshal(h)
	if err != nil {
		panic(fmt.Sprintf("shardlog: encode header: %v", err)) // plain values only: cannot fail
	}
	out := make([]byte, 0, len(line)+1+len(body))
	return append(append(append(out, line...), '\n'), body...)
}

func decode(key string, value []byte) (header, []byte, error) {
	var h header
	line, body, _ := bytes.Cut(value, []byte{'\n'})
	if err := json.Unmarshal(line, &h); err != nil {
		return h, nil, fmt.Errorf("%w: %s: %w", ErrCorrupt, key, err)
	}
	return h, body, nil
}

// lines splits a body into records.
func lines(body []byte) [][]byte {
	var out [][]byte
	for len(body) > 0 {
		line, rest, _ := bytes.Cut(body, []byte{'\n'})
		out, body = append(out, line), rest
	}
	return out
}

// chunks joins records into bodies of at most limit bytes.
func chunks(records [][]byte, limit int) [][]byte {
	out := [][]byte{nil}
	for _, r := range records {
		last := len(out) - 1
		if len(out[last]) > 0 && len(out[last])+len(r)+1 > limit {
			out, last = append(out, nil), last+1
		}
		out[last] = append(append(out[last], r...), '\n')
	}
	return out
}

func prefix(shard uint32) string { return fmt.Sprintf("jobs/%02d/", shard) }
func pageKey(shard uint32, page uint64) string {
	return fmt.Sprintf("jobs/%02d/p%02d", shard, page%RingPages)
}
func partKey(shard uint32, area, n int) string {
	return fmt.Sprintf("jobs/%02d/s%d-%03d", shard, area, n)
}
