package shardlog

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"vanillalock.example/vanillalock/internal/kv"
)

// resolveAttempts bounds how often one Flush repeats a write whose outcome the
// service did not tell.
const resolveAttempts = 3

// Batch is a group of records to make durable, see jobs.Batch.
type Batch struct {
	Records  [][]byte
	Snapshot [][]byte // the state after Records, or nil
}

// Log is the log of a shard owned under one generation. It is not safe for
// concurrent use.
type Log struct {
	store      kv.Store
	shard      uint32
	generation uint64
	writer     string
	versions   map[string]uint64 // of each key, as last seen

	seq       uint64
	page      uint64 // number of the tail page
	body      []byte // its durable records
	base      uint64 // first page after the snapshot in force
	area      int    // area of the next snapshot
	pending   []pageWrite
	snapshots []*snapshotWrite // staged and not yet in force, oldest first
	fenced    error
	writes    uint64
}

type pageWrite struct {
	header
	body  []byte
	value []byte
}

type snapshotWrite struct {
	base     uint64
	parts    []pageWrite
	next     int
	required bool // its records are in no page
}

// Writes returns the number of write calls made to the store.
func (l *Log) Writes() uint64 { return l.writes }

// NeedsSnapshot reports whether the next batch, with records of the given size,
// must carry a snapshot.
func (l *Log) NeedsSnapshot(recordBytes int) bool {
	return int(l.page-l.stagedBase())+1+recordBytes/(MaxPageBytes-headerBytes) >= compactPages
}

// stagedBase is the first page after the snapshots that are in force or staged.
func (l *Log) stagedBase() uint64 {
	if n := len(l.snapshots); n > 0 {
		return l.snapshots[n-1].base
	}
	return l.base
}

// Stage prepares the writes of a batch. The previous batch must be flushed.
func (l *Log) Stage(b Batch) error {
	if len(l.pending) > 0 {
		return fmt.Errorf("stage shard %d: a batch is still pending", l.shard)
	}
	if len(b.Records) == 0 {
		return nil
	}
	for _, r := range b.Records {
		if len(r) > MaxPageBytes-headerBytes-1 || bytes.IndexByte(r, '\n') >= 0 {
			return fmt.Errorf("stage shard %d: a record of %d bytes fits no page: %w", l.shard, len(r), kv.ErrTooLarge)
		}
	}
	l.stagePages(b.Records, b.Snapshot != nil)
	required := l.pending[len(l.pending)-1].Page >= l.stagedBase()+RingPages
	if required {
		// More records than free slots: the snapshot alone carries them.
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

// stagePages distributes records over the tail page and its successors.
func (l *Log) stagePages(records [][]byte, closeTail bool) {
	page, body := l.page, bytes.Clone(l.body)
	for _, r := range records {
		if len(body)+len(r)+1 > MaxPageBytes-headerBytes {
			l.pending = append(l.pending, l.write(page, body, true))
			page, body = page+1, nil
		}
		body = append(append(body, r...), '\n')
	}
	full := len(body) > MaxPageBytes-headerBytes-closeBytes
	l.pending = append(l.pending, l.write(page, body, full || closeTail))
}

func (l *Log) write(page uint64, body []byte, closed bool) pageWrite {
	l.seq++
	h := header{Writer: l.writer, Seq: l.seq, Generation: l.generation, Page: page, Closed: closed}
	return pageWrite{header: h, body: body, value: h.encode(body)}
}

func (l *Log) stageSnapshot(records [][]byte, required bool) {
	base := l.pending[len(l.pending)-1].Page + 1
	s := &snapshotWrite{base: base, required: required}
	bodies := chunks(records, MaxSnapshotBytes-headerBytes)
	for i, body := range bodies {
		l.seq++
		h := header{Writer: l.writer, Seq: l.seq, Generation: l.generation, Page: base, Part: i, Parts: len(bodies)}
		s.parts = append(s.parts, pageWrite{header: h, value: h.encode(body)})
	}
	l.snapshots = append(l.snapshots, s)
}

// Flush makes the staged batch durable. It returns nil when every record is
// durable. After ErrFenced the owner gives the shard up; after any other error it
// calls Flush again: the same bytes are written again, so an answer that was lost
// or a call that takes effect late does no harm.
func (l *Log) Flush(ctx context.Context) error {
	if l.fenced != nil {
		return l.fenced
	}
	if len(l.pending) > 0 {
		// An earlier snapshot comes first: its slots may be needed now.
		if err := l.flushSnapshots(ctx, l.pending[0].Page); err != nil {
			return err
		}
	}
	if err := l.flushPages(ctx); err != nil {
		return err
	}
	err := l.flushSnapshots(ctx, l.page)
	if err != nil && (errors.Is(err, ErrFenced) || l.snapshots[0].required) {
		return err
	}
	return nil // an incomplete snapshot is continued by the next Flush
}

func (l *Log) flushPages(ctx context.Context) error {
	for len(l.pending) > 0 {
		w := l.pending[0]
		if err := l.put(ctx, pageKey(l.shard, w.Page), w); err != nil {
			return err
		}
		l.pending = l.pending[1:]
		l.page, l.body = w.Page, w.body
		if w.Closed {
			l.page, l.body = w.Page+1, nil
		}
	}
	return nil
}

// put writes one page. On a lost answer or a conflict it reads the value back:
// the own writer and seq mean that the write took effect.
func (l *Log) put(ctx context.Context, key string, w pageWrite) error {
	var err error
	for range resolveAttempts {
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
		applied, version, rerr := l.readBack(ctx, key, w.header)
		switch {
		case rerr != nil:
			return fmt.Errorf("read back %s: %w", key, rerr)
		case applied:
			l.versions[key] = version
			return nil
		case version != expected:
			l.fenced = fmt.Errorf("write %s at version %d, found %d: %w", key, expected, version, ErrFenced)
			return l.fenced
		}
	}
	return fmt.Errorf("write %s: %w", key, err)
}

// readBack reports whether the value of key comes from the write of h.
func (l *Log) readBack(ctx context.Context, key string, h header) (applied bool, version uint64, err error) {
	e, err := l.store.Get(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return false, 0, nil
	}
	if err != nil {
		return false, 0, err
	}
	got, _, err := decode(key, e.Value)
	return err == nil && got.same(h), e.Version, err
}

// flushSnapshots writes the remaining parts of the staged snapshots whose base is
// at most limit.
func (l *Log) flushSnapshots(ctx context.Context, limit uint64) error {
	for len(l.snapshots) > 0 && l.snapshots[0].base <= limit {
		s := l.snapshots[0]
		for s.next < len(s.parts) {
			if err := l.putPart(ctx, partKey(l.shard, l.area, s.next), s.parts[s.next]); err != nil {
				return err
			}
			s.next++
		}
		l.base, l.area, l.snapshots = s.base, 1-l.area, l.snapshots[1:]
	}
	return nil
}

// putPart writes a part. An abandoned snapshot of an earlier owner may have been
// written into the same area since the load; it is overwritten, but never a
// part of a later generation.
func (l *Log) putPart(ctx context.Context, key string, w pageWrite) error {
	err := l.put(ctx, key, w)
	if !errors.Is(err, ErrFenced) {
		return err
	}
	e, gerr := l.store.Get(ctx, key)
	if gerr != nil {
		l.fenced = nil
		return fmt.Errorf("read %s: %w", key, gerr)
	}
	got, _, derr := decode(key, e.Value)
	if derr != nil || got.Generation >= l.generation {
		return err
	}
	l.fenced = nil
	l.versions[key] = e.Version
	return l.put(ctx, key, w)
}
