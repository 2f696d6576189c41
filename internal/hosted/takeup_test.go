package hosted_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

const streamEvents = 30 // of the streams that are taken up

// begin begins a stream through an instance at the target e, whose entry, as that instance has
// read it, states the software version. The stream breaks after four events. begin returns its id.
func begin(d *deployment, in *testInstance, e *hostplatform.Engine, software string) (id string) {
	GinkgoHelper()
	for _, other := range append(d.engines, d.plain...) {
		other.AbortAfterEvents(4)
		defer other.AbortAfterEvents(0)
	}
	Eventually(func() bool {
		id = fmt.Sprintf("first-%d", len(d.logged()))
		_, events, _ := in.talk(id, streamEvents, "", 0)
		Expect(events).To(HaveLen(4))
		return strings.Contains(d.logged(), fmt.Sprintf("instance=%q request=%q route=\"talk\" target=%q software=%q", in.name, id, e.ID, software))
	}, eventuallyTimeout).Should(BeTrue())
	return id
}

// recorded reports whether the log has the software version of the stream.
func (d *deployment) recorded(id string) bool {
	return slices.ContainsFunc(d.store.Records("control", 0), func(data []byte) bool {
		r, err := job.Decode(data)
		return err == nil && r.StreamStarted != nil && r.StreamStarted.Request == id
	})
}

// expectRefused checks that the instance refuses to take the stream up, and that no engine has run
// the request.
func (d *deployment) expectRefused(in *testInstance, stream string) {
	GinkgoHelper()
	status, events, _ := in.talk("again-"+stream, streamEvents, stream, 4)
	Expect(events).To(BeEmpty(), "events of another version")
	Expect(status).To(Equal(http.StatusServiceUnavailable))
	for _, e := range append(d.engines, d.plain...) {
		for _, r := range e.Runs() {
			Expect(r.ID).NotTo(Equal("again-"+stream), "a run at %s", e.ID)
		}
	}
}

// expectNoOther checks that the instance takes the stream up at a target with the version, or
// refuses to.
func (d *deployment) expectNoOther(in *testInstance, stream, software string) {
	GinkgoHelper()
	_, events, _ := in.talk("later-"+stream, streamEvents, stream, 0)
	Expect(hostplatform.IsOutputOfOne([]string{software}, events)).To(BeTrue())
}

// expectTakenUp checks that the instance takes the stream up at a target with the version when it
// has read what it missed.
func (d *deployment) expectTakenUp(in *testInstance, stream, software string) {
	GinkgoHelper()
	Eventually(func() bool {
		d.expectNoOther(in, stream, software)
		_, _, complete := in.talk("whole-"+stream, streamEvents, stream, 0)
		return complete
	}, eventuallyTimeout).Should(BeTrue())
}

