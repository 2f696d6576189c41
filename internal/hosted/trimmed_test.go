package hosted_test

import (
	"fmt"
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
	})
	submit := func(in *testInstance) {
		Expect(in.call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		Eventually(func() bool { _, known := late.results("j", 0); _, both := other.results("j", 0); return known && both }, eventuallyTimeout).Should(BeTrue())
	}
	// skip lets the log remove what the late instance has not read, and the other one has.
	skip := func(results int) {
		Eventually(func() int { page, _ := other.results("j", 0); return len(page.Results) }, eventuallyTimeout).Should(BeNumerically(">=", results))
		end := int64(len(d.store.Records("control", 0)))
		time.Sleep(300 * time.Millisecond) // the other one has read on
		d.store.TrimBefore("control", 0, end)
	}

	DescribeTable("has the results of a job at their positions", func(runner func() *testInstance) {
		submit(runner())
		late.logProxy.SetTopicFault("control", hostplatform.Unresponsive)
		skip(2)
		late.logProxy.SetFault(hostplatform.Healthy)
		all := other.awaitResults("j", len(events))
		Expect(late.awaitResults("j", len(events))).To(Equal(all))
		checkOutputs(all, events)
	},
		Entry("which another one runs", func() *testInstance { return other }),
		Entry("which it has run", func() *testInstance { return late }),
	)

	It("has a job that was submitted in them, and takes it for the same when it is submitted again", func() {
		submit(other)
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
		submit(other)
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

// Guards against a window that is reported again with other counts.
var _ = Describe("A lease holder that has skipped records of the log", func() {
	It("reports no window that may have been sealed in them", func() {
		d := newDeployment(1, 1)
		for i := range 30 {
			Expect(d.instances[0].call(http.MethodPost, "/confirm/x", fmt.Sprint(i), key, nil).status).To(Equal(http.StatusOK))
			time.Sleep(50 * time.Millisecond)
		}
		Eventually(func() int64 { return d.cloud.RequestCounts()["acme"] }, eventuallyTimeout).Should(Equal(int64(30)))
		d.instances[0].kill()
		for _, topic := range []string{"control", "usage"} {
			d.store.TrimTopic(topic)
		}
		before := countLines(d.logged(), "usage reported")
		d.start(1)
		Eventually(func() int { return countLines(d.logged(), "usage reported") }, eventuallyTimeout).Should(BeNumerically(">", before+2))
		Expect(d.cloud.RequestCounts()["acme"]).To(Equal(int64(30)))
	})
})
