package hosted_test

import (
	"bytes"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A target that sends bytes without end", func() {
	It("gets its connection closed, and no part of them looks like a whole response", func() {
		const memoryShare = 512 << 20 / 8 // of the instance's memory
		d := newDeployment(1, 1)
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
		Expect(written.Load()).To(BeNumerically("<", memoryShare))
	})
})
