// Package faults holds failure tests of a whole deployment in one process. The
// records of the stand-ins are the judge.
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
	// Forward passes bytes on.
	Forward Mode = iota
	// Silent discards the bytes of established connections in both directions
	// and forwards new connections.
	Silent
	// Cut discards all bytes of established and new connections.
	Cut
)

// headBytes bounds the first read of a connection, which contains the
// announcement of an agent with its VM id.
const headBytes = 4096

var vmPattern = regexp.MustCompile(`vm-\d\d`)

// Relay forwards TCP connections to an entry and drops the bytes of chosen VMs.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*link]struct{}
	cut   map[string]bool
}

type link struct {
	client, server net.Conn
	vm             string
	silent         bool
}

// NewRelay listens on a free loopback port for connections to target.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r := &Relay{listener: listener, target: target, conns: map[*link]struct{}{}, cut: map[string]bool{}}
	go r.accept()
	return r, nil
}

// Address is the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set changes the mode for a VM; an empty id means every connection, also those
// of other entries. It returns the number of established connections affected.
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
		// Bytes that were dropped are missing from the stream, so that a
		// connection that has been silent stays silent.
		l.silent = l.silent || mode != Forward
	}
	return affected
}

// Close ends the relay and its connections.
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

// serve reads the head of a connection to learn which VM it belongs to.
func (r *Relay) serve(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, server: server}
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

// pump copies one direction until the connection ends.
func (r *Relay) pump(l *link, from, to net.Conn, identify bool) {
	defer l.close()
	buffer := make([]byte, 32<<10)
	seen := make([]byte, 0, headBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if identify && len(seen) < headBytes {
				seen = append(seen, buffer[:min(n, headBytes-len(seen))]...)
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

func (r *Relay) identify(l *link, vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.vm == "" && vm != "" {
		l.vm = vm
		l.silent = l.silent || r.cut[vm]
	}
}

func (r *Relay) dropped(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.silent
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.server.Close()
}
