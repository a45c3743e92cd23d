// Package faults tests a whole deployment in one process under injected failures.
// The tests check the records of the stand-ins and the answers that callers
// received.
package faults

import (
	"fmt"
	"net"
	"regexp"
	"sync"
)

// Mode is what a Relay does with the connections of one VM.
type Mode int

// Modes of a Relay.
const (
	// Forward forwards all bytes.
	Forward Mode = iota
	// Silent discards the bytes of established connections in both directions
	// and forwards new connections.
	Silent
	// Cut discards all bytes of established and new connections.
	Cut
)

// maxHeadBytes is the number of bytes at the start of a connection that are
// searched for the VM id, which an agent sends when it announces itself.
const maxHeadBytes = 4096

var vmPattern = regexp.MustCompile(`vm-\d\d`)

// Relay forwards TCP connections to an entry and drops the bytes of selected VMs.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*relayConn]struct{}
	cut   map[string]bool
}

// relayConn is one forwarded connection. A silent one drops all bytes.
type relayConn struct {
	client, server net.Conn
	vm             string // empty until identified
	silent         bool
}

// NewRelay listens on a free loopback port for connections to target.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r := &Relay{listener: listener, target: target, conns: map[*relayConn]struct{}{}, cut: map[string]bool{}}
	go r.accept()
	return r, nil
}

// Address is the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set changes the mode for a VM; an empty id means every connection, including
// those of other entries. It returns the number of established connections
// affected.
func (r *Relay) Set(vm string, mode Mode) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[vm] = mode == Cut
	affected := 0
	for l := range r.conns {
		if vm != "" && l.vm != vm {
			continue
		}
		affected++
		// A connection that has lost bytes stays silent, as its stream is
		// incomplete.
		l.silent = l.silent || mode != Forward
	}
	return affected
}

// Close closes the listener and all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.conns {
		l.close()
	}
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(client)
	}
}

// serve forwards a connection in both directions until it ends. The bytes from the
// client identify the VM.
func (r *Relay) serve(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &relayConn{client: client, server: server}
	r.mu.Lock()
	r.conns[l] = struct{}{}
	l.silent = r.cut[""]
	r.mu.Unlock()
	defer func() {
		l.close()
		r.mu.Lock()
		delete(r.conns, l)
		r.mu.Unlock()
	}()
	var wg sync.WaitGroup
	wg.Go(func() { r.pump(l, client, server, true) })
	wg.Go(func() { r.pump(l, server, client, false) })
	wg.Wait()
}

// pump forwards one direction until the connection ends. If identify is set it
// searches the first bytes for the VM id.
func (r *Relay) pump(l *relayConn, from, to net.Conn, identify bool) {
	defer l.close()
	buffer := make([]byte, 32<<10)
	seen := make([]byte, 0, maxHeadBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if identify && len(seen) < maxHeadBytes {
				seen = append(seen, buffer[:min(n, maxHeadBytes-len(seen))]...)
				r.identify(l, string(vmPattern.Find(seen)))
			}
			if !r.dropped(l) {
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

// identify assigns a connection to a VM once its id is known, and applies Cut.
func (r *Relay) identify(l *relayConn, vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.vm == "" && vm != "" {
		l.vm = vm
		l.silent = l.silent || r.cut[vm]
	}
}

// dropped reports whether the bytes of a connection are dropped.
func (r *Relay) dropped(l *relayConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.silent
}

func (l *relayConn) close() {
	_ = l.client.Close()
	_ = l.server.Close()
}
