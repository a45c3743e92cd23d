// Package wire carries protobuf frames between the system's processes over
// yamux sessions on TCP, optionally with mutual TLS.
//
// A session that receives nothing for the silence timeout is closed. The dialing
// end sends a ping each half of the timeout and waits less than the other half for
// the reply; the accepting end sends none and watches for incoming bytes. Pings
// from both ends would be most of the segments of an idle session. Every frame read
// and write has a deadline.
package wire

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"vanillalock.example/vanillalock/internal/wire/pb"
)

const (
	// MaxFrameBytes is the largest frame accepted.
	MaxFrameBytes = 1 << 20
	// DefaultSilenceTimeout is the time after which a silent session is closed.
	DefaultSilenceTimeout = 2 * time.Second

	// pingSlack is left of the second half of the silence timeout for the
	// scheduling of the check itself.
	pingSlack    = 100 * time.Millisecond
	dialTimeout  = 1 * time.Second
	writeTimeout = 2 * time.Second
	// frameOverhead is the size of a yamux header and of a frame's length.
	frameOverhead = 14
	// handshakeTimeout is the time in which the peer of an accepted session with a Guard
	// sends its first frame. The processes send it at once; the time covers a lost segment.
	handshakeTimeout = 5 * time.Second
	// maxStreams bounds the streams of a session with a Guard that are not closed at both
	// ends. An entry opens one for each request that the leader has not answered.
	maxStreams = 1024
	// smallFrame is the largest frame whose memory is allocated before its bytes have come.
	smallFrame  = 16 << 10
	firstGrowth = 4 << 10 // of the memory for a larger one
	// acceptBacklog bounds the streams that the peer may open before they are
	// accepted. It is above the 64 connections of an upstream and takes 2 KB.
	acceptBacklog = 256
)

// ErrClosed means the session has ended.
var ErrClosed = errors.New("wire: session closed")

// ClientTLS returns the TLS configuration for dialling a host; the host's
// certificate must be valid for its name or IP address.
type ClientTLS func(host string) *tls.Config

// Config configures sessions.
type Config struct {
	TLS            ClientTLS     // of dialled sessions; nil: plain TCP
	Stats          *Stats        // nil: traffic is not counted; may be shared by sessions
	SilenceTimeout time.Duration // 0: DefaultSilenceTimeout
}

// Stats counts the bytes of a session, including yamux framing.
type Stats struct {
	BytesSent     atomic.Uint64
	BytesReceived atomic.Uint64
}

// Guard accounts for what an accepted session holds. A connection that implements it is
// told of the bytes that have come for streams until the frame that they belong to has been
// read, and of open streams.
type Guard interface {
	// Hold charges bytes. An error ends the session.
	Hold(bytes int64) error
	// Release returns bytes that were charged.
	Release(bytes int64)
	// HoldStream charges a stream. An error ends the session.
	HoldStream() error
	// ReleaseStream returns what HoldStream has charged.
	ReleaseStream()
	// Begin tells that the first frame has come.
	Begin()
	// EndUnbegun tells that the session is closed because no frame has come.
	EndUnbegun()
}

// Session is one connection to another process. It is safe for concurrent use.
type Session struct {
	mux   *yamux.Session
	guard Guard // nil: none
	begun atomic.Bool

	mu      sync.Mutex
	closing bool
	streams map[*Stream]struct{} // that are open at this end
}

func newSession(mux *yamux.Session) *Session {
	return &Session{mux: mux, streams: map[*Stream]struct{}{}}
}

// Dial connects to a listening process.
func Dial(ctx context.Context, address string, cfg Config) (*Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if cfg.TLS != nil {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("session address %s: %w", address, err)
		}
		secured := tls.Client(conn, cfg.TLS(host))
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("TLS handshake with %s: %w", address, err)
		}
		conn = secured
	}
	mux, err := yamux.Client(newConn(conn, cfg.Stats), muxConfig(cfg.SilenceTimeout))
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("start session with %s: %w", address, err)
	}
	return newSession(mux), nil
}

// Accept starts a session on a connection of a listener, which has done TLS.
func Accept(conn net.Conn, cfg Config) (*Session, error) {
	counted := newConn(conn, cfg.Stats)
	counted.guard, _ = conn.(Guard)
	muxCfg := muxConfig(cfg.SilenceTimeout)
	muxCfg.EnableKeepAlive = false
	mux, err := yamux.Server(counted, muxCfg)
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("start session: %w", err)
	}
	session := newSession(mux)
	session.guard = counted.guard
	go session.watch(counted, cmp.Or(cfg.SilenceTimeout, DefaultSilenceTimeout))
	return session, nil
}

// Listen listens on a TCP address, with TLS if the configuration is not nil.
func Listen(address string, tlsConfig *tls.Config) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	return listener, nil
}

