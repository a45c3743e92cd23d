// Package shardlog keeps the records of one job shard in the key-value service.
//
// The log is a sequence of numbered pages of at most MaxPageBytes. Records are
// appended to the last page, the tail, by rewriting it with compare-and-swap. The
// write that fills a page marks it closed; only a closed page has a successor.
// Page n is stored in slot n mod RingPages. A slot is one key. Slots are never
// deleted, so the version of a slot only rises and a write of a stale owner always
// conflicts, even after its page has been replaced.
//
// A new owner fences the log: it writes the tail page, or its successor if the tail
// is closed, under its own generation. From then on every write of an earlier owner
// conflicts.
//
// A snapshot holds the state before a page, its base, in parts of at most
// MaxSnapshotBytes. Snapshots are written to two areas in turn, so the current one
// is never overwritten. The slots of the pages before the base are reused.
package shardlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

const (
	// MaxPageBytes is the maximum size of a page. A larger page costs more per
	// rewrite.
	MaxPageBytes = 32 << 10
	// MaxSnapshotBytes is the maximum size of one part of a snapshot.
	MaxSnapshotBytes = 256 << 10
	// RingPages is the number of page slots of a shard, which take at most 1 MB.
	RingPages = 32
	// snapshotPages is the number of pages since the last snapshot at which the
	// next one is taken.
	snapshotPages = 12
	// headerBytes is the space reserved for the header line.
	headerBytes = 512
	// minFreeBytes is the free space below which a page is closed by the write that
	// filled it. This saves a separate write that only closes the page.
	minFreeBytes = 1 << 10
)

// Errors of a Log. Other errors match those of package kv and are transient.
var (
	// ErrFenced means that another owner has taken over the shard. It is permanent.
	ErrFenced = errors.New("shardlog: fenced by another owner")
	// ErrCorrupt means that a stored value cannot be decoded or that the pages do
	// not form a sequence.
	ErrCorrupt = errors.New("shardlog: corrupt log")
)

// header is the first line of a page or snapshot part.
type header struct {
	Writer     string `json:"writer"` // entry incarnation
	Seq        uint64 `json:"seq"`    // number of the write, rising per writer and shard
	Generation uint64 `json:"gen"`
	Page       uint64 `json:"page"`             // snapshot: its base, the first page after it
	Closed     bool   `json:"closed,omitempty"` // pages only
	Part       int    `json:"part,omitempty"`   // snapshots only
	Parts      int    `json:"parts,omitempty"`  // snapshots only
}

// sameWrite reports whether both headers were written by the same write.
func (h header) sameWrite(o header) bool {
	return h.Writer == o.Writer && h.Seq == o.Seq && h.Generation == o.Generation
}

// encodePage returns the stored value: the header line followed by body.
func (h header) encodePage(body []byte) []byte {
	line, err := json.Marshal(h)
	if err != nil {
		panic(fmt.Sprintf("shardlog: encode header: %v", err)) // plain values only: cannot fail
	}
	out := make([]byte, 0, len(line)+1+len(body))
	return append(append(append(out, line...), '\n'), body...)
}

// decodePage splits the value of key into its header and body.
func decodePage(key string, value []byte) (header, []byte, error) {
	var h header
	line, body, _ := bytes.Cut(value, []byte{'\n'})
	if err := json.Unmarshal(line, &h); err != nil {
		return h, nil, fmt.Errorf("%w: %s: %w", ErrCorrupt, key, err)
	}
	return h, body, nil
}

// splitRecords splits a body into its newline-terminated records.
func splitRecords(body []byte) [][]byte {
	var out [][]byte
	for len(body) > 0 {
		line, rest, _ := bytes.Cut(body, []byte{'\n'})
		out, body = append(out, line), rest
	}
	return out
}

// joinRecords joins records into bodies of at most limit bytes. There is at least
// one body, and a record larger than limit gets a body of its own.
func joinRecords(records [][]byte, limit int) [][]byte {
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

func shardPrefix(shard uint32) string { return fmt.Sprintf("jobs/%02d/", shard) }

// pageKey returns the key of a page's slot.
func pageKey(shard uint32, page uint64) string {
	return fmt.Sprintf("jobs/%02d/p%02d", shard, page%RingPages)
}

// partKey returns the key of part n of the snapshot in an area.
func partKey(shard uint32, area, n int) string {
	return fmt.Sprintf("jobs/%02d/s%d-%03d", shard, area, n)
}
