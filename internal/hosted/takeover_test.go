package hosted_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

var _ = Describe("An instance that takes over a job", func() {
	// Guards against a job that stands still for as many calls to a slow log as it has tasks with
	// stored events.
	It("does not read the stored events of each task on their own", func() {
		const total = 24
		d := newDeployment(2, 3)
		for _, e := range d.engines {
			e.SetStreamHandler(longEvents)
		}
		events := tasks(total, 100)
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		Eventually(d.storedChunks, eventuallyTimeout).Should(BeNumerically(">=", total))
		before := d.store.Reads("content")
		d.instances[0].kill()
		Eventually(d.logged, eventuallyTimeout).Should(ContainSubstring("run resumed"))
		Expect(d.store.Reads("content") - before).To(BeNumerically("<", total/2))
		d.instances[1].awaitResults("j", total)
	})
})

// Guards against results with several weight versions on a route that allows one, during an upgrade from a
// build whose runs may mix them.
var _ = Describe("A job for one weight version whose runner is of an earlier build", func() {
	It("is taken over although its runner lives", func() {
		d := newDeployment(1, 1)
		config := hostplatform.Config(d.version+3, host, []string{key})
		for _, route := range config["routes"].([]map[string]any) {
			route["single-version"] = true
		}
		d.store.Put(platform.OperatorTopic, "config", config)
		d.awaitLogged("config applied", 2)
		d.announceInstance("n8", "127.0.0.1:1", "earlier")
		const earlier = "n8/earlier"
		d.engines[0].SetStalled(true)
		events := map[string]int{"t1": 3, "t2": 4}
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		d.appendRecord(job.Record{Writer: earlier, Claimed: &job.Claimed{Job: "j", Term: 1, Runner: earlier}})
		ended := make(chan struct{})
		DeferCleanup(func() { close(ended) })
		go func() {
			defer GinkgoRecover()
			for {
				select {
				case <-ended:
					return
				case <-time.After(50 * time.Millisecond):
					d.appendRecord(job.Record{Writer: earlier, At: time.Now().UnixMilli(), Progress: &job.Progress{Job: "j", Term: 1}})
				}
			}
		}()
		d.awaitLogged("job claimed", 1)
		d.engines[0].SetStalled(false)
		checkOutputs(d.instances[0].awaitResults("j", 2), events)
	})
})

// longEvents sends events of 200 bytes, so that a stored part of eight is read on its own.
func longEvents(w http.ResponseWriter, r *http.Request) bool {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // no header: from the start
	w.Header().Set("Server-Stamp", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	for n := from + 1; n <= 100; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 200))
		if http.NewResponseController(w).Flush() != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}
