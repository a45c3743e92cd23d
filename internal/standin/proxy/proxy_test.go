package proxy_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/standin/proxy"
)

// quiet is how long nothing may arrive through a fault.
const quiet = 100 * time.Millisecond

// echo returns a proxy to a server that sends back what it receives.
func echo(t *testing.T) *proxy.Proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	p, err := proxy.New(listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

func dial(t *testing.T, p *proxy.Proxy) net.Conn {
	c, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t *testing.T, c net.Conn) {
	_, err := c.Write([]byte("x"))
	require.NoError(t, err)
}

// receives reports whether a byte arrives in time.
func receives(c net.Conn, timeout time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// Guards against a cut of one direction that lets bytes through, or that loses them.
func TestHeldBytesArriveLater(t *testing.T) {
	for _, d := range []proxy.Direction{proxy.Up, proxy.Down} {
		p := echo(t)
		open := dial(t, p)
		send(t, open)
		require.True(t, receives(open, time.Minute))
		var f proxy.Faults
		f.Hold[d] = true
		p.Set(f)
		later := dial(t, p)
		send(t, open)
		send(t, later)
		require.False(t, receives(open, quiet))
		require.False(t, receives(later, quiet))
		p.Set(proxy.Faults{})
		require.True(t, receives(open, time.Minute))
		require.True(t, receives(later, time.Minute))
	}
}

// Guards against a refusal that ends open connections, and against silence that ends.
func TestRefusalAndSilence(t *testing.T) {
	p := echo(t)
	open := dial(t, p)
	send(t, open)
	require.True(t, receives(open, time.Minute))
	p.Set(proxy.Faults{Refuse: true})
	refused, err := net.Dial("tcp", p.Address()) // may fail already
	if err == nil {
		t.Cleanup(func() { _ = refused.Close() })
		_ = refused.SetReadDeadline(time.Now().Add(time.Minute))
		_, err = refused.Read(make([]byte, 1))
	}
	require.ErrorIs(t, err, syscall.ECONNRESET)
	send(t, open)
	require.True(t, receives(open, time.Minute))
	p.Silence()
	p.Set(proxy.Faults{})
	send(t, open)
	require.False(t, receives(open, quiet))
	later := dial(t, p)
	send(t, later)
	require.True(t, receives(later, time.Minute))
}
