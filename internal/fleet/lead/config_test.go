package lead

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/kv"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// Limits of the client of a linkStore, and the size of the parts in which answers share
// its link.
const (
	linkSilence    = 900 * time.Millisecond // without a byte of an answer
	linkWatchSlack = 700 * time.Millisecond // beyond the wait of a watch
	linkPart       = 16 << 10               // bytes
	linkOverhead   = 200                    // bytes of an answer without values
)

// linkStore is a store behind a link that answers share. During an outage it answers
// nothing, and calls that wait then never get an answer.
type linkStore struct {
	*standin.Store
	rate float64 // bytes per second; 0: no limit

	mu    sync.Mutex
	out   bool
	ended chan struct{} // closed when the waiting watches are cut
	free  time.Time     // when the link has sent all parts
	sent  int           // bytes
	whole int           // reads of the whole configuration
}

func newLinkStore() *linkStore {
	return &linkStore{Store: standin.NewStore(), ended: make(chan struct{})}
}

// setRate limits the link to the given bytes per second.
func (s *linkStore) setRate(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = rate
}

// setOutage begins or ends an outage and cuts the waiting watches.
func (s *linkStore) setOutage(out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = out
	s.cutLocked()
}

// cutWatches ends all waiting watches.
func (s *linkStore) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutLocked()
}

func (s *linkStore) cutLocked() {
	close(s.ended)
	s.ended = make(chan struct{})
}

// counts returns the bytes sent and the whole reads so far.
func (s *linkStore) counts() (bytes, whole int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent, s.whole
}

// silent waits for an answer that does not come.
func (s *linkStore) silent(ctx context.Context, limit time.Duration) error {
	fleet.Sleep(ctx, limit)
	return fmt.Errorf("%w: no answer of the store", kv.ErrUncertain)
}

func (s *linkStore) isOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out
}

// send carries an answer over the link, part by part, beside the others.
func (s *linkStore) send(ctx context.Context, size int, silence time.Duration) error {
	for size += linkOverhead; size > 0; size -= linkPart {
		part := min(size, linkPart)
		s.mu.Lock()
		out, now := s.out, time.Now()
		if s.free.Before(now) {
			s.free = now
		}
		wait := time.Duration(0)
		if s.rate > 0 {
			s.free = s.free.Add(time.Duration(float64(part) / s.rate * float64(time.Second)))
			wait = s.free.Sub(now)
		}
		if !out {
			s.sent += part
		}
		s.mu.Unlock()
		if out || wait > silence {
			return s.silent(ctx, silence)
		}
		fleet.Sleep(ctx, wait)
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %w", kv.ErrUncertain, ctx.Err())
		}
	}
	return nil
}

func (s *linkStore) Get(ctx context.Context, key string) (fleet.Item, error) {
	if s.isOut() {
		return fleet.Item{}, s.silent(ctx, linkSilence)
	}
	item, err := s.Store.Get(ctx, key)
	s.mu.Lock()
	if key == testConfigKey {
		s.whole++
	}
	s.mu.Unlock()
	if sent := s.send(ctx, len(item.Value), linkSilence); sent != nil {
		return fleet.Item{}, sent
	}
	return item, err
}

func (s *linkStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]fleet.Change, uint64, error) {
	limit := wait + linkWatchSlack
	if s.isOut() {
		return nil, after, s.silent(ctx, limit)
	}
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-ended:
			cancel()
		case <-done:
		}
	}()
	began := time.Now()
	changes, next, err := s.Store.Watch(waiting, prefix, after, wait)
	if s.isOut() {
		return nil, after, s.silent(ctx, limit-time.Since(began))
	}
	if err != nil {
		return nil, after, err
	}
	size := 0
	for _, c := range changes {
		size += len(c.Value)
	}
	if err := s.send(ctx, size, limit); err != nil {
		return nil, after, err
	}
	return changes, next, nil
}

const testConfigKey = "op/config"

// testConfig returns the value of a version of the configuration: its number, padded to a
// size.
func testConfig(version uint64, size int) []byte {
	text := strconv.FormatUint(version, 10) + "\n"
	return []byte(text + strings.Repeat("x", max(0, size-len(text))))
}

