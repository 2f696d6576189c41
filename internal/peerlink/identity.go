// Package peerlink opens and accepts the connections between instances. Both sides prove the
// possession of a key by mutual TLS 1.3, and each accepts exactly the keys that core/peering
// returns for the announcements in the log. Connections without TLS are made to and accepted
// from instances whose build has no key only.
//
// The caller publishes the fingerprint of the Identity in the log, passes the announced
// instances to Peers.Update, uses Peers.Dial or Peers.DialWithin for HTTP transports and serves
// on the listener that Peers.Listen returns.
package peerlink

import (
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"io"
	"math/big"
	"time"
)

// Identity is the key pair of this process. It exists in memory only.
type Identity struct {
	certificate tls.Certificate
	fingerprint string
}

// NewIdentity generates a key pair from random, for which crypto/rand.Reader is meant.
func NewIdentity(random io.Reader) (*Identity, error) {
	public, private, err := ed25519.GenerateKey(random)
	if err != nil {
		return nil, fmt.Errorf("key between instances: %w", err)
	}
	// Names and times are not checked, only the key: the certificate ends with the process.
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Unix(0, 0), NotAfter: time.Date(9999, 12, 31, 23, 59, 59, 0, time.UTC)}
	der, err := x509.CreateCertificate(random, template, template, public, private)
	if err != nil {
		return nil, fmt.Errorf("certificate between instances: %w", err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("certificate between instances: %w", err)
	}
	return &Identity{
		certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private, Leaf: leaf},
		fingerprint: fingerprintOf(leaf),
	}, nil
}

// Fingerprint returns the fingerprint of the public key.
func (i *Identity) Fingerprint() string { return i.fingerprint }

// fingerprintOf returns the SHA-256 of the certificate's public key in hexadecimal digits.
func fingerprintOf(c *x509.Certificate) string {
	sum := sha256.Sum256(c.RawSubjectPublicKeyInfo)
	return hex.EncodeToString(sum[:])
}
