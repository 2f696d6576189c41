package hosted_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	oldSoftware = hostplatform.FirstSoftware
	newSoftware = "v2"
)

// talk sends a request for a stream of events with the id. With resumes, it takes up the
// stream of that request after the event lastEvent.
func (i *testInstance) talk(id string, total int, resumes string, lastEvent int) (status int, events []string, complete bool) {
	return hostplatform.ReceiveStream(http.DefaultClient, hostplatform.StreamRequest{
		Front: i.frontAddress, Host: host, Key: key, ID: id, Total: total, Resumes: resumes, LastEvent: lastEvent,
	})
}

// storedChunks returns the number of parts of unfinished outputs in the log.
func (d *deployment) storedChunks() int {
	n := 0
	for _, data := range d.store.Records("control", 0) {
		r, err := job.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		if r.Progress != nil {
			n += len(r.Progress.Chunks)
		}
	}
	return n
}

// checkSoftware checks that each result is the complete output of one software version.
func checkSoftware(p hostplatform.ResultsPage, events map[string]int) {
	GinkgoHelper()
	Expect(p.Results).To(HaveLen(len(events)))
	for _, r := range p.Results {
		Expect(r.State).To(Equal("completed"))
		Expect(r.Text).To(BeElementOf(
			hostplatform.OutputOf(oldSoftware, r.ID, events[r.ID]), hostplatform.OutputOf(newSoftware, r.ID, events[r.ID]),
		), "output of %s", r.ID)
	}
}

var _ = Describe("A stream that began at a target of one software version", func() {
	var d *deployment
	BeforeEach(func() { d = newMixedDeployment(2, oldSoftware, newSoftware) })

	It("holds no events of another version when runs of a task break", func() {
		for _, e := range d.engines {
			e.AbortAfterEvents(5)
		}
		events := tasks(12, 23)
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		checkSoftware(d.instances[1].awaitResults("j", 12), events)
		Expect(d.logged()).To(ContainSubstring("run resumed"))
	})

	It("holds no events of another version when an instance takes over the stored events of a killed one", func() {
		restore := d.remove("e1")
		events := tasks(4, 400)
		d.engines[0].SetEventInterval(20 * time.Millisecond) // eight seconds for a task
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		Eventually(d.storedChunks, eventuallyTimeout).Should(BeNumerically(">=", 4))
		d.instances[0].kill()
		d.remove("e0")
		restore()
		checkSoftware(d.instances[1].awaitResults("j", 4), events)
		for _, r := range d.engines[1].Runs() {
			Expect(r.From).To(BeZero(), "a run at the other version that goes on after kept events")
		}
	})

	It("holds no events of another service whose version has the same name when its route moves", func() {
		d.remove("e1")
		d.engines = append(d.engines, d.addTarget("e2", "others", 8, oldSoftware))
		d.engines[0].SetEventInterval(20 * time.Millisecond)
		events := tasks(4, 400)
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		Eventually(d.storedChunks, eventuallyTimeout).Should(BeNumerically(">=", 4))
		d.version += 3
		config := hostplatform.Config(d.version, host, []string{key})
		config["routes"].([]map[string]any)[2]["service"] = "others"
		config["services"] = append(config["services"].([]map[string]any), map[string]any{"name": "others", "engine": map[string]any{"models": []map[string]any{{"name": "m"}}}})
		d.store.Put(platform.OperatorTopic, "config", config)
		d.awaitLogged("config applied", 4)
		d.instances[0].kill()
		d.remove("e0")
		checkSoftware(d.instances[1].awaitResults("j", 4), events)
		for _, r := range d.engines[2].Runs() {
			Expect(r.From).To(BeZero(), "a run at the other service that goes on after kept events")
		}
	})

	It("is taken up by callers through any instance at a target of its version only", func() {
		const total = 30
		for _, e := range d.engines {
			e.AbortAfterEvents(4)
		}
		began := map[string][]string{}
		var mu sync.Mutex
		var group sync.WaitGroup
		for n := range 12 { // at the same time, so that both engines get some
			group.Go(func() {
				defer GinkgoRecover()
				id := fmt.Sprint("first-", n)
				status, events, complete := d.instances[0].talk(id, total, "", 0)
				Expect(status).To(Equal(http.StatusOK))
				Expect(complete).To(BeFalse())
				mu.Lock()
				defer mu.Unlock()
				began[id] = events
			})
		}
		group.Wait()
		for _, e := range d.engines {
			e.AbortAfterEvents(0)
			Expect(e.Runs()).NotTo(BeEmpty())
		}
		for id, events := range began {
			status, further, complete := d.instances[1].talk("again-"+id, total, id, len(events))
			Expect(status).To(Equal(http.StatusOK))
			Expect(complete).To(BeTrue())
			Expect(hostplatform.IsOutputOfOne([]string{oldSoftware, newSoftware}, append(events, further...))).To(BeTrue(), "stream of %s", id)
		}
	})

	It("is refused at once as not run when no target of its version is left, or when its version is unknown", func() {
		const total = 30
		d.engines[0].AbortAfterEvents(4)
		restore := d.remove("e1")
		Eventually(func() int { _, events, _ := d.instances[0].talk("first", total, "", 0); return len(events) }, eventuallyTimeout).Should(Equal(4))
		d.remove("e0")
		restore()
		Eventually(func() int { status, _, _ := d.instances[1].talk("new", total, "", 0); return status }, eventuallyTimeout).Should(Equal(http.StatusOK))
		for id, resumes := range map[string]string{"again": "first", "strange": "never seen"} {
			status, _, _ := d.instances[1].talk(id, total, resumes, 4)
			Expect(status).To(Equal(http.StatusServiceUnavailable))
		}
		for _, r := range d.engines[1].Runs() {
			Expect(r.ID).NotTo(BeElementOf("again", "strange"))
		}
	})
})