func decodeTestConfig(raw []byte) (*fleet.Config, error) {
	text, _, _ := strings.Cut(string(raw), "\n")
	version, err := strconv.ParseUint(text, 10, 64)
	return &fleet.Config{Version: version}, err
}

// writeConfig stores a version of the configuration.
func writeConfig(t *testing.T, s *standin.Store, version uint64, size int) uint64 {
	revision, err := s.Commit(context.Background(), fleet.Txn{Put: []fleet.Write{{Key: testConfigKey, Value: testConfig(version, size)}}})
	require.NoError(t, err)
	return revision
}

// followingEntries returns entries that follow the configuration in stores, one each, and
// ask each other without a network between them.
func followingEntries(ctx context.Context, stores []fleet.Store) []*Entry {
	byAddress := map[string]*Entry{}
	var addresses []string
	entries := make([]*Entry, len(stores))
	for i, s := range stores {
		address := fmt.Sprintf("entry-%02d", i)
		e := NewEntry(Options{Node: address, Advertise: address, Store: s, Log: log.New(io.Discard)}, nil,
			ConfigSource{Prefix: "op/", Key: testConfigKey, Decode: decodeTestConfig})
		e.askPeer = func(ctx context.Context, address string, q *pb.FleetAsk) (*pb.FleetReply, error) {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			return byAddress[address].answerAsk(ctx, q)
		}
		byAddress[address], entries[i] = e, e
		addresses = append(addresses, address)
	}
	for i, e := range entries {
		e.peers.set(append(append([]string{}, addresses[:i]...), addresses[i+1:]...))
	}
	for _, e := range entries {
		go e.watchConfig(ctx)
	}
	return entries
}

// requireVersion waits until all entries have a version of the configuration in force.
func requireVersion(t *testing.T, entries []*Entry, version uint64, limit time.Duration) {
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		late := 0
		for _, e := range entries {
			if c := e.Config(); c == nil || c.Version < version {
				late++
			}
		}
		if late == 0 {
			return
		}
		require.Less(t, time.Since(began), limit, "%d of %d entries without version %d", late, len(entries), version)
	}
}

const (
	testEntries    = 56
	testConfigSize = 500 << 10                                     // bytes
	testWholeReads = testEntries * (testConfigSize + linkOverhead) // bytes of one whole read of each entry
	testRate       = testWholeReads / 2.5                          // bytes per second; all whole reads take 2.5 s
	applyLimit     = 4 * time.Second
)

// storesOf returns the same store for each entry.
func storesOf(s fleet.Store, entries int) []fleet.Store {
	stores := make([]fleet.Store, entries)
	for i := range stores {
		stores[i] = s
	}
	return stores
}

// Guards against entries whose reads of a large configuration after an outage crowd out
// each other, so that none ends and a new version stays unknown.
func TestConfigurationAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		s := newLinkStore()
		writeConfig(t, s.Store, 1, testConfigSize)
		entries := followingEntries(ctx, storesOf(s, testEntries))
		requireVersion(t, entries, 1, time.Minute)
		s.setRate(testRate)
		time.Sleep(5 * time.Second)

		s.setOutage(true)
		time.Sleep(4200 * time.Millisecond)
		s.setOutage(false)
		before, _ := s.counts()
		ended := time.Now()
		writeConfig(t, s.Store, 2, testConfigSize)
		requireVersion(t, entries, 2, applyLimit)
		time.Sleep(time.Until(ended.Add(10 * time.Second)))
		after, _ := s.counts()
		require.LessOrEqual(t, after-before, 2*testWholeReads)
	})
}

// Guards against entries that start together and whose first reads of a large
// configuration crowd out each other, so that none becomes ready.
func TestConfigurationOfEntriesThatStartTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		s := newLinkStore()
		s.setRate(testRate)
		writeConfig(t, s.Store, 1, testConfigSize)
		requireVersion(t, followingEntries(ctx, storesOf(s, testEntries)), 1, applyLimit)
		sent, _ := s.counts()
		require.LessOrEqual(t, sent, 2*testWholeReads)
	})
}

