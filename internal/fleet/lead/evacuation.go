package lead

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

// Operators request the evacuation of a failure domain by a key of the store. From a time
// after that, which the platform sets (5 s), no run may be started there. The leader alone
// decides where runs start, so it follows these keys, and orders no starts while an
// evacuation may be requested that it has not heard of.
const (
	// maxEvacuationAge is the age of the last answer for the keys up to which starts are
	// ordered. It leaves half of the 5 s for what was ordered: agents give up a start
	// without an answer once the leader has been silent for 2 s.
	maxEvacuationAge = 2500 * time.Millisecond
	// evacuationWatchWait bounds the wait of a watch. A watch whose connection has gone
	// silent fails 0.7 s after its wait, 1.7 s after the last answer was asked for, which
	// leaves time for another one within maxEvacuationAge.
	evacuationWatchWait = 500 * time.Millisecond
	// evacuationProbeWait is the wait of a watch after a failure: its answer is to show
	// soon that the store answers again.
	evacuationProbeWait = 50 * time.Millisecond
	evacuationRetry     = 100 * time.Millisecond // after a failure
	// maxEvacuationFailures is the number of failed watches after which the keys are read
	// instead. A read is relayed by itself, a watch only once another call was.
	maxEvacuationFailures = 3
)

// evacuations is what a leader knows of the requested evacuations.
type evacuations struct {
	domains  map[string]uint64 // revisions of the keys, by failure domain
	revision uint64            // of the store up to which the load has read the keys
	asOf     time.Time         // when the latest call that was answered was sent
	offset   time.Duration     // wallOffset at asOf
	unknown  bool              // starts wait for an answer
}

// errNoProgress means that a watch has shown neither a change nor a later revision. The
// store may be quiet, or may pass on no changes.
var errNoProgress = errors.New("the revision of the store stands still")

// loadEvacuations reads the evacuations at the beginning of a term. Like load it fails
// only once the term has ended.
func (l *Leader) loadEvacuations(ctx context.Context, s fleet.Store) error {
	if l.opts.EvacuationPrefix == "" {
		return nil
	}
	sent := time.Now()
	items, revision, err := fleet.ReadAll(ctx, s, l.opts.EvacuationPrefix)
	if err != nil {
		return err
	}
	l.evacuations.revision = revision
	l.setEvacuations(l.evacuationsIn(items), sent)
	return nil
}

// watchEvacuations posts the changes of the evacuations after a revision to the event
// loop, until ctx ends. It reads all of them where a watch may have missed a change.
func (l *Leader) watchEvacuations(ctx context.Context, after uint64) {
	failures, whole := 0, false
	for ctx.Err() == nil {
		next, err := l.followEvacuations(ctx, after, whole, failures > 0)
		after = next
		if err == nil {
			failures, whole = 0, false
			continue
		}
		if errors.Is(err, errNoProgress) && !whole {
			whole = true
			continue
		}
		failures++
		whole = whole || errors.Is(err, fleet.ErrCompacted) || failures >= maxEvacuationFailures
		if failures > 1 && ctx.Err() == nil { // a waiting watch may be cut at any time
			l.opts.Log.Warn("Evacuations not read.", "after", after, "failures", failures, "err", err)
		}
		fleet.Sleep(ctx, evacuationRetry)
	}
}

// followEvacuations reads the evacuations whole, or else watches them after a revision,
// briefly after a failure. It posts the answer and returns the revision to continue from.
func (l *Leader) followEvacuations(ctx context.Context, after uint64, whole, failed bool) (uint64, error) {
	sent := time.Now()
	if whole {
		items, revision, err := fleet.ReadAll(ctx, l.opts.Store, l.opts.EvacuationPrefix)
		if err != nil {
			return after, err
		}
		domains := l.evacuationsIn(items)
		l.post(ctx, func() { l.setEvacuations(domains, sent) })
		return revision, nil
	}
	wait := evacuationWatchWait
	if failed {
		wait = evacuationProbeWait
	}
	changes, next, err := l.opts.Store.Watch(ctx, l.opts.EvacuationPrefix, after, wait)
	switch {
	case err != nil:
		return after, fmt.Errorf("watch: %w", err)
	case len(changes) == 0 && next <= after:
		return after, errNoProgress
	}
	l.post(ctx, func() { l.applyEvacuations(changes, sent) })
	return next, nil
}

// evacuationsIn returns the failure domains that keys name, with their revisions.
func (l *Leader) evacuationsIn(items []fleet.Item) map[string]uint64 {
	domains := map[string]uint64{}
	for _, item := range items {
		if domain := strings.TrimPrefix(item.Key, l.opts.EvacuationPrefix); domain != "" {
			domains[domain] = item.Revision
		}
	}
	return domains
}

// applyEvacuations applies changes of the keys, which a call sent at the given time has
// shown.
func (l *Leader) applyEvacuations(changes []fleet.Change, sent time.Time) {
	domains := map[string]uint64{}
	for domain, revision := range l.evacuations.domains {
		domains[domain] = revision
	}
	slices.SortStableFunc(changes, func(a, b fleet.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, c := range changes {
		domain := strings.TrimPrefix(c.Key, l.opts.EvacuationPrefix)
		switch {
		case domain == "" || c.Revision < domains[domain]: // the keys were read later
		case c.Removed:
			delete(domains, domain)
		default:
			domains[domain] = c.Revision
		}
	}
	l.setEvacuations(domains, sent)
}

// setEvacuations replaces the evacuations by those that a call sent at the given time has
// shown. The logged age is the time since the answer before, in which the change was made.
func (l *Leader) setEvacuations(domains map[string]uint64, sent time.Time) {
	now := time.Now()
	known := l.evacuations
	age := time.Duration(0) // none before the first answer
	if !known.asOf.IsZero() {
		age = l.elapsed(known.asOf, known.offset, now).Round(time.Millisecond)
	}
	if sent.After(known.asOf) {
		l.evacuations.asOf, l.evacuations.offset = sent, l.wallOffset(sent)
	}
	l.evacuations.domains = domains
	evacuated, changed := make(map[string]struct{}, len(domains)), len(domains) != len(known.domains)
	for domain, revision := range domains {
		evacuated[domain] = struct{}{}
		if _, before := known.domains[domain]; !before {
			changed = true
			l.opts.Log.Info("evacuation known", "domain", domain, "revision", revision, "age", age, "term", l.term)
		}
	}
	for domain, revision := range known.domains {
		if _, still := domains[domain]; !still {
			changed = true
			l.opts.Log.Info("evacuation lifted", "domain", domain, "revision", revision, "age", age, "term", l.term)
		}
	}
	if changed {
		l.ledger.SetEvacuated(evacuated)
		l.opts.Metrics.EvacuatedDomains.Set(int64(len(evacuated)))
	}
}

// knowsEvacuations reports whether the leader may order starts: whether the last answer
// for the evacuations is recent.
func (l *Leader) knowsEvacuations(now time.Time) bool {
	if l.opts.EvacuationPrefix == "" {
		return true
	}
	age := l.evacuationAge(now)
	if unknown := age > maxEvacuationAge; unknown != l.evacuations.unknown {
		l.evacuations.unknown = unknown
		l.opts.Log.Warn("Starts wait until the evacuations are known.", "waiting", unknown, "age", age.Round(time.Millisecond), "term", l.term)
	}
	return !l.evacuations.unknown
}

// evacuationAge returns the age of the last answer for the evacuations.
func (l *Leader) evacuationAge(now time.Time) time.Duration {
	return l.elapsed(l.evacuations.asOf, l.evacuations.offset, now)
}
