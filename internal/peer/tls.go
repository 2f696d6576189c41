package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
)

// errCertificateName is returned for a peer whose certificate has another name than the
// instance id in its Hello.
var errCertificateName = errors.New("peer's certificate belongs to another instance")

// certificate is the certificate that a peer has presented.
type certificate struct {
	presented bool // false: the connection has no TLS, or the peer no certificate
	name      string
}

type certificateKey struct{}

func withCertificate(ctx context.Context, c certificate) context.Context {
	return context.WithValue(ctx, certificateKey{}, c)
}

// peerCertificate completes the handshake of a TLS connection and returns the certificate
// that the peer has presented.
func peerCertificate(ctx context.Context, conn net.Conn) (certificate, error) {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return certificate{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return certificate{}, fmt.Errorf("handshake with %s: %w", conn.RemoteAddr(), err)
	}
	certificates := tlsConn.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return certificate{}, nil
	}
	return certificate{presented: true, name: certificates[0].Subject.CommonName}, nil
}

// checkCertificate returns an error if the peer has presented a certificate that is not for
// id, also if it has no name.
func checkCertificate(ctx context.Context, id string) error {
	c, _ := ctx.Value(certificateKey{}).(certificate)
	if c.presented && c.name != id {
		return fmt.Errorf("%w: certificate name %q, hello id %q", errCertificateName, c.name, id)
	}
	return nil
}

// Dialer opens a connection to a peer's listener.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialPlain opens a TCP connection.
func DialPlain(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
}

// DialTLS returns a dialer that opens TLS connections. It calls config for each
// connection, so that a renewed certificate is used.
func DialTLS(config func() *tls.Config) Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, fmt.Errorf("peer address %q: %w", address, err)
		}
		raw, err := DialPlain(ctx, address)
		if err != nil {
			return nil, err
		}
		cfg := config()
		cfg.ServerName = host
		conn := tls.Client(raw, cfg)
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close() // the handshake's error is returned
			return nil, fmt.Errorf("handshake with %s: %w", address, err)
		}
		return conn, nil
	}
}
