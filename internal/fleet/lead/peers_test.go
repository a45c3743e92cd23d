package lead

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/link"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// Guards against requests that come at once, as after all sessions have gone silent, and
// fail because each opens a session that closes the one before: submissions became
// uncertain and notices of cancellations were lost.
func TestRequestsAtOnceShareASession(t *testing.T) {
	address := listeningEntry(t, t.Context(), standin.NewStore())
	call, err := json.Marshal(storeCall{Get: "key"})
	require.NoError(t, err)
	for range 20 {
		p := &peers{sessions: map[string]*wire.Session{}}
		var wg sync.WaitGroup
		errs := make([]error, 30)
		for i := range errs {
			wg.Go(func() {
				_, errs[i] = p.ask(t.Context(), address, &pb.FleetAsk{Kind: link.AskStore, Job: call})
			})
		}
		wg.Wait()
		for _, err := range errs {
			require.NoError(t, err)
		}
	}
}

// Guards against an entry that no other one relays calls through any more, because the
// record of its process before, at another address, was written late.
func TestRecordOfAnEntryThatIsOverwrittenLateIsWrittenAgain(t *testing.T) {
	store := standin.NewStore()
	e := NewEntry(Options{Node: "entry", Store: store, Log: log.New(io.Discard)}, nil, ConfigSource{})
	record := fleet.Write{Key: fleet.EntryBase + "entry", Value: []byte(`{"address":"now"}`)}
	require.True(t, e.refreshPeers(context.Background(), record, false))
	_, err := store.Commit(context.Background(), fleet.Txn{Put: []fleet.Write{{Key: record.Key, Value: []byte(`{"address":"before"}`)}}})
	require.NoError(t, err)
	require.False(t, e.refreshPeers(context.Background(), record, true))
	require.True(t, e.refreshPeers(context.Background(), record, false))
	item, err := store.Get(context.Background(), record.Key)
	require.NoError(t, err)
	require.Equal(t, record.Value, item.Value)
}