// Open opens a stream.
func (s *Session) Open() (*Stream, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrClosed, err)
	}
	return s.newStream(stream), nil
}

// AcceptStream waits for a stream that the peer opens.
func (s *Session) AcceptStream() (*Stream, error) {
	stream, err := s.mux.AcceptStream()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrClosed, err)
	}
	if s.guard != nil {
		if s.mux.NumStreams() > maxStreams {
			err = fmt.Errorf("%w: more than %d streams", ErrClosed, maxStreams)
		} else {
			err = s.guard.HoldStream()
		}
		if err != nil {
			_ = s.Close()
			return nil, fmt.Errorf("%w: %w", ErrClosed, err)
		}
	}
	return s.newStream(stream), nil
}

// Close closes the session and all its streams. It ends their Receive calls first: yamux
// has a Read spin from the beginning of the shutdown until the connection is closed.
func (s *Session) Close() error {
	s.mu.Lock()
	s.closing = true
	for stream := range s.streams {
		_ = stream.stream.SetReadDeadline(time.Now())
	}
	s.mu.Unlock()
	return s.mux.Close()
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }

// RemoteAddr returns the peer's address.
func (s *Session) RemoteAddr() string { return s.mux.RemoteAddr().String() }

// Stream carries frames. Send is safe for concurrent use; Receive is not.
type Stream struct {
	session *Session
	counted *atomic.Uint64
	stream  *yamux.Stream
	reader  *bufio.Reader
	taken   takenReader // under reader
	closed  bool        // Close has been called, under the session's mu
	sendMu  sync.Mutex
}

// takenReader counts the bytes that have been read from a stream since the guard was told.
type takenReader struct {
	from  io.Reader
	bytes int64
}

// Read implements io.Reader.
func (r *takenReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.bytes += int64(n)
	return n, err
}

func (s *Session) newStream(stream *yamux.Stream) *Stream {
	out := &Stream{session: s, stream: stream, taken: takenReader{from: stream}}
	out.reader = bufio.NewReaderSize(&out.taken, 1024)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[out] = struct{}{}
	return out
}

// setReadDeadline sets the deadline of reads, unless Session.Close has ended them.
func (s *Stream) setReadDeadline(deadline time.Time) error {
	s.session.mu.Lock()
	defer s.session.mu.Unlock()
	if s.session.closing {
		return ErrClosed
	}
	return s.stream.SetReadDeadline(deadline)
}

// CountTo adds the size of each frame sent or received to total. It is called
// before the stream is used.
func (s *Stream) CountTo(total *atomic.Uint64) { s.counted = total }

func (s *Stream) count(frame *pb.Frame) {
	if s.counted != nil {
		s.counted.Add(uint64(proto.Size(frame)) + frameOverhead)
	}
}

// Send writes one frame.
func (s *Stream) Send(frame *pb.Frame) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if err := s.stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("%w: %w", ErrClosed, err)
	}
	// One Write per frame, so that a deadline never leaves half a frame's
	// header behind for another sender to complete.
	buffered := bufio.NewWriterSize(s.stream, 4096)
	if _, err := protodelim.MarshalTo(buffered, frame); err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if err := buffered.Flush(); err != nil {
		_ = s.stream.Close()
		return fmt.Errorf("%w: %w", ErrClosed, err)
	}
	s.count(frame)
	return nil
}

// Receive reads one frame. A timeout of 0 waits until the session ends.
func (s *Stream) Receive(timeout time.Duration) (*pb.Frame, error) {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := s.setReadDeadline(deadline); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrClosed, err)
	}
	frame, err := ReadFrame(s.reader)
	if err == nil {
		s.count(frame)
	}
	if guard := s.session.guard; guard != nil {
		guard.Release(s.taken.bytes)
		s.taken.bytes = 0
		if err == nil && s.session.begun.CompareAndSwap(false, true) {
			guard.Begin()
		}
	}
	return frame, err
}

// Close closes the sending side of the stream.
func (s *Stream) Close() error {
	s.session.mu.Lock()
	delete(s.session.streams, s)
	first := !s.closed
	s.closed = true
	s.session.mu.Unlock()
	if first && s.session.guard != nil {
		s.session.guard.ReleaseStream()
	}
	return s.stream.Close()
}

