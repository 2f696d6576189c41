package logline_test

import (
	"bytes"
	"io"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/logline"
)

// blockingWriter blocks its first write until open is closed. It closes entered when that
// write starts.
type blockingWriter struct {
	open    chan struct{}
	entered chan struct{}
	bytes.Buffer
	blocked bool
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	if !b.blocked {
		b.blocked = true
		close(b.entered)
		<-b.open
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
		b := &blockingWriter{open: make(chan struct{}), entered: make(chan struct{})}
		w := logline.New(b)
		_, _ = io.WriteString(w, "first\n")
		<-b.entered
		for range 3000 {
			_, _ = io.WriteString(w, "line\n")
		}
		close(b.open)
		w.Close()
		Expect(strings.Count(b.String(), "line\n")).To(BeNumerically("<", 3000))
		Expect(b.String()).To(ContainSubstring("event=log.dropped lines="))
	})
})
