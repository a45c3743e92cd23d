package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"vanillalock.example/vanillalock/internal/rescode"
)

// Limits of the HTTP client.
const (
	maxAnswerBytes      = 4 << 20
	maxIdleConns        = 512 // pooled connections to each entry
	tlsHandshakeTimeout = time.Second
)

// Answer is an entry's answer to a request.
type Answer struct {
	RequestID  string          `json:"request_id"`
	Outcome    string          `json:"outcome"`
	Code       rescode.Code    `json:"code"`
	Detail     string          `json:"detail"`
	Body       json.RawMessage `json:"body"`        // JSON as it is, other text as a string
	BodyBase64 []byte          `json:"body_base64"` // a body that is not UTF-8
	Upstream   string          `json:"upstream"`
}

// Bytes returns the upstream's response body from the field that holds it.
func (a Answer) Bytes() []byte {
	var text string
	switch {
	case len(a.Body) == 0:
		return a.BodyBase64
	case a.Body[0] == '"' && json.Unmarshal(a.Body, &text) == nil:
		return []byte(text)
	}
	return a.Body
}

// response is the complete HTTP response to one try.
type response struct {
	status int
	body   []byte
}

// entryClient sends calls to the entries in turn and tries the next entry when
// one fails or is shutting down.
type entryClient struct {
	entries []string
	client  *http.Client
	tries   int
	next    atomic.Uint64
}

func newEntryClient(o Options) *entryClient {
	transport := o.Transport
	if transport == nil {
		transport = &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute, DisableCompression: true,
			TLSHandshakeTimeout: tlsHandshakeTimeout,
		}
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &entryClient{entries: o.Entries, tries: o.Tries, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// call is one API call. All tries send the same id and idempotency key.
type call struct {
	method  string
	path    string
	key     string // header Idempotency-Key, none if empty
	timeout time.Duration
	grace   time.Duration // how long the caller waits beyond the timeout
	header  bool          // send Request-Timeout
	body    []byte
}

// delivery describes the tries of a call.
type delivery struct {
	tries int
	sent  bool // a try without an answer may have reached an entry
}

// do tries entries in turn until one answers, the tries are used up or the
// timeout is over. There are no tries after the timeout: a call on an open
// connection that gets no answer within the timeout and the grace fails.
func (c *entryClient) do(ctx context.Context, k call) (response, delivery, error) {
	var got delivery
	deadline := time.Now().Add(k.timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(k.grace))
	defer cancel()
	first := c.next.Add(1)
	err := errors.New("load: no try was made")
	for got.tries < c.tries {
		remaining := time.Until(deadline)
		if got.tries > 0 && (remaining <= 0 || ctx.Err() != nil) {
			break
		}
		entry := c.entries[(first+uint64(got.tries))%uint64(len(c.entries))]
		got.tries++
		var r response
		var sent bool
		r, sent, err = c.try(ctx, entry, k, got, max(remaining, time.Millisecond))
		got.sent = got.sent || sent && err != nil
		if err == nil && !(refusedByLeaving(r) && got.tries < c.tries) {
			return r, got, nil
		}
	}
	return response{}, got, err
}

// refusedByLeaving reports whether an entry refused a call because it is shutting
// down. Such a call did not run, so that it may be sent to another entry.
func refusedByLeaving(r response) bool {
	answer, err := DecodeAnswer(r.body)
	return err == nil && answer.Code == rescode.Leaving
}

// try sends a call to one entry. The bool reports whether the entry may have
// received it.
func (c *entryClient) try(ctx context.Context, entry string, k call, got delivery, remaining time.Duration) (response, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), k.method, strings.TrimRight(entry, "/")+k.path, bytes.NewReader(k.body))
	if err != nil {
		return response{}, false, fmt.Errorf("load: %w", err)
	}
	// Without GetBody the transport does not resend the request by itself, which
	// it would do, uncounted, for a request with an idempotency key.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if k.key != "" {
		req.Header.Set("Idempotency-Key", k.key)
	}
	if got.sent {
		req.Header.Set("Request-Attempt", strconv.Itoa(got.tries))
	}
	if k.header {
		req.Header.Set("Request-Timeout", remaining.Round(time.Millisecond).String())
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return response{}, sent.Load(), fmt.Errorf("load: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return response{}, true, fmt.Errorf("load: read answer: %w", err)
	}
	if len(body) > maxAnswerBytes {
		return response{}, true, fmt.Errorf("load: answer exceeds %d bytes", maxAnswerBytes)
	}
	return response{resp.StatusCode, body}, true, nil
}

// DecodeAnswer decodes an entry's answer. A missing outcome is derived from the
// result code.
func DecodeAnswer(body []byte) (Answer, error) {
	// A missing code must not be taken for code 0, success.
	answer := Answer{Code: rescode.Internal}
	if err := json.Unmarshal(body, &answer); err != nil {
		return Answer{}, fmt.Errorf("load: decode answer: %w", err)
	}
	switch answer.Outcome {
	case outcomeDone, outcomeNotRun, outcomeUnknown:
	case "":
		answer.Outcome = answer.Code.Outcome().String()
	default:
		return Answer{}, fmt.Errorf("load: unknown outcome %q", answer.Outcome)
	}
	return answer, nil
}
