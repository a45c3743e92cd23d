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

// Defaults of the caller.
const (
	maxAnswerBytes = 4 << 20
	maxIdle        = 512 // pooled connections to each entry
	dialTimeout    = time.Second
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

// Bytes returns the body of the upstream.
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

// result is the complete HTTP answer of one try.
type result struct {
	status int
	body   []byte
}

// caller sends calls to several entries and moves to the next entry when a
// connection fails.
type caller struct {
	entries []string
	client  *http.Client
	tries   int
	next    atomic.Uint64
}

func newCaller(o Options) *caller {
	transport := o.Transport
	if transport == nil {
		transport = &http.Transport{
			MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: time.Minute, DisableCompression: true,
			TLSHandshakeTimeout: dialTimeout,
		}
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &caller{entries: o.Entries, tries: o.Tries, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// call is one logical call. Its id and key stay the same over all tries.
type call struct {
	method  string
	path    string
	key     string // header Idempotency-Key, none if empty
	timeout time.Duration
	grace   time.Duration // how long the caller waits beyond the timeout
	header  bool          // send Request-Timeout
	body    []byte
}

// reach tells how far a call got.
type reach struct {
	tries int
	sent  bool // a try without an answer may have reached an entry
}

// do tries entries in turn until one answers, the tries are used up or the
// timeout is over. A caller that waits in vain on an open connection gives up;
// it does not try again after its timeout.
func (c *caller) do(ctx context.Context, k call) (result, reach, error) {
	var got reach
	deadline := time.Now().Add(k.timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(k.grace))
	defer cancel()
	first := c.next.Add(1)
	err := errors.New("load: no try")
	for got.tries < c.tries {
		remaining := time.Until(deadline)
		if got.tries > 0 && (remaining <= 0 || ctx.Err() != nil) {
			break
		}
		entry := c.entries[(first+uint64(got.tries))%uint64(len(c.entries))]
		got.tries++
		var r result
		var sent bool
		r, sent, err = c.try(ctx, entry, k, got, max(remaining, time.Millisecond))
		got.sent = got.sent || sent && err != nil
		if err == nil && !(leaving(r) && got.tries < c.tries) {
			return r, got, nil
		}
	}
	return result{}, got, err
}

// leaving reports whether an entry refused a call because it shuts down, which
// proves that it did not run: another entry may.
func leaving(r result) bool {
	answer, err := DecodeAnswer(r.body)
	return err == nil && answer.Code == rescode.Leaving
}

func (c *caller) try(ctx context.Context, entry string, k call, got reach, remaining time.Duration) (result, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), k.method, strings.TrimRight(entry, "/")+k.path, bytes.NewReader(k.body))
	if err != nil {
		return result{}, false, fmt.Errorf("load: %w", err)
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
		return result{}, sent.Load(), fmt.Errorf("load: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return result{}, true, fmt.Errorf("load: read answer: %w", err)
	}
	if len(body) > maxAnswerBytes {
		return result{}, true, fmt.Errorf("load: answer exceeds %d bytes", maxAnswerBytes)
	}
	return result{resp.StatusCode, body}, true, nil
}

// DecodeAnswer reads an entry's answer. An answer without an outcome takes it
// from its code.
func DecodeAnswer(body []byte) (Answer, error) {
	// A code that is absent must not pass for code 0, success.
	answer := Answer{Code: rescode.Internal}
	if err := json.Unmarshal(body, &answer); err != nil {
		return Answer{}, fmt.Errorf("load: answer: %w", err)
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
