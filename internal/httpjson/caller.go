// Package httpjson makes and serves JSON calls over HTTP with bounded bodies,
// deadlines and pooled connections. The error of a failed call tells whether the
// request may have reached the server.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"vanillalock.example/vanillalock/internal/obs"
)

// Defaults of Options.
const (
	DefaultTimeout        = time.Second
	DefaultMaxConnections = 64
	DefaultMaxBody        = 2 << 20 // bytes
	idleTimeout           = 90 * time.Second
	maxHeaderBytes        = 16 << 10
	maxErrorBody          = 64 << 10 // bytes read of an error response
)

// Options configure a Caller. Zero fields take the defaults.
type Options struct {
	Timeout        time.Duration // of one call, dial included
	MaxConnections int           // open at a time; further calls wait for one within their deadline
	MaxBody        int64         // bytes of a response body
}

// Stats counts the traffic of a Caller. Bytes include HTTP headers.
type Stats struct {
	Calls         uint64
	Dials         uint64
	BytesSent     uint64
	BytesReceived uint64
}

// Caller makes calls to one server. It is safe for concurrent use.
type Caller struct {
	base    string
	options Options
	client  *http.Client
	calls   atomic.Uint64
	dials   atomic.Uint64
	sent    atomic.Uint64
	read    atomic.Uint64
}

// TransportError is the error of a call without a complete, readable response.
// Sent is false only if the request certainly did not reach the server.
type TransportError struct {
	Sent bool
	Err  error
}

// Error implements error.
func (e *TransportError) Error() string {
	if e.Sent {
		return "no answer: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// StatusError is a complete response whose status is not 200. Code is empty if
// the server did not state one.
type StatusError struct {
	Status int
	Code   string
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d %s: %s", e.Status, e.Code, e.Detail)
}

// ErrorBody is the JSON body of a response whose status is not 200.
type ErrorBody struct {
	Error  string `json:"error"`
	Detail string `json:"detail,omitempty"`
}

// NewCaller returns a Caller of the server at baseURL, e.g. "http://10.0.0.7:8500".
func NewCaller(baseURL string, options Options) (*Caller, error) {
	u, err := url.Parse(baseURL)
	if err != nil {
		return nil, fmt.Errorf("httpjson: base URL: %w", err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, fmt.Errorf("httpjson: base URL %q needs a scheme and a host", baseURL)
	}
	c := &Caller{base: strings.TrimRight(baseURL, "/"), options: withDefaults(options)}
	c.client = &http.Client{
		Transport: c.transport(),
		// A redirect would send the body a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

func withDefaults(o Options) Options {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = DefaultMaxConnections
	}
	if o.MaxBody <= 0 {
		o.MaxBody = DefaultMaxBody
	}
	return o
}

func (c *Caller) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: c.options.Timeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c.dials.Add(1)
			return &countedConn{Conn: conn, sent: &c.sent, read: &c.read}, nil
		},
		MaxConnsPerHost:        c.options.MaxConnections,
		MaxIdleConnsPerHost:    c.options.MaxConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// Stats returns the traffic so far.
func (c *Caller) Stats() Stats {
	return Stats{Calls: c.calls.Load(), Dials: c.dials.Load(), BytesSent: c.sent.Load(), BytesReceived: c.read.Load()}
}

// Timeout returns the timeout of one call.
func (c *Caller) Timeout() time.Duration { return c.options.Timeout }

// CloseIdle closes the pooled connections that carry no call.
func (c *Caller) CloseIdle() { c.client.CloseIdleConnections() }

// Call posts in as JSON to path and decodes the response into out within the
// timeout of the options. Errors are *TransportError or *StatusError.
func (c *Caller) Call(ctx context.Context, path string, in, out any) error {
	return c.CallTimeout(ctx, c.options.Timeout, path, in, out)
}

// CallTimeout is like Call with the given timeout.
func (c *Caller) CallTimeout(ctx context.Context, timeout time.Duration, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &TransportError{Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.calls.Add(1)
	var sent atomic.Bool
	// A request counts as sent once it has a connection, before its first byte.
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &TransportError{Err: err}
	}
	// No Idempotency-Key header: the transport would resend the request on a
	// broken connection, and the caller could not tell how often it ran.
	req.Header.Set("Content-Type", "application/json")
	if traceparent := obs.Traceparent(ctx); traceparent != "" {
		req.Header.Set("Traceparent", traceparent)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return c.transportError(err, sent.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	return c.decodeResponse(resp, out)
}

// transportError wraps err in a TransportError. If a sent request timed out, it closes
// the idle connections: they lead to the same unresponsive peer and are likely dead too,
// while new ones may work.
func (c *Caller) transportError(err error, sent bool) error {
	if sent && errors.Is(err, context.DeadlineExceeded) {
		c.CloseIdle()
	}
	return &TransportError{Sent: sent, Err: err}
}

// decodeResponse decodes the body of a response with status 200 into out.
func (c *Caller) decodeResponse(resp *http.Response, out any) error {
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.options.MaxBody+1))
	if err != nil {
		return c.transportError(err, true)
	}
	if int64(len(body)) > c.options.MaxBody {
		return &TransportError{Sent: true, Err: fmt.Errorf("answer exceeds %d bytes", c.options.MaxBody)}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &TransportError{Sent: true, Err: fmt.Errorf("decode answer: %w", err)}
	}
	return nil
}

// statusError returns the StatusError of a response. Its code stays empty if the
// body cannot be decoded.
func statusError(resp *http.Response) error {
	e := &StatusError{Status: resp.StatusCode}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if err != nil {
		e.Detail = err.Error()
		return e
	}
	var stated ErrorBody
	if err := json.Unmarshal(body, &stated); err != nil {
		e.Detail = "answer is not JSON"
		return e
	}
	e.Code, e.Detail = stated.Error, stated.Detail
	return e
}

// countedConn counts the bytes sent and received on a connection.
type countedConn struct {
	net.Conn
	sent, read *atomic.Uint64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(uint64(n))
	return n, err
}
