package lead

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/kv"
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

// Guards against requests that lose their session, and so fail, because another one in it
// has no reply: it went to an entry that does not lead, its caller had little time left, or
// the store does not answer the asked entry.
func TestRequestWithoutReplyKeepsTheSession(t *testing.T) {
	address := listeningEntry(t, t.Context(), &silentStore{})
	call, err := json.Marshal(storeCall{Get: "key"})
	require.NoError(t, err)
	p := &peers{sessions: map[string]*wire.Session{}}
	session, err := p.session(address)
	require.NoError(t, err)

	_, err = p.ask(t.Context(), address, &pb.FleetAsk{Kind: link.AskState, Id: "job"})
	require.Error(t, err)
	require.Same(t, session, p.alive(address), "not the leader")

	hasty, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = p.ask(hasty, address, &pb.FleetAsk{Kind: link.AskStore, Job: call})
	require.Error(t, err)
	require.Same(t, session, p.alive(address), "little time left")

	reply, err := p.ask(t.Context(), address, &pb.FleetAsk{Kind: link.AskStore, Job: call})
	require.NoError(t, err)
	require.Same(t, session, p.alive(address), "the store does not answer")
	var out storeReply
	require.NoError(t, json.Unmarshal(reply.GetData(), &out))
	require.ErrorIs(t, out.err(), kv.ErrUncertain)
}

// Guards against sessions that stay although the entry at their end has gone silent.
func TestSilentSessionIsGivenUp(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if session, err := wire.Accept(conn, wire.Config{}); err == nil {
			_, _ = session.AcceptStream()
		}
	}()
	p := &peers{sessions: map[string]*wire.Session{}}
	address := listener.Addr().String()
	ctx, cancel := context.WithTimeout(t.Context(), askTimeout) // as the requests of an entry have
	defer cancel()
	_, err = p.ask(ctx, address, &pb.FleetAsk{Kind: link.AskState, Id: "job"})
	require.Error(t, err)
	require.Nil(t, p.alive(address))
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
