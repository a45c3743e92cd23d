package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// issue writes the files of a new authority and of a certificate for "peer" signed by
// it, whose serial number is serial+1.
func issue(t *testing.T, dir string, serial int64) Files {
	t.Helper()
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	require.NoError(t, err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(serial + 1), DNSNames: []string{"peer"}, NotBefore: ca.NotBefore, NotAfter: ca.NotAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	f := Files{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
	for path, block := range map[string]*pem.Block{
		f.Cert: {Type: "CERTIFICATE", Bytes: der}, f.Key: {Type: "PRIVATE KEY", Bytes: keyDER}, f.CA: {Type: "CERTIFICATE", Bytes: caDER},
	} {
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
		// Set explicitly, the stamps differ whatever the file system's clock resolution.
		stamp := time.Unix(serial, 0)
		require.NoError(t, os.Chtimes(path, stamp, stamp))
	}
	return f
}

// handshake returns the errors of both sides and the server's serial number.
func handshake(client, server *tls.Config) (serial int64, clientErr, serverErr error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err, err
	}
	defer listener.Close()
	a, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return 0, err, err
	}
	defer a.Close()
	b, err := listener.Accept()
	if err != nil {
		return 0, err, err
	}
	done := make(chan error, 1)
	go func() {
		defer b.Close()
		s := tls.Server(b, server)
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x"))
		}
		done <- err
	}()
	c := tls.Client(a, client)
	clientErr = c.Handshake()
	if clientErr == nil {
		_, clientErr = io.ReadFull(c, make([]byte, 1))
		serial = c.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	a.Close()
	return serial, clientErr, <-done
}

// Guards against accepting a peer without a valid certificate, with a certificate
// for another name, or with an old protocol version.
func TestMutualTLS(t *testing.T) {
	r, err := New(issue(t, t.TempDir(), 10), nil)
	require.NoError(t, err)
	other, err := New(issue(t, t.TempDir(), 20), nil)
	require.NoError(t, err)

	_, clientErr, serverErr := handshake(r.Client("peer"), r.Server())
	require.NoError(t, clientErr)
	require.NoError(t, serverErr)

	_, clientErr, _ = handshake(r.Client("elsewhere"), r.Server())
	assert.ErrorContains(t, clientErr, "verifying the server")
	_, clientErr, _ = handshake(r.Client(""), r.Server())
	assert.ErrorContains(t, clientErr, "server name is empty")
	_, clientErr, _ = handshake(other.Client("peer"), r.Server())
	assert.Error(t, clientErr)
	anonymous := &tls.Config{InsecureSkipVerify: true}
	_, _, serverErr = handshake(anonymous, r.Server())
	assert.Error(t, serverErr)
	old := r.Client("peer")
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	_, clientErr, _ = handshake(old, r.Server())
	assert.Error(t, clientErr)
}

// Guards against a replaced certificate that takes effect only after a restart, and
// against a malformed replacement that stops the process from serving.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	now := time.Unix(0, 0)
	var reported []error
	r, err := newReloader(issue(t, dir, 10), func(err error) { reported = append(reported, err) }, func() time.Time { return now })
	require.NoError(t, err)
	client, server := r.Client("peer"), r.Server()
	serial, clientErr, _ := handshake(client, server)
	require.NoError(t, clientErr)
	require.EqualValues(t, 11, serial)

	files := issue(t, dir, 30)
	now = now.Add(2 * checkInterval)
	serial, clientErr, _ = handshake(client, server)
	require.NoError(t, clientErr)
	assert.EqualValues(t, 31, serial)

	require.NoError(t, os.WriteFile(files.Key, []byte("broken"), 0o600))
	now = now.Add(2 * checkInterval)
	serial, clientErr, _ = handshake(client, server)
	require.NoError(t, clientErr)
	assert.EqualValues(t, 31, serial)
	assert.NotEmpty(t, reported)

	_, err = New(files, nil)
	assert.Error(t, err)
}
