package shardlog

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"vanillalock.example/vanillalock/internal/kv"
)

// maxWriteAttempts is the number of times that one Flush tries a write whose outcome
// is unknown.
const maxWriteAttempts = 3

// Batch is a group of records to make durable; see jobs.Batch.
type Batch struct {
	Records  [][]byte
	Snapshot [][]byte // the state after Records, or nil
}

// Log writes the log of a shard owned under one generation. It is not safe for
// concurrent use.
type Log struct {
	store      kv.Store
	shard      uint32
	generation uint64
	writer     string
	versions   map[string]uint64 // last known version of each key

	seq       uint64
	tailPage  uint64 // number of the tail page
	tailBody  []byte // durable records of the tail page
	base      uint64 // base of the current snapshot
	nextArea  int    // area of the next snapshot
	pending   []stagedWrite
	snapshots []*snapshotWrite // staged and not completely written, oldest first
	fencedErr error
	writes    uint64
}

// stagedWrite is a write of a page or snapshot part that has been staged.
type stagedWrite struct {
	header
	body  []byte
	value []byte
}

// snapshotWrite is a staged snapshot.
type snapshotWrite struct {
	base     uint64
	parts    []stagedWrite
	nextPart int
	required bool // no page holds the batch's records, so Flush must write the snapshot
}

// Writes returns the number of write calls made to the store.
func (l *Log) Writes() uint64 { return l.writes }

// NeedsSnapshot reports whether the next batch, with records of the given size,
// must carry a snapshot.
func (l *Log) NeedsSnapshot(recordBytes int) bool {
	return int(l.tailPage-l.stagedBase())+1+recordBytes/(MaxPageBytes-headerBytes) >= snapshotPages
}

// stagedBase returns the base of the newest snapshot, staged ones included.
func (l *Log) stagedBase() uint64 {
	if n := len(l.snapshots); n > 0 {
		return l.snapshots[n-1].base
	}
	return l.base
}

// Stage prepares the writes of a batch. The previous batch must have been flushed.
func (l *Log) Stage(b Batch) error {
	if len(l.pending) > 0 {
		return fmt.Errorf("stage shard %d: a batch is still pending", l.shard)
	}
	if len(b.Records) == 0 {
		return nil
	}
	for _, r := range b.Records {
		if len(r) > MaxPageBytes-headerBytes-1 || bytes.IndexByte(r, '\n') >= 0 {
			return fmt.Errorf("stage shard %d: a record of %d bytes has a newline or does not fit in a page: %w", l.shard, len(r), kv.ErrTooLarge)
		}
	}
	l.stagePages(b.Records, b.Snapshot != nil)
	required := l.pending[len(l.pending)-1].Page >= l.stagedBase()+RingPages
	if required {
		// The batch needs more pages than there are free slots. Only the snapshot
		// carries its records.
		l.pending = nil
		if b.Snapshot == nil {
			return fmt.Errorf("stage shard %d: the batch needs a snapshot: %w", l.shard, kv.ErrTooLarge)
		}
		l.stagePages(nil, true)
	}
	if b.Snapshot != nil {
		l.stageSnapshot(b.Snapshot, required)
	}
	return nil
}

// stagePages stages records in the tail page and, if necessary, in new pages. It
// closes the last page if closeTail is set.
func (l *Log) stagePages(records [][]byte, closeTail bool) {
	page, body := l.tailPage, bytes.Clone(l.tailBody)
	for _, r := range records {
		if len(body)+len(r)+1 > MaxPageBytes-headerBytes {
			l.pending = append(l.pending, l.newPageWrite(page, body, true))
			page, body = page+1, nil
		}
		body = append(append(body, r...), '\n')
	}
	full := len(body) > MaxPageBytes-headerBytes-minFreeBytes
	l.pending = append(l.pending, l.newPageWrite(page, body, full || closeTail))
}

// newPageWrite returns the write of a page under the next sequence number.
func (l *Log) newPageWrite(page uint64, body []byte, closed bool) stagedWrite {
	l.seq++
	h := header{Writer: l.writer, Seq: l.seq, Generation: l.generation, Page: page, Closed: closed}
	return stagedWrite{header: h, body: body, value: h.encodePage(body)}
}

// stageSnapshot stages a snapshot whose base is the page after the pending ones.
func (l *Log) stageSnapshot(records [][]byte, required bool) {
	base := l.pending[len(l.pending)-1].Page + 1
	s := &snapshotWrite{base: base, required: required}
	bodies := joinRecords(records, MaxSnapshotBytes-headerBytes)
	for i, body := range bodies {
		l.seq++
		h := header{Writer: l.writer, Seq: l.seq, Generation: l.generation, Page: base, Part: i, Parts: len(bodies)}
		s.parts = append(s.parts, stagedWrite{header: h, value: h.encodePage(body)})
	}
	l.snapshots = append(l.snapshots, s)
}

