package hosted_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

const streamEvents = 30 // of the streams that are taken up

// begin begins a stream at an engine through an instance. The stream breaks after four events, and
// its version is recorded.
func (d *deployment) begin(in *testInstance, id string) {
	GinkgoHelper()
	for _, e := range d.engines {
		e.AbortAfterEvents(4)
	}
	before := d.streamRecords()
	Eventually(func() int { _, events, _ := in.talk(id, streamEvents, "", 0); return len(events) }, eventuallyTimeout).Should(Equal(4))
	Eventually(d.streamRecords, eventuallyTimeout).Should(Equal(before + 1))
	for _, e := range d.engines {
		e.AbortAfterEvents(0)
	}
}

// expectNotRun checks that no engine has run the request.
func (d *deployment) expectNotRun(id string) {
	GinkgoHelper()
	for _, e := range d.engines {
		for _, r := range e.Runs() {
			Expect(r.ID).NotTo(Equal(id), "a run at %s", e.ID)
		}
	}
}

var _ = Describe("A stream that is taken up at an instance that is out of step", func() {
	It("does not go on at a target that has started again while what its earlier start sent still arrives", func() {
		d := newDeployment(2, 1)
		engine, late := d.engines[0], d.instances[0]
		engine.SetBeforeReport(func(w http.ResponseWriter) { w.Header().Set("Connection", "close") })
		d.begin(d.instances[1], "first")
		sendRest := make(chan struct{})
		deliver := func() {}
		deliverAWhile := func() {
			for range 50 {
				deliver()
				time.Sleep(2 * time.Millisecond)
			}
		}
		engine.SetStreamHandler(func(w http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("Request-Id") != "task" {
				deliverAWhile()
				return false
			}
			w.Header().Set("Server-Stamp", "s")
			w.Header().Set("Weight-Versions", "1")
			for n := range 2000 {
				if n == 20 {
					<-sendRest
				}
				fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
				_ = http.NewResponseController(w).Flush() // the instance may have left
			}
			<-r.Context().Done()
			return true
		})
		Expect(late.call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, map[string]int{"task": 4000})).status).To(Equal(http.StatusAccepted))
		Eventually(d.storedChunks, eventuallyTimeout).Should(BeNumerically(">", 0), "the start of the engine is known")

		deliver = late.links.delay()
		close(sendRest)
		d.restartUnnoticed(0, newSoftware)
		engine.SetBeforeReport(func(w http.ResponseWriter) {
			w.Header().Set("Connection", "close")
			deliverAWhile()
		})
		status, events, _ := late.talk("again", streamEvents, "first", 4)
		Expect(events).To(BeEmpty(), "events of another version")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		d.expectNotRun("again")
	})
})
