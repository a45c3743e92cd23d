// Package control implements what all stand-ins have in common: connection
// tracking, connections that receive no answer as an injected fault, and the
// HTTP endpoints that set faults and return records.
package control

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"vanillalock.example/vanillalock/internal/httpjson"
)

// Paths of the endpoints of every stand-in.
const (
	PathFaults  = "/faults"
	PathRecords = "/records"
)

// maxFaultsBody bounds the body of a POST to PathFaults in bytes.
const maxFaultsBody = 64 << 10

// Silence selects the connections that receive no answer.
type Silence string

// Values of Silence.
const (
	// SilenceNone answers on every connection.
	SilenceNone Silence = ""
	// SilenceAll answers on no connection.
	SilenceAll Silence = "all"
	// SilenceEstablished answers only on connections accepted after the fault
	// was set.
	SilenceEstablished Silence = "established"
)

// Valid reports whether s is one of the values above.
func (s Silence) Valid() bool {
	return s == SilenceNone || s == SilenceAll || s == SilenceEstablished
}

type connKey struct{}

// connInfo describes one connection of a Tracker.
type connInfo struct {
	number    uint64 // in order of acceptance, from 1
	overLimit bool   // accepted beyond the limit
}

// Tracker counts the connections of a server and decides which of them exceed
// the limit or receive no answer. The zero value has no limit.
type Tracker struct {
	Limit int // connections open at once; 0: no limit

	mu         sync.Mutex
	accepted   uint64
	open       map[net.Conn]struct{}
	peak       int
	silence    Silence
	silentUpTo uint64 // connections up to this number are silent
}

// Configure makes server report its connections to t. It must be called before
// the server starts. Requests of a server that was not configured are within
// the limit and count as sent on an established connection.
func (t *Tracker) Configure(server *http.Server) {
	server.ConnContext = t.accept
	server.ConnState = t.state
}

func (t *Tracker) accept(ctx context.Context, c net.Conn) context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = map[net.Conn]struct{}{}
	}
	t.accepted++
	t.open[c] = struct{}{}
	t.peak = max(t.peak, len(t.open))
	info := connInfo{number: t.accepted, overLimit: t.Limit > 0 && len(t.open) > t.Limit}
	return context.WithValue(ctx, connKey{}, info)
}

func (t *Tracker) state(c net.Conn, s http.ConnState) {
	if s != http.StateClosed && s != http.StateHijacked {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

// Peak returns the highest number of connections open at once.
func (t *Tracker) Peak() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peak
}

// OverLimit reports whether the request's connection was accepted beyond the limit.
func (t *Tracker) OverLimit(r *http.Request) bool {
	info, _ := r.Context().Value(connKey{}).(connInfo)
	return info.overLimit
}

// SetSilence sets the connections that receive no answer. Setting
// SilenceEstablished again includes the connections accepted since.
func (t *Tracker) SetSilence(s Silence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silence, t.silentUpTo = s, t.accepted
}

// Silent reports whether the request receives no answer.
func (t *Tracker) Silent(r *http.Request) bool {
	info, _ := r.Context().Value(connKey{}).(connInfo)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silence == SilenceAll || t.silence == SilenceEstablished && info.number <= t.silentUpTo
}

// Hang waits until the client closes the connection and then ends the request
// without an answer. It does not return.
func Hang(r *http.Request) {
	// The server notices a closed connection only after the body was read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// Abort closes the connection without an answer. It does not return.
func Abort() { panic(http.ErrAbortHandler) }

// Handle adds the faults and records endpoints to mux. F is the stand-in's type
// of faults; set returns an error for values that are out of range.
func Handle[F any](mux *http.ServeMux, get func() F, set func(F) error, records func() any) {
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, get())
	})
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f F
		if err := httpjson.Decode(r, maxFaultsBody, &f); err != nil {
			httpjson.WriteError(w, http.StatusBadRequest, "malformed", err.Error())
			return
		}
		if err := set(f); err != nil {
			httpjson.WriteError(w, http.StatusBadRequest, "out_of_range", err.Error())
			return
		}
		httpjson.Write(w, http.StatusOK, get())
	})
	mux.HandleFunc("GET "+PathRecords, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, records())
	})
}
