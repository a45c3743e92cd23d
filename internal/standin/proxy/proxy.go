// Package proxy forwards TCP connections on the loopback interface and injects the
// faults of a network into them, for tests.
package proxy

import (
	"net"
	"sync"
)

// Direction is a direction of bytes through a Proxy.
type Direction int

// Directions.
const (
	Up   Direction = iota // from the client to the target
	Down                  // from the target to the client
)

const bufferBytes = 32 << 10

// Faults are the faults of a Proxy. The zero value injects none.
type Faults struct {
	// Hold, by direction, holds back the bytes and the ends of all connections until it is
	// switched off, as TCP does with lost packets. New connections wait while either
	// direction is held.
	Hold [2]bool
	// Refuse resets new connections. Open ones go on.
	Refuse bool
}

// Proxy forwards the connections to a listener on the loopback interface to a target.
// It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	conns   map[*conn]struct{}
	faults  Faults
	changed chan struct{} // closed at the next change of the faults
	closed  bool
}

type conn struct {
	client, server net.Conn // server is nil while the connection waits
	silent         bool
}

// New starts a proxy to a target address.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[*conn]struct{}{}, changed: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Address returns the address of the listener.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the faults.
func (p *Proxy) Set(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyLocked()
}

// Silence drops all further bytes and the ends of the connections that are open now.
// Later ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent = true
	}
	p.notifyLocked()
}

// Close ends the listener and all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.client.Close()
		if c.server != nil {
			_ = c.server.Close()
		}
	}
	p.notifyLocked()
}

// notifyLocked wakes what waits for a change of the faults. The caller holds mu.
func (p *Proxy) notifyLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	p.mu.Lock()
	if p.faults.Refuse || p.closed {
		p.mu.Unlock()
		reset(client)
		return
	}
	c := &conn{client: client}
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}()
	if p.await(c, Up, Down) == ended {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	c.server = server
	closed := p.closed
	p.mu.Unlock()
	if closed {
		_ = client.Close()
		_ = server.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.pump(c, client, server, Up) })
	wg.Go(func() { p.pump(c, server, client, Down) })
	wg.Wait()
}

// pump forwards one direction until the connection ends.
func (p *Proxy) pump(c *conn, from, to net.Conn, d Direction) {
	defer func() { _ = from.Close() }()
	buffer := make([]byte, bufferBytes)
	for {
		n, readErr := from.Read(buffer)
		state := p.await(c, d)
		if state == forwarded && n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = to.Close()
				return
			}
		}
		if readErr != nil {
			if state != silenced { // else the other end learns nothing
				_ = to.Close()
			}
			return
		}
	}
}

// fate is what happens to bytes of a connection.
type fate int

const (
	forwarded fate = iota
	silenced
	ended
)

// await waits while one of the directions is held and returns the fate of the bytes that
// waited.
func (p *Proxy) await(c *conn, directions ...Direction) fate {
	for {
		p.mu.Lock()
		held := false
		for _, d := range directions {
			held = held || p.faults.Hold[d]
		}
		closed, silent, changed := p.closed, c.silent, p.changed
		p.mu.Unlock()
		switch {
		case closed:
			return ended
		case silent:
			return silenced
		case !held:
			return forwarded
		}
		<-changed
	}
}

// reset closes a connection with a TCP reset instead of an orderly shutdown.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
