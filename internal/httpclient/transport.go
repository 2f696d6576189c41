// Package httpclient provides the transport of all HTTP clients of the service. net/http trusts what
// a faulty server sends more than a service may that passes responses on; a Transport returns a
// response, or the end of its body, only if the connection shows it to be the server's.
package httpclient

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Transport is an http.RoundTripper for HTTP/1. It is safe for concurrent use.
//
// It fails with ErrMalformedHead for a head that is not well formed, and with ErrUnsolicited for a
// response that had arrived before its request was sent. A body without a stated length ends with its
// connection: that end is reported only after the request has been sent, as it may be a reset before,
// and the body fails with ErrCut if it is one.
//
// One of NewIdentified sends no two requests with the same id on one connection, so that the id of a
// response tells which send it answers.
type Transport struct {
	pools      []*http.Transport
	budget     *Budget     // of the bodies that ReadBody reads; nil: none
	identities *identities // nil: requests have no ids
}

// New returns a transport with the settings of base, which it takes over.
func New(base *http.Transport) *Transport { return NewWithin(nil, base) }

// maxHeadBytes is the limit of a response's head, unless the settings have another one.
const maxHeadBytes = 1 << 20

// NewWithin is New with a budget for large heads, for the bodies that ReadBody reads and for what
// is read under a hold of OpenHold. nil: none.
func NewWithin(budget *Budget, base *http.Transport) *Transport {
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = maxHeadBytes
	}
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	config := base.TLSClientConfig
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c, budget), nil
	}
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured, err := handshake(ctx, c, config, address)
		if err != nil {
			_ = c.Close() // the handshake's error is returned
			return nil, err
		}
		return newConn(secured, budget), nil
	}
	return &Transport{pools: []*http.Transport{base}, budget: budget}
}

// NewIdentified is NewWithin for servers that repeat a request's id in their response, both in the
// header field. A request without an id gets a response without one: its caller has to check that it is
// one to the request's path.
func NewIdentified(budget *Budget, header string, base *http.Transport) *Transport {
	t := NewWithin(budget, base)
	t.pools, t.identities = pools(base), newIdentities(header)
	return t
}

// Default is a transport for calls that need no settings of their own.
var Default = New(&http.Transport{Proxy: http.ProxyFromEnvironment, IdleConnTimeout: time.Minute})

// handshake secures the connection to the server at address.
func handshake(ctx context.Context, c net.Conn, config *tls.Config, address string) (*tls.Conn, error) {
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		config = config.Clone()
		config.ServerName = host
	}
	secured := tls.Client(c, config)
	return secured, secured.HandshakeContext(ctx)
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used atomic.Pointer[conn] // by the latest attempt: net/http may repeat a request
	pool, id, key := 0, "", identity(0)
	if t.identities != nil {
		key, id = t.identities.of(req)
		pool = t.identities.reserve(key)
		defer t.identities.release(pool, key)
	}
	res, err := t.pools[pool].RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.beginRequest()
				if t.identities != nil {
					c.carry(t.identities, pool, key, id)
				}
				used.Store(c)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			// An error is known to the connection that has it, which may be an earlier one here.
			if c := used.Load(); c != nil && info.Err == nil {
				c.endRequest()
			}
		},
	})))
	c := used.Load()
	switch {
	case err != nil && c != nil && c.headError() != nil: // err says less
		return nil, c.headError()
	case err != nil || c == nil:
		return res, err
	}
	if err := c.responded(); err != nil {
		_ = c.Close() // what it brings belongs to no request
		return nil, err
	}
	if id != "" && res.Header.Get(t.identities.header) == id {
		c.identified()
	}
	if t.budget != nil && res.Body != http.NoBody && res.StatusCode != http.StatusSwitchingProtocols {
		res.Body = &budgetedBody{res.Body, t.budget}
	}
	return res, nil
}

// CloseIdleConnections closes the idle connections, as http.Client asks for.
func (t *Transport) CloseIdleConnections() {
	for _, pool := range t.pools {
		pool.CloseIdleConnections()
	}
}

// Unwrap returns the connection c of a Transport as its dial function has returned it, without TLS.
func Unwrap(c net.Conn) net.Conn {
	if own, ok := c.(*conn); ok {
		c = own.Conn
	}
	if secured, ok := c.(*tls.Conn); ok {
		c = secured.NetConn()
	}
	return c
}
