package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	maxEvent    = 1 << 20 // bytes of one server-sent event
	eventBuffer = 8 << 10 // bytes; longer events are copied
)

// Errors that Next wraps.
var (
	ErrTruncated = errors.New("stream ended before its end marker")
	ErrEngine    = errors.New("engine reported a failure within the stream")
)

var (
	space      = []byte(" ")
	dataField  = []byte("data:")
	errorEvent = []byte(`{"error"`)
	doneMarker = []byte("[DONE]")
)

// Reader reads server-sent events.
type Reader struct {
	reader *bufio.Reader
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{reader: bufio.NewReaderSize(r, eventBuffer)}
}

// Next returns the next event's payload, io.EOF after the end marker, or an
// error that wraps ErrTruncated or ErrEngine. The slice is valid until the next call.
func (s *Reader) Next() ([]byte, error) {
	for {
		line, err := s.reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			line, err = s.longLine(line)
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrTruncated, err) //nolint:errorlint // io.EOF inside must not look like the end marker
		}
		payload, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataField)
		if !ok {
			continue
		}
		payload = bytes.TrimPrefix(payload, space)
		if bytes.Equal(payload, doneMarker) {
			return nil, io.EOF
		}
		if bytes.HasPrefix(payload, errorEvent) {
			return nil, fmt.Errorf("%w: %.200s", ErrEngine, payload)
		}
		return payload, nil
	}
}

func (s *Reader) longLine(start []byte) ([]byte, error) {
	line := append([]byte(nil), start...)
	for len(line) < maxEvent {
		part, err := s.reader.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return nil, fmt.Errorf("event exceeds %d bytes", maxEvent)
}

// Pending reports whether the next event has already arrived, so that writing
// the last one out can wait for it.
func (s *Reader) Pending() bool {
	buffered, err := s.reader.Peek(s.reader.Buffered())
	if err != nil {
		return false
	}
	return bytes.IndexByte(bytes.TrimLeft(buffered, "\r\n"), '\n') >= 0
}