// ReadFrame decodes one frame of at most MaxFrameBytes. The memory for a large frame is
// allocated as its bytes come: a peer may state a size and send nothing.
func ReadFrame(reader protodelim.Reader) (*pb.Frame, error) {
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, fmt.Errorf("read frame: %w", err)
	}
	if size > MaxFrameBytes {
		return nil, fmt.Errorf("read frame: its size of %d bytes exceeds the maximum of %d", size, MaxFrameBytes)
	}
	var raw []byte
	buffered, _ := reader.(*bufio.Reader)
	switch {
	case buffered != nil && int(size) <= buffered.Size():
		if raw, err = buffered.Peek(int(size)); err == nil {
			defer func() { _, _ = buffered.Discard(int(size)) }() // cannot fail after Peek
		}
	case size <= smallFrame:
		raw = make([]byte, size)
		_, err = io.ReadFull(reader, raw)
	default:
		var out bytes.Buffer
		out.Grow(firstGrowth)
		_, err = io.CopyN(&out, reader, int64(size))
		raw = out.Bytes()
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, fmt.Errorf("read frame: %w", err)
	}
	frame := &pb.Frame{}
	if err := proto.Unmarshal(raw, frame); err != nil {
		return nil, fmt.Errorf("read frame: %w", err)
	}
	return frame, nil
}

func muxConfig(silence time.Duration) *yamux.Config {
	if silence == 0 {
		silence = DefaultSilenceTimeout
	}
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = silence / 2
	cfg.ConnectionWriteTimeout = silence/2 - pingSlack
	cfg.LogOutput = io.Discard
	return cfg
}

// conn counts the bytes of a session, remembers when it last received some, and
// writes a yamux header together with its body.
type conn struct {
	net.Conn
	stats    *Stats
	received atomic.Int64 // monotonic time of the last read, since epoch
	header   []byte       // held until its body is written
	guard    Guard        // nil: none
	incoming incoming
}

// epoch is the origin of conn.received.
var epoch = time.Now()

func newConn(c net.Conn, stats *Stats) *conn {
	if stats == nil {
		stats = &Stats{}
	}
	out := &conn{Conn: c, stats: stats}
	out.received.Store(int64(time.Since(epoch)))
	return out
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stats.BytesReceived.Add(uint64(n))
	if n > 0 {
		c.received.Store(int64(time.Since(epoch)))
	}
	if c.guard != nil {
		if bytes := c.incoming.scan(p[:n]); bytes > 0 {
			if refused := c.guard.Hold(bytes); refused != nil {
				return 0, refused
			}
		}
	}
	return n, err
}

// incoming follows the frames of yamux that are received, to count the bytes of streams.
type incoming struct {
	header [headerBytes]byte
	have   int    // bytes of the header
	body   uint32 // bytes of the body that have not come
}

// scan takes bytes and returns how many of them are of bodies.
func (f *incoming) scan(p []byte) (bodies int64) {
	for len(p) > 0 {
		if f.body > 0 {
			n := min(uint64(len(p)), uint64(f.body))
			f.body -= uint32(n)
			bodies += int64(n)
			p = p[n:]
			continue
		}
		n := copy(f.header[f.have:], p)
		f.have += n
		p = p[n:]
		if f.have == headerBytes {
			f.have = 0
			if f.header[typeOffset] == typeData {
				f.body = binary.BigEndian.Uint32(f.header[lengthOffset:])
			}
		}
	}
	return bodies
}

// The parts of a yamux header that Write looks at: its size, the type of data
// frames, and the length of the body.
const (
	headerBytes  = 12
	typeOffset   = 1
	typeData     = 0
	lengthOffset = 8
)

// Write implements net.Conn. yamux has one writer, which writes the header of a
// data frame and then its body; both go out as one segment.
func (c *conn) Write(p []byte) (int, error) {
	if c.header == nil && len(p) == headerBytes && p[typeOffset] == typeData && binary.BigEndian.Uint32(p[lengthOffset:]) > 0 {
		c.header = bytes.Clone(p)
		return len(p), nil
	}
	out := p
	if c.header != nil {
		out, c.header = append(c.header, p...), nil
	}
	n, err := c.Conn.Write(out)
	c.stats.BytesSent.Add(uint64(n))
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// watch closes the session if it receives nothing for the silence timeout, or no frame for
// the handshake timeout.
func (s *Session) watch(c *conn, silence time.Duration) {
	const checks = 8 // per silence timeout
	ticker := time.NewTicker(silence / checks)
	defer ticker.Stop()
	began := time.Now()
	for {
		select {
		case <-s.Done():
			return
		case <-ticker.C:
		}
		if s.guard != nil && s.mux.NumStreams() == 0 {
			// What came for streams that were closed unread has been dropped with them.
			s.guard.Release(math.MaxInt64)
		}
		unbegun := s.guard != nil && !s.begun.Load() && time.Since(began) > handshakeTimeout
		if unbegun {
			s.guard.EndUnbegun()
		}
		if unbegun || time.Since(epoch)-time.Duration(c.received.Load()) >= silence-silence/checks {
			_ = s.Close()
			return
		}
	}
}
