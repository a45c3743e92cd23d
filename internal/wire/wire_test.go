package wire

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"vanillalock.example/vanillalock/internal/wire/pb"
)

func pair(t *testing.T) (client, server *Session, conns chan net.Conn) {
	t.Helper()
	listener, err := Listen("127.0.0.1:0", nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	accepted := make(chan *Session, 1)
	conns = make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		conns <- conn
		if s, err := Accept(conn, Config{}); err == nil {
			accepted <- s
		}
	}()
	client, err = Dial(context.Background(), listener.Addr().String(), Config{Stats: &Stats{}})
	require.NoError(t, err)
	server = <-accepted
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	return client, server, conns
}

// Guards against frames of concurrent senders being mixed on one stream.
func TestConcurrentSendsKeepFramesWhole(t *testing.T) {
	client, server, _ := pair(t)
	out, err := client.Open()
	require.NoError(t, err)
	const senders, each = 8, 50
	for i := range senders {
		go func() {
			for n := range each {
				body := bytes.Repeat([]byte{byte(i)}, 1+n*97%5000)
				_ = out.Send(&pb.Frame{Body: &pb.Frame_Response{Response: &pb.Response{Id: "r", Body: body}}})
			}
		}()
	}
	in, err := server.AcceptStream()
	require.NoError(t, err)
	for range senders * each {
		frame, err := in.Receive(0)
		require.NoError(t, err)
		body := frame.GetResponse().GetBody()
		require.Equal(t, len(body), bytes.Count(body, body[:1]))
	}
}

// Guards against a peer that makes a process allocate a frame of any size.
func TestOversizedFrameIsRefused(t *testing.T) {
	var buf bytes.Buffer
	frame := &pb.Frame{Body: &pb.Frame_Response{Response: &pb.Response{Body: make([]byte, MaxFrameBytes+1)}}}
	_, err := protodelim.MarshalTo(&buf, frame)
	require.NoError(t, err)
	_, err = ReadFrame(bufio.NewReader(&buf))
	require.ErrorContains(t, err, "size")
}

// accountant is a connection that accounts for what its session holds.
type accountant struct {
	net.Conn
	mu      sync.Mutex
	held    int64
	streams int
	limit   int64
	begun   bool
}

func (a *accountant) Hold(bytes int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held+bytes > a.limit {
		return errors.New("too much")
	}
	a.held += bytes
	return nil
}

func (a *accountant) Release(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held = max(0, a.held-bytes)
}

func (a *accountant) HoldStream() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.streams++
	return nil
}

func (a *accountant) ReleaseStream() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.streams--
}

func (a *accountant) Begin()      { a.begun = true }
func (a *accountant) EndUnbegun() {}

// Guards against bytes of streams that are not accounted for until their frame is read, and
// against a session that goes on although its guard refuses what it holds.
func TestGuardOfASession(t *testing.T) {
	near, far := net.Pipe()
	guard := &accountant{Conn: far, limit: 400 << 10}
	server, err := Accept(guard, Config{})
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	clientMux, err := yamux.Client(near, muxConfig(0))
	require.NoError(t, err)
	client := newSession(clientMux)
	defer func() { _ = client.Close() }()
	out, err := client.Open()
	require.NoError(t, err)
	body := make([]byte, 200<<10)
	frame := &pb.Frame{Body: &pb.Frame_Response{Response: &pb.Response{Id: "r", Body: body}}}
	require.NoError(t, out.Send(frame))
	in, err := server.AcceptStream()
	require.NoError(t, err)
	guard.mu.Lock()
	require.Greater(t, guard.held, int64(len(body)))
	guard.mu.Unlock()
	received, err := in.Receive(0)
	require.NoError(t, err)
	require.Len(t, received.GetResponse().GetBody(), len(body))
	require.Zero(t, guard.held)
	require.True(t, guard.begun)
	require.NoError(t, in.Close())
	_ = in.Close()
	require.Zero(t, guard.streams)
	for range 3 {
		if out, err := client.Open(); err == nil {
			_ = out.Send(frame) // the server closes the session meanwhile
		}
	}
	<-server.Done()
}

// Guards against a receive that waits forever on a session whose peer is gone.
func TestReceiveEndsWhenPeerCloses(t *testing.T) {
	client, server, _ := pair(t)
	out, err := client.Open()
	require.NoError(t, err)
	require.NoError(t, out.Send(&pb.Frame{}))
	in, err := server.AcceptStream()
	require.NoError(t, err)
	_, err = in.Receive(0)
	require.NoError(t, err)
	require.NoError(t, client.Close())
	_, err = in.Receive(0)
	require.Error(t, err)
	<-server.Done()
}

// Guards against a connection that goes silent without closing: the session
// must end by itself. The relay stops forwarding, so no reset reaches the peer.
func TestSilentConnectionEndsSession(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go func() {
		buf := make([]byte, 4096)
		for {
			if _, err := far.Read(buf); err != nil {
				return
			}
		}
	}()
	session, err := Accept(near, Config{})
	require.NoError(t, err)
	select {
	case <-session.Done():
	case <-time.After(time.Minute):
		t.Fatal("the session did not end")
	}
}

func FuzzReadFrame(f *testing.F) {
	var buf bytes.Buffer
	_, _ = protodelim.MarshalTo(&buf, &pb.Frame{Body: &pb.Frame_Resolve{Resolve: &pb.Resolve{Id: "x", Tombstone: true}}})
	f.Add(buf.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := ReadFrame(bufio.NewReader(bytes.NewReader(data)))
		if err == nil && frame == nil {
			t.Fatal("no frame and no error")
		}
	})
}

// stuckConn is a connection that takes until release is closed to close.
type stuckConn struct {
	net.Conn
	release chan struct{}
}

func (c stuckConn) Close() error {
	<-c.release
	return c.Conn.Close()
}

// Guards against a receive that keeps a processor busy until the connection of its session,
// which is being closed, has closed.
func TestReceiveEndsBeforeTheConnectionHasClosed(t *testing.T) {
	near, far := net.Pipe()
	stuck := stuckConn{far, make(chan struct{})}
	clientMux, err := yamux.Client(near, muxConfig(time.Minute))
	require.NoError(t, err)
	client := newSession(clientMux)
	server, err := Accept(stuck, Config{SilenceTimeout: time.Minute})
	require.NoError(t, err)
	out, err := client.Open()
	require.NoError(t, err)
	go func() { _ = out.Send(&pb.Frame{}) }()
	in, err := server.AcceptStream()
	require.NoError(t, err)
	_, err = in.Receive(0)
	require.NoError(t, err)
	ended := make(chan error)
	go func() {
		_, err := in.Receive(0)
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond) // the receive waits
	closed := make(chan struct{})
	go func() {
		_ = server.Close()
		close(closed)
	}()
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(5 * time.Second):
		t.Error("the receive goes on while the connection is closed")
	}
	_, err = in.Receive(0)
	require.ErrorIs(t, err, ErrClosed)
	close(stuck.release)
	<-closed
	_ = client.Close()
}
