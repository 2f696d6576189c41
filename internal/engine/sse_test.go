package engine_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/amaranthfold/amaranthfold/internal/engine"
)

// readAll returns the payloads of the stream and the error that ended it.
func readAll(r io.Reader) ([]string, error) {
	reader := engine.NewEventReader(r)
	var out []string
	for {
		payload, err := reader.Next()
		if err != nil {
			return out, err
		}
		out = append(out, string(payload))
	}
}

func TestEventReader(t *testing.T) {
	long := strings.Repeat("x", 40<<10)
	for _, c := range []struct {
		name, stream string
		want         []string
		end          error
	}{
		{"whole", "data: a\n\ndata: b\n\ndata: [DONE]\n\n", []string{"a", "b"}, io.EOF},
		{"no space after the colon", "data:a\n\ndata:[DONE]\n\n", []string{"a"}, io.EOF},
		{"carriage returns", "data: a\r\n\r\ndata: [DONE]\r\n\r\n", []string{"a"}, io.EOF},
		{"comments and other fields", ": ping\n\nevent: x\nid: 1\ndata: a\n\ndata: [DONE]\n\n", []string{"a"}, io.EOF},
		{"longer than the buffer", "data: " + long + "\n\ndata: [DONE]\n\n", []string{long}, io.EOF},
		{"empty", "", nil, engine.ErrTruncated},
		{"no end marker", "data: a\n\n", []string{"a"}, engine.ErrTruncated},
		{"truncated within an event", "data: a\n\ndata: b", []string{"a"}, engine.ErrTruncated},
		{"truncated within the end marker", "data: a\n\ndata: [DO", []string{"a"}, engine.ErrTruncated},
		{"failure within the stream", "data: a\n\ndata: {\"error\":{}}\n\ndata: [DONE]\n\n", []string{"a"}, engine.ErrEngine},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := readAll(strings.NewReader(c.stream))
			if !slices.Equal(got, c.want) || !errors.Is(err, c.end) {
				t.Errorf("got %d events, %v; want %d, %v", len(got), err, len(c.want), c.end)
			}
		})
	}
}

func TestHasBufferedEvent(t *testing.T) {
	reader := engine.NewEventReader(strings.NewReader("data: a\n\ndata: b\n\ndata: c"))
	for i, want := range []bool{true, false} {
		if _, err := reader.Next(); err != nil {
			t.Fatal(err)
		}
		if got := reader.HasBufferedEvent(); got != want {
			t.Errorf("after event %d: HasBufferedEvent is %t, want %t", i, got, want)
		}
	}
}

// FuzzReader checks that a stream without its end marker never returns io.EOF, that each
// payload occurs in the stream, and that the events do not depend on how the bytes are
// split into reads.
func FuzzReader(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: [DONE]"))
	f.Add([]byte("data:a\r\n\r\n: ping\n\ndata: {\"error\":1}\n\n"))
	f.Add([]byte(fmt.Sprintf("data: %s\n\n", strings.Repeat("y", 20<<10))))
	f.Fuzz(func(t *testing.T, stream []byte) {
		atOnce, err := readAll(bytes.NewReader(stream))
		if errors.Is(err, io.EOF) && !bytes.Contains(stream, []byte("[DONE]\n")) && !bytes.Contains(stream, []byte("[DONE]\r")) {
			t.Fatalf("stream %q has no end marker, but returned io.EOF", stream)
		}
		for _, payload := range atOnce {
			if !bytes.Contains(stream, []byte(payload)) || strings.Contains(payload, "\n") {
				t.Fatalf("payload %q does not occur in the stream", payload)
			}
		}
		byteByByte, byteByByteErr := readAll(iotest.OneByteReader(bytes.NewReader(stream)))
		if !slices.Equal(atOnce, byteByByte) || (err == io.EOF) != (byteByByteErr == io.EOF) { //nolint:errorlint // io.EOF is returned unwrapped
			t.Fatalf("byte by byte: %q, %v; at once: %q, %v", byteByByte, byteByByteErr, atOnce, err)
		}
	})
}