// restartUnnoticed starts an engine again under its id with another software version. Its registry
// entry stays that of the earlier start.
func (d *deployment) restartUnnoticed(number int, software string) {
	id := d.engines[number].ID
	d.mu.Lock()
	entry := d.entries[id]()
	d.mu.Unlock()
	d.register(id, func() map[string]any { return entry })
	d.engines[number].Restart()
	d.engines[number].SetSoftware(software)
}

// killAll kills all instances at once, lets the targets change, and starts the instances again.
func (d *deployment) killAll(change func()) {
	for _, in := range d.instances {
		in.cancel()
	}
	for _, in := range d.instances {
		in.kill()
	}
	change()
	count := len(d.instances)
	for i := range count {
		Eventually(d.start(i).isReady, eventuallyTimeout).Should(BeTrue())
	}
	d.instances = d.instances[count:]
}

// streamRecords returns the number of streams in the log whose software version is recorded.
func (d *deployment) streamRecords() int {
	n := 0
	for _, data := range d.store.Records("control", 0) {
		r, err := job.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		if r.StreamStarted != nil {
			n++
		}
	}
	return n
}

var _ = Describe("After the loss of all instances a stream", func() {
	const total = 30
	var d *deployment
	BeforeEach(func() {
		d = newMixedDeployment(2, oldSoftware, oldSoftware)
		for _, e := range d.engines {
			e.AbortAfterEvents(4)
		}
	})

	It("is taken up again and again at its version, by the request that began it or the latest one", func() {
		_, events, _ := d.instances[0].talk("first", total, "", 0)
		Eventually(d.streamRecords, eventuallyTimeout).Should(Equal(1))
		resumes := []string{"first", "again-0", "again-1", "first"}
		for n, request := range resumes {
			d.killAll(func() {})
			status, further, _ := d.instances[n%2].talk(fmt.Sprint("again-", n), total, request, len(events))
			Expect(status).To(Equal(http.StatusOK))
			events = append(events, further...)
			Eventually(d.streamRecords, eventuallyTimeout).Should(Equal(n + 2))
		}
		Expect(events).To(HaveLen(4 * (1 + len(resumes))))
		Expect(hostplatform.IsOutputOfOne([]string{oldSoftware}, events)).To(BeTrue())
	})

	It("is refused as not run at targets that have started again with another version since their entries were written", func() {
		_, events, _ := d.instances[0].talk("first", total, "", 0)
		Eventually(d.streamRecords, eventuallyTimeout).Should(Equal(1))
		d.killAll(func() {
			for i := range d.engines {
				d.restartUnnoticed(i, newSoftware)
			}
		})
		status, _, _ := d.instances[0].talk("again", total, "first", len(events))
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		for _, e := range d.engines {
			for _, r := range e.Runs() {
				Expect(r.ID).NotTo(Equal("again"))
			}
		}
	})

	It("that began at a target with an outdated entry is not taken up at the version of the entry", func() {
		restore := func() {}
		d.killAll(func() {
			d.restartUnnoticed(0, newSoftware)
			restore = d.remove("e1")
		})
		_, events, _ := d.instances[0].talk("first", total, "", 0)
		Expect(hostplatform.IsOutputOfOne([]string{newSoftware}, events)).To(BeTrue())
		Eventually(func() bool { return d.streamRecords() > 0 || strings.Contains(d.logged(), "stream not recorded") }, eventuallyTimeout).Should(BeTrue())
		d.killAll(func() {
			d.remove("e0")
			restore()
		})
		status, _, _ := d.instances[0].talk("again", total, "first", len(events))
		Expect(status).To(Equal(http.StatusServiceUnavailable))
	})

	It("of a task holds no events of two versions where a target's entry is outdated", func() {
		d.killAll(func() { d.restartUnnoticed(0, newSoftware) })
		d.engines[0].AbortAfterEvents(7)
		events := tasks(8, 23)
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		Eventually(func() int { return len(d.engines[0].Runs()) }, eventuallyTimeout).Should(BeNumerically(">=", 8))
		d.engines[0].AbortAfterEvents(0)
		checkSoftware(d.instances[1].awaitResults("j", 8), events)
	})
})

var _ = Describe("A caller's stream", func() {
	It("is not passed on as a success without the target's signature", func() {
		d := newDeployment(1, 1)
		for _, e := range d.engines {
			e.SetPlainHandler(func(w http.ResponseWriter, _ *http.Request) bool {
				_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
				return true
			})
		}
		Expect(d.instances[0].call(http.MethodPost, "/talk/x", "unsigned", key, nil).status).To(Equal(http.StatusBadGateway))
	})
})
