package shardlog

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"vanillalock.example/vanillalock/internal/kv"
)

// image is the stored state of a shard at one revision of the store.
type image struct {
	pages    map[uint64]page   // by page number
	versions map[string]uint64 // by key
	snapshot *snapshot
}

// page is a decoded page or snapshot part.
type page struct {
	header
	body []byte
}

// snapshot is a complete snapshot.
type snapshot struct {
	area    int    // 0 or 1
	base    uint64 // first page after the snapshot
	records [][]byte
}

// readImage reads all keys of a shard at one revision.
func readImage(ctx context.Context, store kv.Store, shard uint32) (*image, error) {
	entries, _, err := store.List(ctx, shardPrefix(shard))
	if err != nil {
		return nil, fmt.Errorf("load shard %d: %w", shard, err)
	}
	img := &image{pages: map[uint64]page{}, versions: map[string]uint64{}}
	var areas [2][]page
	for _, e := range entries {
		h, body, err := decodePage(e.Key, e.Value)
		if err != nil {
			return nil, err
		}
		img.versions[e.Key] = e.Version
		name := strings.TrimPrefix(e.Key, shardPrefix(shard))
		switch {
		case strings.HasPrefix(name, "p"):
			img.pages[h.Page] = page{h, body}
		case strings.HasPrefix(name, "s0-"):
			areas[0] = append(areas[0], page{h, body})
		case strings.HasPrefix(name, "s1-"):
			areas[1] = append(areas[1], page{h, body})
		}
	}
	for area, parts := range areas {
		if s := assembleSnapshot(area, parts); s != nil && (img.snapshot == nil || s.base > img.snapshot.base) {
			img.snapshot = s
		}
	}
	return img, nil
}

// assembleSnapshot returns the snapshot in an area, or nil if a part is missing.
// Parts of a longer, older snapshot may follow its last part and are ignored.
func assembleSnapshot(area int, parts []page) *snapshot {
	if len(parts) == 0 || len(parts) < parts[0].Parts {
		return nil
	}
	first := parts[0]
	s := &snapshot{area: area, base: first.Page}
	for i, p := range parts[:first.Parts] {
		if p.Part != i || p.Parts != first.Parts || p.Page != first.Page ||
			p.Writer != first.Writer || p.Generation != first.Generation {
			return nil
		}
		s.records = append(s.records, splitRecords(p.body)...)
	}
	return s
}

// contents returns the records of the snapshot and of the pages after it, and the
// tail page. hasTail is false if no page follows the snapshot; tail is then the
// closed page before the base, or zero if the log is empty.
func (img *image) contents() (records [][]byte, tail page, hasTail bool, err error) {
	next := uint64(0)
	if img.snapshot != nil {
		records, next = img.snapshot.records, img.snapshot.base
	}
	pageCount := 0
	for n := next; ; n++ {
		p, found := img.pages[n]
		if !found {
			break
		}
		if hasTail && !tail.Closed {
			return nil, page{}, false, fmt.Errorf("%w: page %d follows an open page", ErrCorrupt, n)
		}
		records = append(records, splitRecords(p.body)...)
		tail, hasTail, pageCount = p, true, pageCount+1
	}
	for n := range img.pages {
		if n >= next+uint64(pageCount) {
			return nil, page{}, false, fmt.Errorf("%w: page %d is missing before page %d", ErrCorrupt, next+uint64(pageCount), n)
		}
	}
	if !hasTail && img.snapshot != nil {
		// The last page before the base was closed before the snapshot was written.
		tail = page{header: header{Page: next - 1, Closed: true, Generation: img.pages[next-1].Generation, Writer: img.pages[next-1].Writer}}
	}
	return records, tail, hasTail, nil
}

// maxOpenAttempts is the number of times that Open tries to fence the log. An
// attempt fails if a previous owner writes between the read and the fence, which
// it does at most once per log flush interval.
const maxOpenAttempts = 20

// Open loads the log of a shard and fences it with generation. writer is the
// incarnation of this entry. Open returns the records of the snapshot and of the
// pages after it. ErrFenced means that a later owner already exists.
func Open(ctx context.Context, store kv.Store, shard uint32, generation uint64, writer string) (*Log, [][]byte, error) {
	var lastErr error
	for range maxOpenAttempts {
		img, err := readImage(ctx, store, shard)
		if err != nil {
			return nil, nil, err
		}
		records, tail, hasTail, err := img.contents()
		if err != nil {
			return nil, nil, err
		}
		if tail.Generation > generation || (tail.Generation == generation && tail.Writer != writer && (hasTail || tail.Closed)) {
			return nil, nil, fmt.Errorf("open shard %d with generation %d: %w (generation %d of %s)",
				shard, generation, ErrFenced, tail.Generation, tail.Writer)
		}
		l := newLog(store, shard, generation, writer, img, tail, hasTail)
		if lastErr = l.fence(ctx); lastErr == nil {
			return l, records, nil
		}
		if !errors.Is(lastErr, ErrFenced) {
			return nil, nil, lastErr
		}
	}
	return nil, nil, lastErr
}

// newLog returns the log that continues img.
func newLog(store kv.Store, shard uint32, generation uint64, writer string, img *image, tail page, hasTail bool) *Log {
	l := &Log{store: store, shard: shard, generation: generation, writer: writer, versions: img.versions}
	if img.snapshot != nil {
		l.base, l.nextArea = img.snapshot.base, 1-img.snapshot.area
	}
	// A writer that opens the same generation again must not reuse a sequence
	// number, as writer, generation and number identify a write.
	for _, p := range img.pages {
		if p.Writer == writer {
			l.seq = max(l.seq, p.Seq)
		}
	}
	switch {
	case hasTail && !tail.Closed:
		l.tailPage, l.tailBody = tail.Page, tail.body
	case hasTail || img.snapshot != nil:
		l.tailPage = tail.Page + 1
	}
	return l
}

// fence writes the tail page under the new generation.
func (l *Log) fence(ctx context.Context) error {
	l.pending = []stagedWrite{l.newPageWrite(l.tailPage, l.tailBody, false)}
	return l.flushPages(ctx)
}
