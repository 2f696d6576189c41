package logline_test

import (
	"bytes"
	"io"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/logline"
)

// blockingWriter blocks its first write until unblock is closed. It closes started when
// that write starts.
type blockingWriter struct {
	unblock chan struct{}
	started chan struct{}
	bytes.Buffer
	blocked bool
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	if !b.blocked {
		b.blocked = true
		close(b.started)
		<-b.unblock
	}
	return b.Buffer.Write(p)
}

var _ = Describe("Writer", func() {
	It("keeps the order of lines", func() {
		var out bytes.Buffer
		w := logline.New(&out)
		_, _ = io.WriteString(w, "a\n")
		_, _ = io.WriteString(w, "b\n")
		w.Close()
		Expect(out.String()).To(Equal("a\nb\n"))
	})
	It("does not block while the output is blocked, and reports dropped lines", func() {
		b := &blockingWriter{unblock: make(chan struct{}), started: make(chan struct{})}
		w := logline.New(b)
		_, _ = io.WriteString(w, "first\n")
		<-b.started
		for range 3000 {
			_, _ = io.WriteString(w, "line\n")
		}
		close(b.unblock)
		w.Close()
		Expect(strings.Count(b.String(), "line\n")).To(BeNumerically("<", 3000))
		Expect(b.String()).To(ContainSubstring("event=log.dropped lines="))
	})
})
