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

type certificateNameKey struct{}

// withCertificateName returns a context with the name in the peer's certificate, empty
// without TLS.
func withCertificateName(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, certificateNameKey{}, name)
}

// certificateName completes the handshake of a TLS connection and returns the
// common name of the peer's certificate. Without TLS or a certificate it is empty.
func certificateName(ctx context.Context, conn net.Conn) (string, error) {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return "", fmt.Errorf("handshake with %s: %w", conn.RemoteAddr(), err)
	}
	certificates := tlsConn.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return "", nil
	}
	return certificates[0].Subject.CommonName, nil
}

// checkCertificateName returns an error if ctx has a certificate name other than id. It
// returns nil if the name is empty.
func checkCertificateName(ctx context.Context, id string) error {
	name, _ := ctx.Value(certificateNameKey{}).(string)
	if name != "" && name != id {
		return fmt.Errorf("%w: certificate name %q, hello id %q", errCertificateName, name, id)
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
