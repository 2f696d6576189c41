package hosted_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

// Guards against other results at a position of a job, and results that do not come again: the log has
// removed records before an instance has read them.
var _ = Describe("An instance that has skipped records of the log", func() {
	events := map[string]int{"a": 20, "b": 40, "c": 60, "d": 80, "e": 160, "f": 240}
	var d *deployment
	var late, other *testInstance
	BeforeEach(func() {
		d = newDeployment(2, 2)
		late, other = d.instances[0], d.instances[1]
		for _, e := range d.engines {
			e.SetEventInterval(10 * time.Millisecond)
		}
		Expect(other.call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
	})
	// skip lets the log remove what the late instance has not read, and the other one has.
	skip := func(results int) {
		Eventually(func() int { page, _ := other.results("j", 0); return len(page.Results) }, eventuallyTimeout).Should(BeNumerically(">=", results))
		end := int64(len(d.store.Records("control", 0)))
		time.Sleep(300 * time.Millisecond) // the other one has read on
		d.store.TrimBefore("control", 0, end)
	}

	It("has the results of a job at their positions", func() {
		late.logProxy.SetTopicFault("control", hostplatform.Unresponsive)
		skip(2)
		late.logProxy.SetFault(hostplatform.Healthy)
		all := other.awaitResults("j", len(events))
		Expect(late.awaitResults("j", len(events))).To(Equal(all))
		checkOutputs(all, events)
	})

	It("has a job that was submitted in them, and takes it for the same when it is submitted again", func() {
		skip(2)
		started := d.start(2)
		Eventually(started.isReady, eventuallyTimeout).Should(BeTrue())
		Eventually(func() int {
			return started.call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status
		}, eventuallyTimeout).Should(Equal(http.StatusAccepted))
		all := other.awaitResults("j", len(events))
		Expect(started.awaitResults("j", len(events))).To(Equal(all))
	})

	It("goes on with a job of which no instance has read all records", func() {
		late.logProxy.SetTopicFault("control", hostplatform.Unresponsive)
		other.logProxy.SetTopicFault("control", hostplatform.Unresponsive)
		time.Sleep(2 * time.Second) // no read is in progress
		d.store.PutBytes("control", "another writer", []byte("none of them has read this"))
		d.store.TrimBefore("control", 0, int64(len(d.store.Records("control", 0))))
		late.logProxy.SetFault(hostplatform.Healthy)
		other.logProxy.SetFault(hostplatform.Healthy)
		all := other.awaitResults("j", len(events))
		Expect(late.awaitResults("j", len(events))).To(Equal(all))
		checkOutputs(all, events)
	})
})
