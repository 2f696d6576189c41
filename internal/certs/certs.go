// Package certs loads a TLS certificate and, for mutual TLS, a CA from PEM files, and
// reloads them without a restart when the files change. It is given the files' paths and
// provides TLS configurations for servers and clients. Open connections keep the
// certificate that they were opened with. If changed files cannot be loaded, the
// certificate loaded before stays in use. The caller runs Watch, which reports the result
// of each reload.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/clock"
)

// reloadInterval is how often the files' modification times are checked.
const reloadInterval = 2 * time.Second

// ErrNoCACertificate is returned for a CA file without a PEM certificate.
var ErrNoCACertificate = errors.New("file holds no PEM certificate")

// Files holds the paths of a certificate, its key and, for mutual TLS, the CA that signs
// the other side's certificates. All are PEM files.
type Files struct {
	Certificate string
	Key         string
	CA          string // empty: no mutual TLS
}

// Configured reports whether a certificate is configured.
func (f Files) Configured() bool { return f.Certificate != "" }

// Reloader holds a certificate and a CA pool. While Watch runs, they are reloaded when
// their files change.
type Reloader struct {
	files         Files
	certificate   atomic.Pointer[tls.Certificate]
	roots         atomic.Pointer[x509.CertPool]
	loadedModTime time.Time // newest modification time at the last load, also a failed one
}

// Load reads the files. It fails when one cannot be read or parsed.
func Load(files Files) (*Reloader, error) {
	p := &Reloader{files: files}
	return p, p.load()
}

func (p *Reloader) load() error {
	cert, err := tls.LoadX509KeyPair(p.files.Certificate, p.files.Key)
	if err != nil {
		return fmt.Errorf("certificate %s with key %s: %w", p.files.Certificate, p.files.Key, err)
	}
	if p.files.CA != "" {
		roots, err := LoadCAPool(p.files.CA)
		if err != nil {
			return err
		}
		p.roots.Store(roots)
	}
	p.certificate.Store(&cert)
	p.loadedModTime = p.newestModTime()
	return nil
}

// LoadCAPool reads the certificates of a CA from a PEM file.
func LoadCAPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("CA certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("CA certificate %s: %w", path, ErrNoCACertificate)
	}
	return pool, nil
}

// newestModTime returns the newest modification time of the files, zero if one is missing.
func (p *Reloader) newestModTime() time.Time {
	var newest time.Time
	for _, name := range []string{p.files.Certificate, p.files.Key, p.files.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return time.Time{}
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// Watch reloads the files when their newest modification time changes, until ctx ends.
// report is called with the result of each reload. After a failed reload the certificate
// loaded before stays in use, and the files are not read again until the modification time
// changes. While a file is missing, nothing is reloaded or reported.
func (p *Reloader) Watch(ctx context.Context, report func(err error)) error {
	return clock.Every(ctx, reloadInterval, func() { p.reloadIfChanged(report) })
}

func (p *Reloader) reloadIfChanged(report func(err error)) {
	modTime := p.newestModTime()
	if modTime.IsZero() || modTime.Equal(p.loadedModTime) {
		return
	}
	err := p.load()
	if err != nil {
		p.loadedModTime = modTime // one attempt and one report per change
	}
	report(err)
}

// ServerConfig returns the configuration of a listener. Each new connection gets the
// certificate loaded last. With a CA, clients must present a certificate that it signed,
// and TLS 1.3 is required.
func (p *Reloader) ServerConfig() *tls.Config {
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: p.serverCertificate}
	if p.files.CA == "" {
		return cfg
	}
	cfg.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return &tls.Config{
			MinVersion: tls.VersionTLS13, GetCertificate: p.serverCertificate,
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: p.roots.Load(),
		}, nil
	}
	return cfg
}

func (p *Reloader) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return p.certificate.Load(), nil
}

// ClientConfig returns the configuration of a connection to a peer. It trusts the CA as
// loaded at the time of the call, so each connection needs a new configuration.
func (p *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    p.roots.Load(),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return p.certificate.Load(), nil
		},
	}
}