// Guards against whole reads of the configuration by all entries at once after their
// watches were cut, which let a busy store answer no other call.
func TestCutWatchesReadNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		s := newLinkStore()
		writeConfig(t, s.Store, 1, testConfigSize)
		entries := followingEntries(ctx, storesOf(s, testEntries))
		requireVersion(t, entries, 1, time.Minute)
		s.setRate(testRate)
		time.Sleep(5 * time.Second)

		before, reads := s.counts()
		s.cutWatches()
		time.Sleep(10 * time.Second)
		after, readsAfter := s.counts()
		require.Equal(t, reads, readsAfter, "whole reads")
		require.LessOrEqual(t, after-before, testWholeReads/10)
		writeConfig(t, s.Store, 2, testConfigSize)
		requireVersion(t, entries, 2, applyLimit)
	})
}

// Guards against entries that stay with an old configuration because the store has dropped
// the history since, and against more than one whole read each.
func TestConfigurationAfterDroppedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		s := newLinkStore()
		writeConfig(t, s.Store, 1, testConfigSize)
		entries := followingEntries(ctx, storesOf(s, testEntries))
		requireVersion(t, entries, 1, time.Minute)
		s.setOutage(true)
		time.Sleep(3 * time.Second)
		writeConfig(t, s.Store, 2, testConfigSize)
		s.DropHistory()
		_, before := s.counts()
		s.setOutage(false)
		requireVersion(t, entries, 2, applyLimit)
		_, after := s.counts()
		require.LessOrEqual(t, after-before, testEntries)
	})
}

// Guards against reads of the whole configuration without end by an entry whose store
// drops its history before each watch.
func TestHistoryDroppedBeforeEachWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		s := newLinkStore()
		writeConfig(t, s.Store, 1, testConfigSize)
		s.SetFaults(standin.StoreFaults{Compacted: true})
		requireVersion(t, followingEntries(ctx, storesOf(s, 1)), 1, time.Minute)
		time.Sleep(20 * time.Second)
		_, reads := s.counts()
		require.LessOrEqual(t, reads, 30)
	})
}

// Guards against a value that cannot be decoded and is read again and again, or that hides
// the next version.
func TestUndecodableConfigurationIsReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		s := newLinkStore()
		writeConfig(t, s.Store, 1, testConfigSize)
		entries := followingEntries(ctx, storesOf(s, 2))
		requireVersion(t, entries, 1, time.Minute)
		before, _ := s.counts()
		_, err := s.Commit(ctx, fleet.Txn{Put: []fleet.Write{{Key: testConfigKey, Value: make([]byte, testConfigSize)}}})
		require.NoError(t, err)
		time.Sleep(10 * time.Second)
		after, _ := s.counts()
		require.LessOrEqual(t, after-before, 3*testConfigSize)
		writeConfig(t, s.Store, 2, testConfigSize)
		requireVersion(t, entries, 2, applyLimit)
	})
}

// Guards against entries without the current configuration while the store answers the
// other entries only, and against relayed reads that each read it from the store as well.
func TestConfigurationOfEntriesThatAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		const size = 3*maxRelayedBytes + 1
		s, cut := newLinkStore(), newLinkStore()
		cut.Store = s.Store
		stores := storesOf(s, testEntries)
		for i := range testEntries / 4 {
			stores[4*i] = cut
		}
		writeConfig(t, s.Store, 1, size)
		entries := followingEntries(ctx, stores)
		requireVersion(t, entries, 1, time.Minute)
		cut.setOutage(true)
		time.Sleep(5 * time.Second)
		before, _ := s.counts()
		writeConfig(t, s.Store, 2, size)
		requireVersion(t, entries, 2, applyLimit)
		time.Sleep(10 * time.Second)
		after, _ := s.counts()
		require.LessOrEqual(t, after-before, (testEntries*3/4+1)*size, "the store was read for others")
		for i, e := range entries {
			require.True(t, bytes.Equal(testConfig(2, size), e.held.Load().item.Value), "entry %d", i)
		}
	})
}

// Guards against an entry that starts while it is cut off and hears of new versions only
// after it has waited for the store again.
func TestConfigurationOfAnEntryThatStartsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		s, cut := newLinkStore(), newLinkStore()
		cut.Store = s.Store
		cut.setOutage(true)
		writeConfig(t, s.Store, 1, testConfigSize)
		entries := followingEntries(ctx, []fleet.Store{s, cut})
		requireVersion(t, entries, 1, applyLimit)
		writeConfig(t, s.Store, 2, testConfigSize)
		requireVersion(t, entries, 2, configWatchTimeout)
	})
}

