package bench

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
)

// muxHeaderBytes is the size of a yamux frame header: version, type, flags (2),
// stream (4), length (4).
const muxHeaderBytes = 12

// Types of yamux frames.
const (
	muxData = iota
	muxWindowUpdate
	muxPing
	muxGoAway
	muxTypes
)

// frameCounts counts the yamux frames and bytes of sessions, both directions.
type frameCounts struct {
	frames [muxTypes]atomic.Int64
	bytes  atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// segments returns the TCP segments of all sessions, both directions, those of
// closed sessions excluded.
func (c *frameCounts) segments() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := uint64(0)
	for _, conn := range c.conns {
		sum += segments(conn)
	}
	return sum
}

// countingListener counts the frames of the sessions that it accepts.
type countingListener struct {
	net.Listener
	counts *frameCounts
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.counts.mu.Lock()
	l.counts.conns = append(l.counts.conns, conn)
	l.counts.mu.Unlock()
	return &countingConn{Conn: conn, in: frameParser{counts: l.counts}, out: frameParser{counts: l.counts}}, nil
}

type countingConn struct {
	net.Conn
	in      frameParser // used only by the goroutine that reads
	writeMu sync.Mutex
	out     frameParser
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.parse(p[:n])
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.writeMu.Lock()
	c.out.parse(p[:n])
	c.writeMu.Unlock()
	return n, err
}

// frameParser counts the frames of one direction of a session. A header or a body
// may be split over several reads or writes.
type frameParser struct {
	counts *frameCounts
	header [muxHeaderBytes]byte
	have   int
	body   int // bytes of the body still to come
}

func (f *frameParser) parse(p []byte) {
	f.counts.bytes.Add(int64(len(p)))
	for len(p) > 0 {
		if f.body > 0 {
			n := min(f.body, len(p))
			f.body, p = f.body-n, p[n:]
			continue
		}
		n := copy(f.header[f.have:], p)
		f.have, p = f.have+n, p[n:]
		if f.have == muxHeaderBytes {
			f.have = 0
			f.frame()
		}
	}
}

// frame counts the frame whose header is complete.
func (f *frameParser) frame() {
	kind := f.header[1]
	if int(kind) >= muxTypes {
		return
	}
	f.counts.frames[kind].Add(1)
	if kind == muxData {
		f.body = int(binary.BigEndian.Uint32(f.header[8:]))
	}
}
