// Package logline writes log lines without ever holding up the writer: lines wait
// in a bounded queue, and those that find it full are counted and dropped.
package logline

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	queueCapacity = 1024    // a few seconds of a busy instance
	maxWriteBytes = 4 << 10 // bytes of one write: lines that wait go out together, and a pipe takes so many at once
)

// Writer is an io.Writer of whole lines. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// New returns a writer to w.
func New(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write implements io.Writer. It never blocks and never fails.
func (l *Writer) Write(line []byte) (int, error) {
	select {
	case l.lines <- bytes.Clone(line):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits. Nothing may be written afterwards.
func (l *Writer) Close() {
	l.once.Do(func() { close(l.lines) })
	<-l.done
}

func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	for line := range l.lines {
		for {
			more, ok := l.next()
			if !ok {
				break
			}
			if len(line)+len(more) > maxWriteBytes {
				_, _ = w.Write(line) // nowhere is left to report a log that cannot be written
				line = line[:0]
			}
			line = append(line, more...)
		}
		if lost := l.dropped.Swap(0); lost > 0 {
			line = fmt.Appendf(line, "event=log.dropped lines=%d\n", lost)
		}
		_, _ = w.Write(line) // nowhere is left to report a log that cannot be written
	}
}

func (l *Writer) next() ([]byte, bool) {
	select {
	case line, ok := <-l.lines:
		return line, ok
	default:
		return nil, false
	}
}
