// Package tlsconf builds mutual TLS configurations from PEM files that may be
// replaced while the process runs.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is the shortest time between two checks of the files for changes.
const checkInterval = 1 * time.Second

// Files names the PEM files of one process.
type Files struct {
	Cert string // certificate chain
	Key  string // private key
	CA   string // authorities that sign the peers' certificates
}

// Reloader holds the parsed files and reloads them when they change. If a changed
// file does not parse, it reports the error and keeps using the previous content.
type Reloader struct {
	files   Files
	onError func(error)
	now     func() time.Time

	mu      sync.Mutex
	checked time.Time
	stamps  [3]fileStamp
	current *credentials
}

// credentials is the parsed content of Files.
type credentials struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// fileStamp is the metadata by which a change of a file is detected without reading
// it.
type fileStamp struct {
	modified time.Time
	size     int64
}

// New reads the files. onError receives failures of later reads; it may be nil.
func New(files Files, onError func(error)) (*Reloader, error) {
	return newReloader(files, onError, time.Now)
}

func newReloader(files Files, onError func(error), now func() time.Time) (*Reloader, error) {
	if onError == nil {
		onError = func(error) {}
	}
	r := &Reloader{files: files, onError: onError, now: now}
	stamps, err := files.stamps()
	if err != nil {
		return nil, err
	}
	m, err := files.load()
	if err != nil {
		return nil, err
	}
	r.stamps, r.current, r.checked = stamps, m, now()
	return r, nil
}

// Server returns the configuration of a listener. Clients must present a
// certificate of the authorities.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := r.load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{m.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.pool,
				// A resumed session would outlive a replaced authority.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// Client returns the configuration of a dialer; the server's certificate must
// be valid for serverName.
func (r *Reloader) Client(serverName string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: serverName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.load().cert, nil
		},
		// The standard verification uses a fixed pool; VerifyConnection does
		// the same verification with the current one.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyServer(state, serverName, r.load().pool)
		},
	}
}

func verifyServer(state tls.ConnectionState, serverName string, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("tlsconf: the server presents no certificate")
	}
	if serverName == "" {
		return errors.New("tlsconf: the server name is empty")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName: serverName, Roots: roots, Intermediates: intermediates,
	})
	if err != nil {
		return fmt.Errorf("tlsconf: verifying the server: %w", err)
	}
	return nil
}

// load returns the current credentials, reloaded first if the files have changed.
func (r *Reloader) load() *credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now.Sub(r.checked) < checkInterval {
		return r.current
	}
	r.checked = now
	stamps, err := r.files.stamps()
	if err != nil {
		r.onError(err)
		return r.current
	}
	if stamps == r.stamps {
		return r.current
	}
	m, err := r.files.load()
	if err != nil {
		// The old stamps are kept so that the next check reads the files again:
		// they may be replaced one after the other.
		r.onError(err)
		return r.current
	}
	r.stamps, r.current = stamps, m
	return m
}

// stamps returns the stamps of the certificate, key and CA files.
func (f Files) stamps() (out [3]fileStamp, err error) {
	for i, path := range []string{f.Cert, f.Key, f.CA} {
		info, err := os.Stat(path)
		if err != nil {
			return out, fmt.Errorf("tlsconf: %w", err)
		}
		out[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return out, nil
}

// load reads and parses the files.
func (f Files) load() (*credentials, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("tlsconf: loading %s and %s: %w", f.Cert, f.Key, err)
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("tlsconf: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("tlsconf: %s holds no certificate", f.CA)
	}
	return &credentials{cert, pool}, nil
}
