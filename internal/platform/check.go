package platform

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// ErrHeldBack tells that a check failed on the open connection; nothing was sent.
var ErrHeldBack = errors.New("call held back")

// Check decides at the last moment whether a call may leave.
type Check func() error

// checkedBody runs the check when the transport reads the body. The transport
// reads it once a connection is open, and it flushes headers only together with
// the body, so a failed check leaves the wire untouched.
type checkedBody struct {
	io.Reader
	check Check
	ran   bool
}

func checked(data []byte, check Check) io.Reader {
	if check == nil {
		return bytes.NewReader(data)
	}
	// Without GetBody the transport cannot send the call a second time by itself.
	return &checkedBody{Reader: bytes.NewReader(data), check: check}
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	if !b.ran {
		b.ran = true
		if err := b.check(); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrHeldBack, err)
		}
	}
	return b.Reader.Read(p)
}
