// Package listener serves HTTP on one address. It limits the size of headers, the time to
// read them, the number of connections and of HTTP/2 streams, and the idle time of
// connections. Given the files of a certificate, it serves TLS and reloads them when they
// change; with a CA it requires client certificates. NetListener is for protocols other
// than HTTP.
//
// Bodies are not limited by default: handlers must read them with ReadBody.
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
	maxHeaderBytes    = 64 << 10
	maxStreams        = 256 // HTTP/2 streams per connection
	defaultMaxConns   = 16384
)

// Config holds the settings of one listener.
type Config struct {
	Address  string      // IP and port
	TLS      certs.Files // without a certificate: plain HTTP
	MaxConns int         // maximum number of open connections; zero: 16384
}

// Listener is an open listener that accepts at most Config.MaxConns connections at once.
type Listener struct {
	net.Listener
	reloader *certs.Reloader // nil: plain HTTP
}

// Open loads the certificate, if one is configured, and listens on the address.
func Open(cfg Config) (*Listener, error) {
	l := &Listener{}
	if cfg.TLS.Configured() {
		reloader, err := certs.Load(cfg.TLS)
		if err != nil {
			return nil, err
		}
		l.reloader = reloader
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

// NetListener returns the listener for a protocol other than HTTP, over TLS if it has a
// certificate.
func (l *Listener) NetListener() net.Listener {
	if l.reloader == nil {
		return l.Listener
	}
	return tls.NewListener(l.Listener, l.reloader.ServerConfig())
}

// Reloader returns the holder of the listener's certificate, nil for plain HTTP.
func (l *Listener) Reloader() *certs.Reloader { return l.reloader }

// Serve starts goroutines in g that serve requests with h until ctx ends and that reload
// the certificate when its files change. report is called with the result of each reload;
// see certs.Reloader.Watch. When ctx ends, open connections are closed.
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

// WatchCertificate starts a goroutine in g that reloads the certificate when its files
// change, until ctx ends. Users of NetListener call it; Serve calls it itself.
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
