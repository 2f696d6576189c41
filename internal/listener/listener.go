// Package listener serves HTTP with limits on headers, connections, streams and
// idle time, and with TLS from files.
package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/amaranthfold/amaranthfold/internal/certs"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10 // bytes
	maxStreams        = 256      // HTTP/2 streams per connection
	defaultMaxConns   = 16384
)

// Config describes one listener.
type Config struct {
	Address  string // IP and port
	TLS      certs.Files
	MaxConns int // zero: 16384
}

// Listener is an open listener.
type Listener struct {
	net.Listener
	reloader *certs.Reloader // nil: plain HTTP
}

// Open listens and loads the certificate.
func Open(cfg Config) (*Listener, error) {
	l := &Listener{}
	if cfg.TLS.Configured() {
		pair, err := certs.Load(cfg.TLS)
		if err != nil {
			return nil, err
		}
		l.reloader = pair
	}
	raw, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", cfg.Address, err)
	}
	limit := cfg.MaxConns
	if limit == 0 {
		limit = defaultMaxConns
	}
	l.Listener = netutil.LimitListener(raw, limit)
	return l, nil
}

// URL returns the listener's base URL.
func (l *Listener) URL() string {
	scheme := "http"
	if l.reloader != nil {
		scheme = "https"
	}
	return scheme + "://" + l.Addr().String()
}

// NetListener returns the listener for another protocol than HTTP, over TLS if it has a
// certificate.
func (l *Listener) NetListener() net.Listener {
	if l.reloader == nil {
		return l.Listener
	}
	return tls.NewListener(l.Listener, l.reloader.ServerConfig())
}

// Reloader returns the listener's certificate, or nil.
func (l *Listener) Reloader() *certs.Reloader { return l.reloader }

// Serve answers with h until ctx ends, and follows the certificate's files.
// report hears of certificates loaded again.
func (l *Listener) Serve(ctx context.Context, g *errgroup.Group, h http.Handler, report func(error)) {
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
	g.Go(func() error { return l.serve(srv) })
	g.Go(func() error {
		<-ctx.Done()
		return srv.Close()
	})
	l.WatchCertificate(ctx, g, report)
}

// WatchCertificate follows the certificate's files until ctx ends; Serve does so itself.
func (l *Listener) WatchCertificate(ctx context.Context, g *errgroup.Group, report func(error)) {
	if l.reloader != nil {
		g.Go(func() error { return l.reloader.Watch(ctx, report) })
	}
}

func (l *Listener) serve(srv *http.Server) error {
	var err error
	if l.reloader == nil {
		err = srv.Serve(l.Listener)
	} else {
		srv.TLSConfig = l.reloader.ServerConfig()
		err = srv.ServeTLS(l.Listener, "", "")
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", l.Addr(), err)
}
