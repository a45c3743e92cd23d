package lead

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
)

// compactedStore is a store that has dropped its history up to a revision. It passes the
// results of the watches to its reader.
type compactedStore struct {
	fleet.Store
	dropped uint64
	watches chan error
}

func (s *compactedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]fleet.Change, uint64, error) {
	if after < s.dropped {
		s.watches <- fleet.ErrCompacted
		return nil, after, fleet.ErrCompacted
	}
	s.watches <- nil
	return s.Store.Watch(ctx, prefix, after, wait)
}

// Guards against entries that read the leader's key and the configuration again and
// again, until either changes, once the store has dropped the history since their last
// changes.
func TestOldKeysAreWatchedAfterDroppedHistory(t *testing.T) {
	backend := standin.NewStore()
	put := func(w ...fleet.Write) uint64 {
		revision, err := backend.Commit(context.Background(), fleet.Txn{Put: w})
		require.NoError(t, err)
		return revision
	}
	put(fleet.Write{Key: fleet.LeaderKey, Value: []byte(`{"node":"other"}`)}, fleet.Write{Key: "op/config"})
	dropped := put(fleet.Write{Key: "later"})
	for name, follow := range map[string]func(*Entry, context.Context){"leader": (*Entry).elect, "configuration": (*Entry).watchConfig} {
		s := &compactedStore{Store: backend, dropped: dropped, watches: make(chan error)}
		e := NewEntry(Options{Store: s, Log: log.New(io.Discard)}, nil, ConfigSource{
			Prefix: "op/", Key: "op/config", Decode: func([]byte) (*fleet.Config, error) { return &fleet.Config{Version: 1}, nil },
		})
		ctx, cancel := context.WithCancel(context.Background())
		go follow(e, ctx)
		require.NoError(t, <-s.watches, name)
		cancel()
	}
}
