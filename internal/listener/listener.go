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
	maxHeader         = 64 << 10 // bytes
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
	pair *certs.Pair // nil: plain HTTP
}

// Open listens and loads the certificate.
func Open(cfg Config) (*Listener, error) {
	l := &Listener{}
	if cfg.TLS.Set() {
		pair, err := certs.Load(cfg.TLS)
		if err != nil {
			return nil, err
		}
		l.pair = pair
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
	if l.pair != nil {
		scheme = "https"
	}
	return scheme + "://" + l.Addr().String()
}

// Raw returns the listener for another protocol than HTTP, over TLS if it has a
// certificate.
func (l *Listener) Raw() net.Listener {
	if l.pair == nil {
		return l.Listener
	}
	return tls.NewListener(l.Listener, l.pair.Server())
}

// Pair returns the listener's certificate, or nil.
func (l *Listener) Pair() *certs.Pair { return l.pair }

// Serve answers with h until ctx ends, and follows the certificate's files.
// report hears of certificates loaded again.
func (l *Listener) Serve(ctx context.Context, g *errgroup.Group, h http.Handler, report func(error)) {
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
	g.Go(func() error { return l.serve(srv) })
	g.Go(func() error {
		<-ctx.Done()
		return srv.Close()
	})
	l.Watch(ctx, g, report)
}

// Watch follows the certificate's files until ctx ends; Serve does so itself.
func (l *Listener) Watch(ctx context.Context, g *errgroup.Group, report func(error)) {
	if l.pair != nil {
		g.Go(func() error { return l.pair.Watch(ctx, report) })
	}
}

func (l *Listener) serve(srv *http.Server) error {
	var err error
	if l.pair == nil {
		err = srv.Serve(l.Listener)
	} else {
		srv.TLSConfig = l.pair.Server()
		err = srv.ServeTLS(l.Listener, "", "")
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", l.Addr(), err)
}
