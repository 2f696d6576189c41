package hosted_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

var _ = Describe("A target that sends bytes without end", func() {
	It("gets its connection closed, and no part of them looks like a whole response", func() {
		const (
			memory = 64 << 20 // of the instance, so that the limit of a response is soon reached
			// maxWritten is what the sockets of both sides hold and a sixteenth of the memory.
			maxWritten = 16 << 20
		)
		d := newSizedDeployment(memory, 1, hostplatform.FirstSoftware)
		var written atomic.Int64
		d.handlePlain(func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Server-Stamp", "s")
			chunk := bytes.Repeat([]byte("a"), 64<<10)
			for {
				n, err := w.Write(chunk)
				written.Add(int64(n))
				if err != nil {
					panic(http.ErrAbortHandler)
				}
			}
		})
		res := d.instances[0].call(http.MethodPost, "/once/x", "r", key, []byte("body"))
		Expect(res.status).To(Equal(http.StatusBadGateway))
		Expect(written.Load()).To(BeNumerically("<", maxWritten))
	})
})

var _ = Describe("A caller whose body never ends", func() {
	It("is told that the request has not run, and its connection ends", func() {
		d := newDeployment(1, 1)
		for _, path := range []string{"/once/x", "/train/j"} {
			connection, err := net.Dial("tcp", d.instances[0].frontAddress)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(connection.Close)
			fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: r\r\nCredential: %s\r\nDeadline-Ms: 300\r\nContent-Length: 100000\r\n\r\n", path, host, key)
			go func() {
				for err := error(nil); err == nil; _, err = connection.Write([]byte("a")) {
					time.Sleep(20 * time.Millisecond)
				}
			}()
			responses := bufio.NewReader(connection)
			res, err := http.ReadResponse(responses, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.StatusCode).To(Equal(http.StatusRequestTimeout))
			Expect(res.Close).To(BeTrue())
			Eventually(func() error { _, err := connection.Write([]byte("a")); return err }, eventuallyTimeout).Should(HaveOccurred())
		}
		for _, e := range append(d.plain, d.engines...) {
			Expect(e.Runs()).To(BeEmpty())
		}
	})
})
