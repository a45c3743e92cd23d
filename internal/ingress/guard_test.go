package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/obs"
)

const testBody = 256 << 10

// readingHandler replies with the size of the body, or as the platform's handlers do if it
// is refused.
var readingHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	var refused *RefusedError
	if errors.As(err, &refused) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprint(w, len(raw))
})

// serve serves a handler under a guard and returns its address.
func serve(t *testing.T, memoryMB int, handler http.Handler, limits Limits) (*Guard, string) {
	t.Helper()
	g := NewGuard(Options{MemoryMB: memoryMB, MaxFDs: 300, Log: obs.DiscardLogger(), Metrics: obs.NewMetrics(t.Name())})
	l, err := g.Listen("127.0.0.1:0", Main, func() Limits { return limits })
	require.NoError(t, err)
	server := NewServer(handler)
	go func() { _ = server.Serve(l) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	return g, l.Addr().String()
}

func dial(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c, bufio.NewReader(c)
}

func readAnswer(t *testing.T, r *bufio.Reader) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	raw, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(raw)
}

func post(size int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
}

// Guards against a body that is taken for a head, or a head for a body, when requests come
// on one connection without a pause, and against bytes that stay accounted for.
func TestRequestsOnOneConnection(t *testing.T) {
	g, address := serve(t, 8, readingHandler, Limits{HeadBytes: 100})
	large := strings.Repeat("x", testBody)
	text := post(testBody) + large + post(0) + post(3) + "\n\r\n" + "GET / HTTP/1.1\r\nHost: h\r\n\r\n" + post(testBody) + large
	conn, r := dial(t, address, text)
	for _, want := range []int{testBody, 0, 3, 0, testBody} {
		status, body := readAnswer(t, r)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, fmt.Sprint(want), body)
	}
	for range 2 {
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n")
		require.NoError(t, err)
		_, body := readAnswer(t, r)
		require.Equal(t, "4", body)
	}
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.requests.held == connectionCost
	}, time.Minute, time.Millisecond)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return g.open.Value() == 0 && g.held.Value() == 0 }, time.Minute, time.Millisecond)
}

// Guards against a head over its limit that is held until the limit of net/http, 1 MB, and
// against a limit that is not applied to later requests.
func TestHeadOverItsLimit(t *testing.T) {
	g, address := serve(t, 8, readingHandler, Limits{HeadBytes: 1000})
	before := g.counters[refusedHead].Value()
	conn, r := dial(t, address, post(0))
	status, _ := readAnswer(t, r)
	require.Equal(t, http.StatusOK, status)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: b\r\n", (1000+headSlack)/6))
	require.NoError(t, err)
	status, _ = readAnswer(t, r)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
	require.EqualValues(t, before+1, g.counters[refusedHead].Value())
}

// Guards against a refusal of a request that has reached the service, against a refusal
// without a time to try again, and against bodies of legal size beyond the budget.
func TestBodiesBeyondTheBudget(t *testing.T) {
	g, address := serve(t, 24, readingHandler, Limits{})
	const count = 12 // of 24 MB requests get 6, which eleven legal bodies exceed
	var readers []*bufio.Reader
	for range count {
		_, r := dial(t, address, post(testBody)+strings.Repeat("x", testBody-1))
		readers = append(readers, r)
	}
	_, r := dial(t, address, post(5)+"small")
	status, _ := readAnswer(t, r)
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool {
		return g.counters[refusedBytes].Value()+g.counters[closedStalled].Value() > 0
	}, time.Minute, time.Millisecond)
	require.LessOrEqual(t, g.held.Value(), int64(6<<20))
	require.Len(t, readers, count)
}

// Guards against a slow client that sends within the limits and is cut off, and against one
// that never sends its head or body and keeps its connection.
func TestTimeLimits(t *testing.T) {
	_, address := serve(t, 8, readingHandler, Limits{HeadTime: 200 * time.Millisecond, IdleTime: 400 * time.Millisecond})
	conn, r := dial(t, address, post(5)[:10])
	_, err := io.WriteString(conn, post(5)[10:]+"a")
	require.NoError(t, err)
	for range 4 {
		time.Sleep(75 * time.Millisecond) // beyond HeadTime in all
		_, err := io.WriteString(conn, "b")
		require.NoError(t, err)
	}
	status, body := readAnswer(t, r)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "5", body)
	_, err = r.ReadByte() // the idle connection
	require.ErrorIs(t, err, io.EOF)
	for _, text := range []string{"", post(5)[:10]} {
		_, r := dial(t, address, text)
		_, err := io.ReadAll(r) // net/http may send a response first
		require.NoError(t, err, "%q", text)
	}
	_, r = dial(t, address, post(5)+"a")
	status, _ = readAnswer(t, r)
	require.Equal(t, http.StatusBadRequest, status)
}

// Guards against a request that is cancelled while it is served, by the time limit of its
// body or by a crowd that takes all memory and connections.
func TestRequestBeingServedIsNotCancelled(t *testing.T) {
	begun, proceed := make(chan struct{}), make(chan struct{})
	_, address := serve(t, 8, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if r.ContentLength == 5 {
			close(begun)
			<-proceed
			if r.Context().Err() != nil {
				w.WriteHeader(http.StatusInternalServerError)
			}
		}
	}), Limits{HeadTime: time.Minute, IdleTime: 50 * time.Millisecond})
	_, r := dial(t, address, post(5)+"hello"+"P")
	<-begun
	for range 100 {
		dial(t, address, post(testBody)+strings.Repeat("x", 50<<10))
	}
	time.Sleep(150 * time.Millisecond) // beyond the time limit of a body
	close(proceed)
	status, _ := readAnswer(t, r)
	require.Equal(t, http.StatusOK, status)
}

// BenchmarkRequest compares ordinary requests on an open connection with and without a
// guard.
func BenchmarkRequest(b *testing.B) {
	limits := func() Limits { return DefaultLimits }
	g := NewGuard(Options{Log: obs.DiscardLogger(), Metrics: obs.NewMetrics(b.Name())})
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	guarded, err := g.Listen("127.0.0.1:0", Main, limits)
	require.NoError(b, err)
	for name, l := range map[string]net.Listener{"plain": plain, "guarded": guarded} {
		server := NewServer(readingHandler)
		go func() { _ = server.Serve(l) }() // ends with Close
		b.Cleanup(func() { _ = server.Close() })
		b.Run(name, func(b *testing.B) {
			c, err := net.Dial("tcp", l.Addr().String())
			require.NoError(b, err)
			defer c.Close()
			r, text := bufio.NewReader(c), []byte(post(1000)+strings.Repeat("x", 1000))
			for b.Loop() {
				_, err := c.Write(text)
				require.NoError(b, err)
				resp, err := http.ReadResponse(r, nil)
				require.NoError(b, err)
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		})
	}
}
