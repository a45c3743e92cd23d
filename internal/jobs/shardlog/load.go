package shardlog

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"vanillalock.example/vanillalock/internal/kv"
)

// image is everything stored for a shard.
type image struct {
	pages    map[uint64]page // by page number
	versions map[string]uint64
	snapshot *snapshot
}

type page struct {
	header
	body []byte
}

type snapshot struct {
	area    int
	base    uint64
	records [][]byte
}

// read lists the keys of a shard at one revision.
func read(ctx context.Context, store kv.Store, shard uint32) (*image, error) {
	entries, _, err := store.List(ctx, prefix(shard))
	if err != nil {
		return nil, fmt.Errorf("load shard %d: %w", shard, err)
	}
	img := &image{pages: map[uint64]page{}, versions: map[string]uint64{}}
	var areas [2][]page
	for _, e := range entries {
		h, body, err := decode(e.Key, e.Value)
		if err != nil {
			return nil, err
		}
		img.versions[e.Key] = e.Version
		name := strings.TrimPrefix(e.Key, prefix(shard))
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
		if s := assemble(area, parts); s != nil && (img.snapshot == nil || s.base > img.snapshot.base) {
			img.snapshot = s
		}
	}
	return img, nil
}

// assemble returns the snapshot of an area if all its parts are present. Parts of
// a longer, older snapshot may follow the last part.
func assemble(area int, parts []page) *snapshot {
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
		s.records = append(s.records, lines(p.body)...)
	}
	return s
}

// chain returns the records and the tail of the log; ok is false if it has no page.
func (img *image) chain() (records [][]byte, tail page, ok bool, err error) {
	next := uint64(0)
	if img.snapshot != nil {
		records, next = img.snapshot.records, img.snapshot.base
	}
	live := 0
	for n := next; ; n++ {
		p, found := img.pages[n]
		if !found {
			break
		}
		if ok && !tail.Closed {
			return nil, page{}, false, fmt.Errorf("%w: page %d follows an open page", ErrCorrupt, n)
		}
		records = append(records, lines(p.body)...)
		tail, ok, live = p, true, live+1
	}
	for n := range img.pages {
		if n >= next+uint64(live) {
			return nil, page{}, false, fmt.Errorf("%w: page %d is missing before page %d", ErrCorrupt, next+uint64(live), n)
		}
	}
	if !ok && img.snapshot != nil {
		// The page before the snapshot is closed by the write that precedes it.
		tail = page{header: header{Page: next - 1, Closed: true, Generation: img.pages[next-1].Generation, Writer: img.pages[next-1].Writer}}
	}
	return records, tail, ok, nil
}

// openAttempts bounds the races with a previous owner that still writes. Each
// lost race means one more write of it, at most one per group commit interval.
const openAttempts = 20

// Open loads the log of a shard and fences it with generation. writer is the
// incarnation of this entry. It returns the records of the snapshot and of the
// pages after it. ErrFenced means that a later owner exists already.
func Open(ctx context.Context, store kv.Store, shard uint32, generation uint64, writer string) (*Log, [][]byte, error) {
	var last error
	for range openAttempts {
		img, err := read(ctx, store, shard)
		if err != nil {
			return nil, nil, err
		}
		records, tail, ok, err := img.chain()
		if err != nil {
			return nil, nil, err
		}
		if tail.Generation > generation || (tail.Generation == generation && tail.Writer != writer && (ok || tail.Closed)) {
			return nil, nil, fmt.Errorf("open shard %d with generation %d: %w (generation %d of %s)",
				shard, generation, ErrFenced, tail.Generation, tail.Writer)
		}
		l := newLog(store, shard, generation, writer, img, tail, ok)
		if last = l.fence(ctx); last == nil {
			return l, records, nil
		}
		if !errors.Is(last, ErrFenced) {
			return nil, nil, last
		}
	}
	return nil, nil, last
}

func newLog(store kv.Store, shard uint32, generation uint64, writer string, img *image, tail page, ok bool) *Log {
	l := &Log{store: store, shard: shard, generation: generation, writer: writer, versions: img.versions}
	if img.snapshot != nil {
		l.base, l.area = img.snapshot.base, 1-img.snapshot.area
	}
	// A writer that opens the same generation again must not repeat a seq.
	for _, p := range img.pages {
		if p.Writer == writer {
			l.seq = max(l.seq, p.Seq)
		}
	}
	switch {
	case ok && !tail.Closed:
		l.page, l.body = tail.Page, tail.body
	case ok || img.snapshot != nil:
		l.page = tail.Page + 1
	}
	return l
}

// fence writes the tail page under the new generation.
func (l *Log) fence(ctx context.Context) error {
	l.pending = []pageWrite{l.write(l.page, l.body, false)}
	return l.flushPages(ctx)
}
