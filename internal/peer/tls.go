package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
)

// errCertificateName refuses a peer that claims another instance's id.
var errCertificateName = errors.New("peer's certificate names another instance")

type certificateNameKey struct{}

// withCertificateName notes the name in the peer's certificate, empty without TLS.
func withCertificateName(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, certificateNameKey{}, name)
}

// certificateName completes the handshake of a TLS connection and returns the
// common name of the peer's certificate. Without TLS it is empty.
func certificateName(ctx context.Context, conn net.Conn) (string, error) {
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := secure.HandshakeContext(ctx); err != nil {
		return "", fmt.Errorf("handshake with %s: %w", conn.RemoteAddr(), err)
	}
	shown := secure.ConnectionState().PeerCertificates
	if len(shown) == 0 {
		return "", nil
	}
	return shown[0].Subject.CommonName, nil
}

// checkCertificateName refuses a peer whose certificate is another instance's.
func checkCertificateName(ctx context.Context, id string) error {
	name, _ := ctx.Value(certificateNameKey{}).(string)
	if name != "" && name != id {
		return fmt.Errorf("%w: %q claims to be %q", errCertificateName, name, id)
	}
	return nil
}

// Dialer opens a connection to a peer's listener.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialPlain opens a TCP connection.
func DialPlain(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
}

// DialTLS returns a dialer that opens TLS connections. config is asked for each
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
			_ = raw.Close() // the handshake's error counts
			return nil, fmt.Errorf("handshake with %s: %w", address, err)
		}
		return conn, nil
	}
}
