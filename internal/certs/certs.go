// Package certs loads TLS certificates from files and loads them again when the
// files change, without a restart.
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

// reloadInterval is how often files are looked at.
const reloadInterval = 2 * time.Second

// ErrNoCACertificate is returned for a file without a certificate of an authority.
var ErrNoCACertificate = errors.New("file holds no PEM certificate")

// Files names a certificate with its key and, for mutual TLS, the authority
// that signs the other side's certificates. All are PEM.
type Files struct {
	Certificate string
	Key         string
	CA          string
}

// Configured reports whether a certificate is configured.
func (f Files) Configured() bool { return f.Certificate != "" }

// Reloader is a certificate that follows its files.
type Reloader struct {
	files         Files
	certificate   atomic.Pointer[tls.Certificate]
	roots         atomic.Pointer[x509.CertPool]
	loadedModTime time.Time // newest modification time of the files in use
}

// Load reads the files.
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

// LoadCAPool reads the certificates of an authority from a PEM file.
func LoadCAPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("authority %s: %w", path, ErrNoCACertificate)
	}
	return pool, nil
}

// newestModTime returns the newest modification time of the files, zero if one is
// missing.
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

// Watch loads the files again when they change, until ctx ends. A file that
// does not load leaves the certificate in use; report hears of both.
func (p *Reloader) Watch(ctx context.Context, report func(err error)) error {
	return clock.Every(ctx, reloadInterval, func() { p.reloadIfChanged(report) })
}

func (p *Reloader) reloadIfChanged(report func(err error)) {
	changed := p.newestModTime()
	if changed.IsZero() || changed.Equal(p.loadedModTime) {
		return
	}
	err := p.load()
	if err != nil {
		p.loadedModTime = changed // one report per change
	}
	report(err)
}

// ServerConfig returns the configuration of a listener. With an authority, clients
// must show a certificate that it signed.
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

// ClientConfig returns the configuration of a connection to a peer.
func (p *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    p.roots.Load(),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return p.certificate.Load(), nil
		},
	}
}
