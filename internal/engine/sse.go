package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/amaranthfold/amaranthfold/internal/httpclient"
)

const (
	maxEventBytes    = 1 << 20 // of one server-sent event
	eventBufferBytes = 8 << 10 // longer lines are copied
)

// Errors that Next wraps.
var (
	ErrTruncated = errors.New("stream ended before its end marker")
	ErrEngine    = errors.New("engine reported a failure within the stream")
)

var (
	dataSeparator    = []byte(" ")
	dataField        = []byte("data:")
	errorEventPrefix = []byte(`{"error"`)
	doneMarker       = []byte("[DONE]")
)

// EventReader reads the data fields of server-sent events, each on one line.
type EventReader struct {
	reader *bufio.Reader
	hold   *httpclient.Hold
	held   int // bytes in hold, of the latest event
}

// NewEventReader returns a reader of the events in r. If r is the body of a response of a transport
// with a budget, events that are larger than a buffer are counted in it.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, eventBufferBytes), hold: httpclient.OpenHold(r)}
}

// Next returns the next event's payload, io.EOF after the end marker, or an
// error that wraps ErrTruncated or ErrEngine. The slice is valid until the next call.
func (s *EventReader) Next() ([]byte, error) {
	s.hold.Shrink(int64(s.held))
	s.held = 0
	for {
		line, err := s.reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			line, err = s.readLongLine(line)
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrTruncated, err) //nolint:errorlint // a wrapped io.EOF would be mistaken for the end marker
		}
		payload, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataField)
		if !ok {
			continue
		}
		payload = bytes.TrimPrefix(payload, dataSeparator)
		if bytes.Equal(payload, doneMarker) {
			return nil, io.EOF
		}
		if bytes.HasPrefix(payload, errorEventPrefix) {
			return nil, fmt.Errorf("%w: %.200s", ErrEngine, payload)
		}
		return payload, nil
	}
}

// readLongLine returns a copy of a line that does not fit into the buffer and begins
// with prefix. It fails if the line exceeds maxEventBytes.
func (s *EventReader) readLongLine(prefix []byte) ([]byte, error) {
	line := append([]byte(nil), prefix...)
	for len(line) < maxEventBytes {
		part, err := s.reader.ReadSlice('\n')
		if holdErr := s.hold.Grow(int64(len(part))); holdErr != nil {
			return nil, holdErr
		}
		s.held += len(part)
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return nil, fmt.Errorf("event exceeds %d bytes", maxEventBytes)
}

// HasBufferedEvent reports whether another complete line is buffered, which usually is
// an event, so that the caller can defer the flush of the last event.
func (s *EventReader) HasBufferedEvent() bool {
	buffered, err := s.reader.Peek(s.reader.Buffered())
	if err != nil {
		return false
	}
	return bytes.IndexByte(bytes.TrimLeft(buffered, "\r\n"), '\n') >= 0
}
