package roles

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/api/client"
	"vanillalock.example/vanillalock/internal/command"
	"vanillalock.example/vanillalock/internal/settings"
	standinkv "vanillalock.example/vanillalock/internal/standin/kv"
	standinupstream "vanillalock.example/vanillalock/internal/standin/upstream"
)

const entrySettings = `
id = "entry-1"
region = "osrednja"
failure_domain = "vic"
[http]
listen = "%s"
[session]
listen = "%s"
[kv]
address = "%s"
[tls]
cert = "%s"
key = "%s"
ca = "%s"
`

const agentSettings = `
vm = "vm-1"
region = "osrednja"
failure_domain = "vic"
rack = "vic-1"
entries = ["%s"]
[capacity]
milli_cpu = 1000
memory_mb = 1000
[upstream]
address = "%s"
[tls]
cert = "%s"
key = "%s"
ca = "%s"
`

// Guards against roles that ignore their settings: an entry and an agent that are
// built from TOML connect over mutual TLS, and both drain and end without an error
// when their context ends.
func TestRolesMeetOverMutualTLS(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	store := httptest.NewServer(standinkv.New(standinkv.Options{}))
	defer store.Close()
	executor := httptest.NewServer(standinupstream.New(standinupstream.Options{Slots: 8}))
	defer executor.Close()
	cert, key, ca := writeCertificate(t)
	httpAddress, sessionAddress := freeAddress(t), freeAddress(t)
	entry, err := settings.ParseEntry(fmt.Appendf(nil, entrySettings, httpAddress, sessionAddress, store.URL, cert, key, ca))
	require.NoError(t, err)
	agent, err := settings.ParseAgent(fmt.Appendf(nil, agentSettings, sessionAddress, executor.URL, cert, key, ca))
	require.NoError(t, err)

	runCtx, leave := context.WithCancel(ctx)
	streams := command.Streams{Out: io.Discard, Err: &bytes.Buffer{}}
	var wg sync.WaitGroup
	var entryErr, agentErr error
	wg.Go(func() { entryErr = RunEntry(runCtx, command.EntryOptions{Settings: entry}, streams) })
	wg.Go(func() {
		agentErr = RunAgent(runCtx, command.AgentOptions{Settings: agent}, command.Streams{Out: io.Discard, Err: io.Discard})
	})
	api, err := client.New([]string{"http://" + httpAddress}, nil)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		status, err := api.Status(ctx)
		return err == nil && len(status.Upstreams) == 1 && status.Upstreams[0].State == "alive"
	}, time.Minute, 50*time.Millisecond)
	leave()
	wg.Wait()
	require.NoError(t, entryErr)
	require.NoError(t, agentErr)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// writeCertificate writes a self-signed certificate for 127.0.0.1, which is also the
// certificate authority.
func writeCertificate(t *testing.T) (cert, key, ca string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "vanillalock test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(private)
	require.NoError(t, err)
	dir := t.TempDir()
	write := func(name, kind string, content []byte) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600))
		return path
	}
	cert = write("cert.pem", "CERTIFICATE", der)
	return cert, write("key.pem", "EC PRIVATE KEY", keyDER), cert
}
