package soak

import (
	"net"
	"sync"
	"time"
)

// direction is the direction of bytes through a proxy.
type direction int

const (
	up   direction = iota // from the client to the target
	down                  // from the target to the client
)

// proxy forwards TCP connections on loopback and injects faults into them.
type proxy struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	link     linkFault
	linkSet  chan struct{} // closed at the next change of link
	conns    map[*proxyConn]struct{}
	delay    time.Duration      // after each read
	cut      map[direction]bool // directions in which the bytes of all connections are dropped
	refusing bool               // new connections are reset
}

// proxyConn is one forwarded connection. A direction that has lost bytes stays
// silent, as its stream is incomplete.
type proxyConn struct {
	client, server net.Conn
	silent         [2]bool // by direction
}

// newProxy starts a proxy that listens on address and forwards to target.
func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[*proxyConn]struct{}{}, cut: map[direction]bool{}, linkSet: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	p.mu.Lock()
	shut := p.refusing
	link, linkSet := p.link, p.linkSet
	p.mu.Unlock()
	switch {
	case link.refusing:
		shut = true
	case link.held != [2]bool{}: // one lost direction is enough: no handshake is completed
		<-linkSet
		shut = true
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil || shut {
		resetConn(client)
		if err == nil {
			resetConn(server)
		}
		return
	}
	c := &proxyConn{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.pump(c, client, server, up) })
	wg.Go(func() { p.pump(c, server, client, down) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// pump forwards one direction until the connection ends.
func (p *proxy) pump(c *proxyConn, from, to net.Conn, d direction) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			drop, delay := p.state(c, d)
			time.Sleep(delay)
			p.awaitLink(d)
			if !drop {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}

// state returns what to do with the bytes just read in a direction.
func (p *proxy) state(c *proxyConn, d direction) (drop bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.silent[d] = c.silent[d] || p.cut[d]
	return c.silent[d], p.delay
}

// linkFault is a fault of all connections through a proxy. The zero value is none.
type linkFault struct {
	// held holds the directions whose bytes arrive only after the end of the fault, as TCP
	// repeats what a cut has lost. New connections get no answer meanwhile.
	held     [2]bool
	silenced bool // the connections established at its beginning lose all further bytes
	refusing bool // new connections are reset, established ones go on
}

// setLink replaces the fault of the connections.
func (p *proxy) setLink(fault linkFault) {
	if fault.silenced {
		p.silenceConns()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = fault
	close(p.linkSet)
	p.linkSet = make(chan struct{})
}

// awaitLink waits until the link carries bytes in a direction.
func (p *proxy) awaitLink(d direction) {
	for {
		p.mu.Lock()
		held, linkSet := p.link.held[d], p.linkSet
		p.mu.Unlock()
		if !held {
			return
		}
		<-linkSet
	}
}

// resetConn closes a connection with a TCP reset instead of an orderly shutdown.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

func (p *proxy) setCut(d direction, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[d] = on
}

// setRefusing, while on, resets new connections. Switching it on also resets the
// established ones.
func (p *proxy) setRefusing(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = on
	if on {
		p.resetConnsLocked()
	}
}

// resetConns resets the established connections.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetConnsLocked()
}

// resetConnsLocked resets the established connections. The caller holds mu.
func (p *proxy) resetConnsLocked() {
	for c := range p.conns {
		resetConn(c.client)
		resetConn(c.server)
	}
}

// silenceConns drops all further bytes of the established connections; new ones work.
func (p *proxy) silenceConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent = [2]bool{true, true}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setLink(linkFault{})
	p.resetConns()
}
