// Package logline writes log lines without blocking the code that logs. Lines are put into
// a bounded queue, and a goroutine writes them to an io.Writer, several lines in one write.
// Lines that are logged while the queue is full are dropped; their number is written as a
// line of its own. The lines that are written keep their order.
//
// Each line that the caller passes must be complete and end with a newline. Close writes
// the lines that are still queued. Errors of the underlying writer are ignored.
package logline

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	queueCapacity = 1024 // lines; those of a few seconds of a busy instance
	// maxWriteBytes limits how many queued lines are combined into one write. It is
	// PIPE_BUF on Linux: a write of at most that many bytes to a pipe is atomic.
	maxWriteBytes = 4 << 10
)

// Writer is an io.Writer of complete lines, one per Write. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// New returns a Writer to w and starts its goroutine.
func New(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write implements io.Writer. It never blocks or fails; if the queue is full, the line is
// dropped.
func (l *Writer) Write(line []byte) (int, error) {
	select {
	case l.lines <- bytes.Clone(line):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and ends the goroutine. Write must not be called
// afterwards.
func (l *Writer) Close() {
	l.once.Do(func() { close(l.lines) })
	<-l.done
}

// run writes queued lines to w until the queue is closed and empty.
func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	for line := range l.lines {
		for {
			next, ok := l.tryReceive()
			if !ok {
				break
			}
			if len(line)+len(next) > maxWriteBytes {
				_, _ = w.Write(line) // the error of a failed log write cannot be logged
				line = line[:0]
			}
			line = append(line, next...)
		}
		if dropped := l.dropped.Swap(0); dropped > 0 {
			line = fmt.Appendf(line, "event=log.dropped lines=%d\n", dropped)
		}
		_, _ = w.Write(line) // the error of a failed log write cannot be logged
	}
}

// tryReceive returns the next queued line, or false if there is none.
func (l *Writer) tryReceive() ([]byte, bool) {
	select {
	case line, ok := <-l.lines:
		return line, ok
	default:
		return nil, false
	}
}