// Flush makes the staged batch durable. It returns nil when every record is
// durable. After ErrFenced the owner must give up the shard. After any other error
// it must call Flush again, which writes the same bytes again: a lost answer or a
// write that takes effect late does no harm.
func (l *Log) Flush(ctx context.Context) error {
	if l.fencedErr != nil {
		return l.fencedErr
	}
	if len(l.pending) > 0 {
		// Finish earlier snapshots first: the batch may reuse slots of the pages
		// that they replace.
		if err := l.flushSnapshots(ctx, l.pending[0].Page); err != nil {
			return err
		}
	}
	if err := l.flushPages(ctx); err != nil {
		return err
	}
	err := l.flushSnapshots(ctx, l.tailPage)
	if err != nil && (errors.Is(err, ErrFenced) || l.snapshots[0].required) {
		return err
	}
	return nil // the next Flush continues an incomplete snapshot
}

// flushPages writes the staged pages in order.
func (l *Log) flushPages(ctx context.Context) error {
	for len(l.pending) > 0 {
		w := l.pending[0]
		if err := l.writeKey(ctx, pageKey(l.shard, w.Page), w); err != nil {
			return err
		}
		l.pending = l.pending[1:]
		l.tailPage, l.tailBody = w.Page, w.body
		if w.Closed {
			l.tailPage, l.tailBody = w.Page+1, nil
		}
	}
	return nil
}

// writeKey writes a page or snapshot part. After an uncertain outcome or a conflict
// it reads the key back: the header of w means that the write took effect, and
// otherwise a changed version means that another owner has written the key.
func (l *Log) writeKey(ctx context.Context, key string, w stagedWrite) error {
	var err error
	for range maxWriteAttempts {
		expected := l.versions[key]
		l.writes++
		var e kv.Entry
		if e, err = l.store.CompareAndSwap(ctx, key, expected, w.value, 0); err == nil {
			l.versions[key] = e.Version
			return nil
		}
		if !errors.Is(err, kv.ErrUncertain) && !errors.Is(err, kv.ErrConflict) {
			break
		}
		applied, version, readErr := l.readBack(ctx, key, w.header)
		switch {
		case readErr != nil:
			return fmt.Errorf("read back %s: %w", key, readErr)
		case applied:
			l.versions[key] = version
			return nil
		case version != expected:
			l.fencedErr = fmt.Errorf("write %s at version %d, found %d: %w", key, expected, version, ErrFenced)
			return l.fencedErr
		}
	}
	return fmt.Errorf("write %s: %w", key, err)
}

// readBack reports whether the value of key was written by the write with header h,
// and returns the version of key.
func (l *Log) readBack(ctx context.Context, key string, h header) (applied bool, version uint64, err error) {
	e, err := l.store.Get(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return false, 0, nil
	}
	if err != nil {
		return false, 0, err
	}
	got, _, err := decodePage(key, e.Value)
	return err == nil && got.sameWrite(h), e.Version, err
}

// flushSnapshots writes the remaining parts of the staged snapshots whose base is
// at most limit, a page number.
func (l *Log) flushSnapshots(ctx context.Context, limit uint64) error {
	for len(l.snapshots) > 0 && l.snapshots[0].base <= limit {
		s := l.snapshots[0]
		for s.nextPart < len(s.parts) {
			if err := l.writePart(ctx, partKey(l.shard, l.nextArea, s.nextPart), s.parts[s.nextPart]); err != nil {
				return err
			}
			s.nextPart++
		}
		l.base, l.nextArea, l.snapshots = s.base, 1-l.nextArea, l.snapshots[1:]
	}
	return nil
}

// writePart writes a snapshot part. An earlier owner may have written parts of an
// unfinished snapshot to the same area after this owner loaded the log. They are
// overwritten; a part of this or a later generation never is.
func (l *Log) writePart(ctx context.Context, key string, w stagedWrite) error {
	err := l.writeKey(ctx, key, w)
	if !errors.Is(err, ErrFenced) {
		return err
	}
	e, getErr := l.store.Get(ctx, key)
	if getErr != nil {
		l.fencedErr = nil
		return fmt.Errorf("read %s: %w", key, getErr)
	}
	got, _, decodeErr := decodePage(key, e.Value)
	if decodeErr != nil || got.Generation >= l.generation {
		return err
	}
	l.fencedErr = nil
	l.versions[key] = e.Version
	return l.writeKey(ctx, key, w)
}