// Guards against growing waits that stop growing, or grow without a bound.
func TestConfigurationWaitsGrowToABound(t *testing.T) {
	for _, c := range []struct {
		failures    int
		probe       time.Duration
		least, most time.Duration
		mostWhole   time.Duration
	}{
		{1, minConfigProbe, minConfigPause / 2, minConfigPause, minConfigPause},
		{2, 2 * minConfigProbe, minConfigPause, 2 * minConfigPause, 2 * minConfigPause},
		{100, maxConfigProbe, maxConfigPause / 2, maxConfigPause, maxConfigReadPause},
	} {
		require.Equal(t, c.probe, configProbe(c.failures))
		require.Equal(t, c.least, configPause(c.failures, false, 0))
		require.Equal(t, c.most, configPause(c.failures, false, 1))
		require.Equal(t, c.mostWhole, configPause(c.failures, true, 1))
	}
}

// Guards against an entry that states an old configuration as the one in force while the
// store does not answer it either.
func TestConfigurationIsNotRelayedDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		s := newLinkStore()
		writeConfig(t, s.Store, 1, testConfigSize)
		entries := followingEntries(ctx, storesOf(s, 3))
		requireVersion(t, entries, 1, time.Minute)
		s.setOutage(true)
		time.Sleep(configFresh + 100*time.Millisecond)
		for _, c := range []storeCall{{Config: &configCall{}}, {Get: testConfigKey}, {Watch: &watchCall{Prefix: "op/", After: 1}}} {
			reply, err := entries[0].askStore(ctx, "entry-01", c)
			require.NoError(t, err)
			require.ErrorIs(t, reply.err(), kv.ErrUnavailable)
		}
	})
}

// Guards against entries of an earlier version that get no configuration from this one.
func TestConfigurationForEntriesOfEarlierVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		s := newLinkStore()
		revision := writeConfig(t, s.Store, 1, testConfigSize)
		entries := followingEntries(ctx, storesOf(s, 2))
		requireVersion(t, entries, 1, time.Minute)
		before, _ := s.counts()
		got, err := entries[0].askStore(ctx, "entry-01", storeCall{Get: testConfigKey})
		require.NoError(t, err)
		require.True(t, bytes.Equal(testConfig(1, testConfigSize), got.Item.Value))
		require.Equal(t, revision, got.Item.Revision)
		for after, changes := range map[uint64]int{revision - 1: 1, revision: 0} {
			got, err = entries[0].askStore(ctx, "entry-01", storeCall{Watch: &watchCall{Prefix: "op/", After: after}})
			require.NoError(t, err)
			require.NoError(t, (storeCall{Watch: &watchCall{After: after}}).errorIn(got))
			require.Len(t, got.Changes, changes)
		}
		after, _ := s.counts()
		require.Equal(t, before, after, "bytes of the store")
	})
}

// unstableStore is a store that refuses three of four calls.
type unstableStore struct {
	fleet.Store
	calls atomic.Int64
}

func (s *unstableStore) refuse() error {
	if s.calls.Add(1)%4 != 0 {
		return fmt.Errorf("%w: refused by the test", kv.ErrUnavailable)
	}
	return nil
}

func (s *unstableStore) Get(ctx context.Context, key string) (fleet.Item, error) {
	if err := s.refuse(); err != nil {
		return fleet.Item{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *unstableStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]fleet.Change, uint64, error) {
	if err := s.refuse(); err != nil {
		return nil, after, err
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// Guards against a configuration that a store which fails most calls delays by more than
// the platform allows for such a store (max_stretch_ms, 6 s) beyond the usual limit.
func TestConfigurationOfAnUnstableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		backend := standin.NewStore()
		writeConfig(t, backend, 1, 100)
		entries := followingEntries(ctx, storesOf(&unstableStore{Store: backend}, 3))
		for version := uint64(1); version < 10; version++ {
			requireVersion(t, entries, version, applyLimit+6*time.Second)
			writeConfig(t, backend, version+1, 100)
		}
	})
}
