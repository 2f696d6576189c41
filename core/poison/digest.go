// Package poison decides which requests crash the targets that run them. Such a request comes
// again under other request ids, at any instance, so it is known by its content.
//
// The package has no clock, no goroutines and no I/O. The caller reports, in the order of the
// log, which requests a target was running when it crashed and which of them were served
// since, and asks before it sends a request.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies a request by its content. It is the same for every repeat, whatever its
// request id, connection and instance.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestOf returns the digest of a request. target is the path with the query, as the caller
// sent it. It is cryptographic, as a caller must not be able to forge another one's digest.
func DigestOf(account, method, host, target string, body []byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(account), []byte(method), []byte(host), []byte(target), body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// Target is one start of a target.
type Target struct {
	ID        string
	StartedAt int64 // Unix milliseconds; zero: unknown
}
