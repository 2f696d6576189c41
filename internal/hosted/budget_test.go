package hosted_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

// heapBytes returns the bytes of the heap that are in use after a collection.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// metric returns the value of a metric of the instance, empty if it has none of the name.
func (i *testInstance) metric(name string) string {
	res, err := http.Get("http://" + i.metricsAddress + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// Guards against an instance that keeps bodies without end for many requests at once, each below the
// limit of one response.
var _ = Describe("Targets that send bodies without end to many requests", func() {
	const (
		memory   = 64 << 20 // of the instance
		targets  = 8
		requests = 60
		places   = targets * 6 // requests that the targets take at once
		// sent is below the limit of one response, a sixteenth of the memory.
		sent = 7 << 19
		// sentOfEvent is below the limit of one event.
		sentOfEvent = 15 << 16
	)
	chunk := bytes.Repeat([]byte("a"), 64<<10)

	DescribeTable("leave the instance its memory, and the other callers their responses", func(path string) {
		d := newSizedDeployment(memory, 1, hostplatform.FirstSoftware)
		in := d.instances[0]
		for n := len(d.plain); n < targets; n++ {
			d.plain = append(d.plain, d.addTarget(fmt.Sprintf("p%d", n), "desk", 6, hostplatform.FirstSoftware))
		}
		d.awaitRegistryRead()
		var reached atomic.Int64 // requests whose body was sent, or cut
		release := make(chan struct{})
		d.handlePlain(func(w http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("X-Sound") != "" {
				return false
			}
			w.Header().Set("Server-Stamp", "s")
			for written := 0; written < sent; written += len(chunk) {
				if _, err := w.Write(chunk); err != nil {
					break
				}
			}
			reached.Add(1)
			<-release
			panic(http.ErrAbortHandler)
		})
		before := heapBytes()
		var group sync.WaitGroup
		for n := range requests {
			group.Go(func() {
				defer GinkgoRecover()
				Expect(in.call(http.MethodPost, path, fmt.Sprint("r", n), key, nil).status).To(BeNumerically(">=", http.StatusBadGateway))
			})
		}
		Eventually(reached.Load, eventuallyTimeout).Should(BeNumerically(">=", places))
		Expect(heapBytes()-before).To(BeNumerically("<", memory), "bytes that are kept")
		for n := range 20 {
			req, err := http.NewRequest(http.MethodPost, "http://"+in.frontAddress+"/once/x", bytes.NewReader([]byte("b")))
			Expect(err).NotTo(HaveOccurred())
			req.Host, req.Close = host, true
			req.Header = http.Header{"Request-Id": {fmt.Sprint("sound", n)}, "Credential": {key}, "X-Sound": {"1"}}
			Expect(receive(req).status).To(Equal(http.StatusOK))
		}
		close(release)
		group.Wait()
		Eventually(func() string { return in.metric("amaranth_hosted_response_bytes") }, eventuallyTimeout).Should(Equal("0"))
	},
		Entry("on a route of requests that run once", "/once/x"),
		Entry("on a route of requests that may be repeated", "/confirm/x"),
	)

	It("leave the instance its memory if they are events of tasks", func() {
		const engines, slots = 10, 8
		d := newSizedDeployment(memory, 1, slices.Repeat([]string{hostplatform.FirstSoftware}, engines)...)
		in := d.instances[0]
		var reached atomic.Int64
		release := make(chan struct{})
		for _, e := range d.engines {
			e.SetStreamHandler(func(w http.ResponseWriter, _ *http.Request) bool {
				w.Header().Set("Server-Stamp", "s")
				w.Header().Set("Weight-Versions", "1")
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, "id: 1\ndata: ")
				for written := 0; written < sentOfEvent; written += len(chunk) {
					if _, err := w.Write(chunk); err != nil {
						break
					}
				}
				reached.Add(1)
				<-release
				panic(http.ErrAbortHandler)
			})
		}
		before := heapBytes()
		Expect(in.call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, tasks(engines*slots, 4))).status).To(Equal(http.StatusAccepted))
		Eventually(reached.Load, eventuallyTimeout).Should(BeNumerically(">=", engines*slots))
		Expect(heapBytes()-before).To(BeNumerically("<", memory), "bytes that are kept")
		close(release)
	})
})