var _ = Describe("A stream that is taken up at an instance that is out of step", func() {
	It("does not go on at a target that has started again while what its earlier start sent still arrives", func() {
		d := newDeployment(2, 1)
		engine, late := d.engines[0], d.instances[0]
		engine.SetBeforeReport(func(w http.ResponseWriter) { w.Header().Set("Connection", "close") })
		first := begin(d, d.instances[1], engine, oldSoftware)
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
		d.expectRefused(late, first)
	})

	Describe("as it misses", func() {
		var d *deployment
		var late, other *testInstance
		BeforeEach(func() {
			d = newDeployment(2, 1)
			late, other = d.instances[0], d.instances[1]
		})

		restart := func() { // under its id, with another version
			d.engines[0].Restart()
			d.engines[0].SetSoftware(newSoftware)
		}

		It("the registry goes on at no target that its old view has with another version", func() {
			before := begin(d, other, d.engines[0], oldSoftware)
			late.logProxy.SetTopicFault(platform.RegistryTopic, hostplatform.Unresponsive)
			restart()
			after := begin(d, other, d.engines[0], newSoftware)
			d.addNewTarget("e1", newSoftware)
			d.expectRefused(late, before)
			d.expectRefused(late, after)
			late.logProxy.SetFault(hostplatform.Healthy)
			d.expectTakenUp(late, after, newSoftware)
		})

		DescribeTable("the log goes on at no other version", func(lose func(p *hostplatform.FaultProxy) (restore func())) {
			restore := lose(late.logProxy)
			restart()
			stream := begin(d, other, d.engines[0], newSoftware)
			Eventually(d.recorded, eventuallyTimeout).WithArguments(stream).Should(BeTrue())
			d.expectNoOther(late, stream, newSoftware)
			restore()
			d.expectTakenUp(late, stream, newSoftware)
		},
			Entry("calls hang", func(p *hostplatform.FaultProxy) func() {
				p.SetTopicFault("control", hostplatform.Unresponsive)
				return func() { p.SetFault(hostplatform.Healthy) }
			}),
			Entry("calls are refused", func(p *hostplatform.FaultProxy) func() {
				p.SetTopicFault("control", hostplatform.Unavailable)
				return func() { p.SetFault(hostplatform.Healthy) }
			}),
			Entry("responses arrive late", (*hostplatform.FaultProxy).HoldResponses),
		)

		It("a record that is not yet appended goes on at no other version", func() {
			other.logProxy.SetTopicFault("control", hostplatform.Unresponsive)
			stream := begin(d, other, d.engines[0], oldSoftware)
			restart()
			d.expectNoOther(late, stream, oldSoftware)
			other.logProxy.SetFault(hostplatform.Healthy)
			Eventually(d.recorded, eventuallyTimeout).WithArguments(stream).Should(BeTrue())
			d.expectRefused(late, stream)
		})

		It("records that are trimmed is refused", func() {
			stream := begin(d, other, d.engines[0], oldSoftware)
			Eventually(d.recorded, eventuallyTimeout).WithArguments(stream).Should(BeTrue())
			d.store.TrimTopic("control")
			started := d.start(2)
			Eventually(started.isReady, eventuallyTimeout).Should(BeTrue())
			d.expectRefused(started, stream)
		})

		It("the registry goes on at no target without reports that its old view has with another version", func() {
			d.configureStreams("service", "desk")
			restore := d.remove("p1")
			before := begin(d, other, d.plain[0], oldSoftware)
			Eventually(d.recorded, eventuallyTimeout).WithArguments(before).Should(BeTrue())
			late.logProxy.SetTopicFault(platform.RegistryTopic, hostplatform.Unresponsive)
			d.plain[0].Restart()
			d.plain[0].SetSoftware(newSoftware)
			begin(d, other, d.plain[0], newSoftware) // its entry has been read
			d.expectNoOther(late, before, oldSoftware)

			unsure := begin(d, late, d.plain[0], oldSoftware) // by the old view
			restore()
			begin(d, other, d.plain[1], oldSoftware)
			d.expectNoOther(other, unsure, newSoftware)
			late.logProxy.SetFault(hostplatform.Healthy)
			d.expectTakenUp(late, begin(d, other, d.plain[0], newSoftware), newSoftware)
		})

		It("the operator's topic goes on at the version that began it", func() {
			stream := begin(d, other, d.engines[0], oldSoftware)
			d.addNewTarget("e1", newSoftware)
			d.addNewTarget("e2", newSoftware)
			late.logProxy.SetTopicFault(platform.OperatorTopic, hostplatform.Unresponsive)
			for range 5 {
				d.expectTakenUp(late, stream, oldSoftware)
			}
		})

		It("a free slot at its version goes on at no other version", func() {
			stream := begin(d, other, d.engines[0], oldSoftware)
			d.addNewTarget("e1", newSoftware)
			d.awaitRegistryRead()
			d.engines[0].SetStreamHandler(func(w http.ResponseWriter, _ *http.Request) bool {
				w.Header().Set("Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			})
			status, _, _ := late.talk("again", streamEvents, stream, 4)
			Expect(status).To(Equal(http.StatusServiceUnavailable))
			for _, r := range d.engines[1].Runs() {
				Expect(r.ID).NotTo(Equal("again"))
			}
		})

		It("the registry and takes a job over does not go on with its stored events at another version", func() {
			d.engines[0].SetEventInterval(20 * time.Millisecond)
			events := tasks(4, 150)
			Expect(other.call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
			Eventually(d.storedChunks, eventuallyTimeout).Should(BeNumerically(">=", 4))
			late.logProxy.SetTopicFault(platform.RegistryTopic, hostplatform.Unresponsive)
			other.kill()
			restart()
			Eventually(func() int { return countLines(d.logged(), "run at unknown software") }, eventuallyTimeout).Should(BeNumerically(">", 0))
			late.logProxy.SetFault(hostplatform.Healthy)
			d.engines[0].SetEventInterval(time.Millisecond)
			checkSoftware(late.awaitResults("j", 4), events)
		})

		It("the service of the version goes on at no target of another service, also after a split and back", func() {
			stream := begin(d, other, d.engines[0], oldSoftware)
			Eventually(d.recorded, eventuallyTimeout).WithArguments(stream).Should(BeTrue())
			d.configureStreams("service", "desk")
			d.expectRefused(late, stream)
			d.configureStreams("traffic-split", []map[string]any{{"service": "models", "weight": 1}, {"service": "desk", "weight": 9}})
			for range 10 {
				d.expectTakenUp(late, stream, oldSoftware)
			}
			Expect(d.plain[0].Runs()).To(BeEmpty())
			Expect(d.plain[1].Runs()).To(BeEmpty())
		})

		It("all targets goes on at the version that began it, through another instance", func() {
			d.awaitAnnouncements()
			stream := begin(d, other, d.engines[0], oldSoftware)
			d.addNewTarget("e1", newSoftware)
			d.addNewTarget("e2", newSoftware)
			late.links.set(refusing)
			for range 5 {
				d.expectTakenUp(late, stream, oldSoftware)
			}
			other.logProxy.SetTopicFault(platform.RegistryTopic, hostplatform.Unresponsive)
			restart()
			d.expectRefused(late, stream)
		})
	})
})

// addNewTarget adds an engine that has joined in the course of a release.
func (d *deployment) addNewTarget(id, software string) {
	d.engines = append(d.engines, d.addTarget(id, "models", 8, software))
}
