package hosted_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

// submitScored submits a job whose tasks have a score request, through the first instance.
func (d *deployment) submitScored(id string, events map[string]int) response {
	return d.instances[0].call(http.MethodPost, "/train/"+id, id, key, hostplatform.ScoredSubmission(1, events, host, "/score/x"))
}

// scoreCalls returns the score calls that the plain targets began to run, by request id.
func (d *deployment) scoreCalls() map[string]int {
	calls := map[string]int{}
	for _, p := range d.plain {
		for _, r := range p.Runs() {
			if strings.HasPrefix(r.Path, "/score/") {
				Expect(r.Account).To(BeEmpty())
				calls[r.ID]++
			}
		}
	}
	return calls
}

// generations returns how often the engines began to run each task.
func (d *deployment) generations() map[string]int {
	runs := map[string]int{}
	for _, e := range d.engines {
		for _, r := range e.Runs() {
			runs[r.ID]++
		}
	}
	return runs
}

// unscoredOutputs returns the number of complete outputs in the log that wait for a score.
func (d *deployment) unscoredOutputs() int {
	n := 0
	for _, data := range d.store.Records("control", 0) {
		r, err := job.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		if r.Progress != nil {
			n += len(r.Progress.Unscored)
		}
	}
	return n
}

// handlePlain makes both plain targets respond by handler.
func (d *deployment) handlePlain(handler func(w http.ResponseWriter, r *http.Request) bool) {
	for _, p := range d.plain {
		p.SetPlainHandler(handler)
	}
}

func signed(w http.ResponseWriter, signature string) {
	w.Header().Set("Server-Stamp", signature)
	_, _ = w.Write([]byte("scored"))
}

var _ = Describe("Tasks with a score request", func() {
	It("are listed with the signature of the response to their score call", func() {
		d := newDeployment(2, 2)
		events := tasks(8, 4)
		Expect(d.submitScored("j", events).status).To(Equal(http.StatusAccepted))
		for _, in := range d.instances {
			page := in.awaitResults("j", 8)
			checkOutputs(page, events)
			for _, r := range page.Results {
				Expect(r.Score).To(Equal(hostplatform.Signature("score-" + r.ID)))
			}
		}
		Expect(d.scoreCalls()).To(HaveLen(8))
		Expect(d.logged()).To(ContainSubstring("score call"))
	})

	It("are not called before their output is complete", func() {
		d := newDeployment(1, 1)
		d.engines[0].SetStalled(true)
		Expect(d.submitScored("j", tasks(3, 4)).status).To(Equal(http.StatusAccepted))
		Eventually(func() int { return len(d.generations()) }, eventuallyTimeout).Should(Equal(3))
		Expect(d.scoreCalls()).To(BeEmpty())
		d.engines[0].SetStalled(false) // stalled streams move and go on
		page := d.instances[0].awaitResults("j", 3)
		checkOutputs(page, tasks(3, 4))
	})

	DescribeTable("are called again after a response that is not a score",
		func(fail func(w http.ResponseWriter)) {
			d := newDeployment(1, 1)
			var calls atomic.Int64
			d.handlePlain(func(w http.ResponseWriter, _ *http.Request) bool {
				if calls.Add(1) <= 2 {
					fail(w)
					return true
				}
				signed(w, "good")
				return true
			})
			Expect(d.submitScored("j", tasks(1, 4)).status).To(Equal(http.StatusAccepted))
			page := d.instances[0].awaitResults("j", 1)
			checkOutputs(page, tasks(1, 4))
			Expect(page.Results[0].Score).To(Equal("good"))
			Expect(d.generations()).To(Equal(map[string]int{"t0": 1}))
		},
		Entry("without a signature", func(w http.ResponseWriter) { _, _ = w.Write([]byte("unsigned")) }),
		Entry("that is cut short", func(w http.ResponseWriter) {
			w.Header().Set("Server-Stamp", "bad")
			w.Header().Set("Content-Length", "50")
			_, _ = w.Write([]byte("short"))
			panic(http.ErrAbortHandler)
		}),
		Entry("to another request", func(w http.ResponseWriter) {
			w.Header().Set("Request-Id", "other")
			signed(w, "bad")
		}),
		Entry("that is lost", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }),
		Entry("that is a refusal", func(w http.ResponseWriter) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}),
		Entry("that is a server error", func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }),
	)

	It("are given up after as many server errors as their route allows, and hold up no other", func() {
		d := newDeployment(1, 1)
		d.handlePlain(func(w http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("Request-Id") == "score-t1" {
				w.WriteHeader(http.StatusInternalServerError)
				return true
			}
			signed(w, "good")
			return true
		})
		Expect(d.submitScored("j", tasks(6, 4)).status).To(Equal(http.StatusAccepted))
		page := d.instances[0].awaitResults("j", 6)
		for _, r := range page.Results {
			Expect(r.State == "completed").To(Equal(r.ID != "t1"), r.ID)
			Expect(r.Score == "good").To(Equal(r.ID != "t1"), r.ID)
		}
		Expect(d.scoreCalls()["score-t1"]).To(Equal(4))
	})

	It("need no further run when their runner is killed after the output was stored", func() {
		d := newDeployment(2, 2)
		var blocked atomic.Bool
		blocked.Store(true)
		d.handlePlain(func(w http.ResponseWriter, r *http.Request) bool {
			if blocked.Load() {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			signed(w, "good")
			return true
		})
		events := tasks(4, 4)
		Expect(d.submitScored("j", events).status).To(Equal(http.StatusAccepted))
		Eventually(d.unscoredOutputs, eventuallyTimeout).Should(Equal(4))
		d.instances[0].kill()
		blocked.Store(false)
		page := d.instances[1].awaitResults("j", 4)
		checkOutputs(page, events)
		for id := range events {
			Expect(d.generations()).To(HaveKeyWithValue(id, 1))
		}
	})

	It("are not called any more once their job has ended", func() {
		d := newDeployment(1, 1)
		d.handlePlain(func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		})
		Expect(d.submitScored("j", tasks(2, 4)).status).To(Equal(http.StatusAccepted))
		Eventually(d.scoreCalls, eventuallyTimeout).Should(HaveLen(2))
		Expect(d.instances[0].call(http.MethodDelete, "/lots/j", "x", key, nil).status).To(Equal(http.StatusOK))
		Eventually(d.logged, eventuallyTimeout).Should(ContainSubstring("job left"))
		before := ""
		Eventually(func() bool { // a call that was on its way may still arrive
			last := before
			before = fmt.Sprint(d.scoreCalls())
			return last == before
		}, eventuallyTimeout, "100ms").Should(BeTrue())
		Consistently(func() string { return fmt.Sprint(d.scoreCalls()) }, "1500ms").Should(Equal(before))
	})

	It("are refused with their job if no route serves the score request", func() {
		d := newDeployment(1, 1)
		res := d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.ScoredSubmission(1, tasks(2, 3), host, "/nowhere/x"))
		Expect(res.status).To(Equal(http.StatusBadRequest))
		Expect(res.body).To(ContainSubstring(`path "/nowhere/x"`))
		Expect(d.instances[0].call(http.MethodGet, "/lots/j?after=0", "r", key, nil).status).To(Equal(http.StatusNotFound))
		Expect(d.generations()).To(BeEmpty())
	})
})

var _ = Describe("A target that says in a response that it leaves", func() {
	It("gets no further requests, but its streams go on", func() {
		d := newDeployment(1, 2)
		leaving := d.plain[0]
		leaving.SetPlainHandler(func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Server-Leaving", "1")
			signed(w, "s")
			return true
		})
		Eventually(func() int {
			Expect(d.instances[0].call(http.MethodPost, "/confirm/x", "c", key, nil).status).To(Equal(http.StatusOK))
			return len(leaving.Runs())
		}, eventuallyTimeout).Should(Equal(1))
		Eventually(d.logged, eventuallyTimeout).Should(ContainSubstring("target leaving"))
		for range 30 {
			Expect(d.instances[0].call(http.MethodPost, "/confirm/x", "c", key, nil).status).To(Equal(http.StatusOK))
		}
		Expect(leaving.Runs()).To(HaveLen(1))
	})
})
