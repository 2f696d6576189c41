package hosted_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

// withBodies returns hostplatform.Submission with a body of the number of bytes for each task.
func withBodies(events map[string]int, size int) []byte {
	var sub map[string]any
	Expect(json.Unmarshal(hostplatform.Submission(1, events), &sub)).To(Succeed())
	for _, item := range sub["items"].([]any) {
		item.(map[string]any)["body"] = bytes.Repeat([]byte("x"), size)
	}
	data, err := json.Marshal(sub)
	Expect(err).NotTo(HaveOccurred())
	return data
}

// Guards against an instance that stores nothing more: the call with what the log never takes was
// repeated for ever.
var _ = Describe("Content that the log never takes", func() {
	var d *deployment
	var in *testInstance
	events := map[string]int{"t1": 30, "t2": 40, "t3": 50}
	BeforeEach(func() {
		d = newDeployment(1, 2)
		in = d.instances[0]
	})

	It("is refused in a submission, also while the log is down, and delays no other job", func() {
		Expect(in.call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		large := withBodies(map[string]int{"l": 2}, recordBytes)
		d.setContentDown(true)
		Expect(in.call(http.MethodPost, "/train/large", "large", key, large).status).To(Equal(http.StatusRequestEntityTooLarge))
		d.setContentDown(false)
		checkOutputs(in.awaitResults("j", 3), events)
		res := in.call(http.MethodPost, "/train/large", "large", key, large)
		Expect(res.status).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(res.body).To(ContainSubstring(fmt.Sprintf("of %d at most", recordBytes)))
		Expect(in.call(http.MethodGet, "/lots/large", "read", key, nil).status).To(Equal(http.StatusNotFound), "no part of it runs")
	})
	It("is a task's output that is given up, and delays no other task", func() {
		for _, e := range d.engines {
			e.SetStreamHandler(func(w http.ResponseWriter, r *http.Request) bool {
				if r.Header.Get("Request-Id") != "large" {
					return false
				}
				w.Header().Set("Server-Stamp", "s")
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Weight-Versions", "1")
				for n := range 20 {
					fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", recordBytes/16))
				}
				return true
			})
		}
		all := map[string]int{"large": 20, "t1": 30, "t2": 40, "t3": 50}
		Expect(in.call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, all)).status).To(Equal(http.StatusAccepted))
		page := in.awaitResults("j", 4)
		for i, r := range page.Results {
			if r.ID == "large" {
				Expect(r.State).To(Equal("terminated"))
				page.Results = append(page.Results[:i:i], page.Results[i+1:]...)
				break
			}
		}
		checkOutputs(page, events)
		d.awaitLogged("output refused", 1)
	})
	It("is an output without end, which is given up before the engine stops", func() {
		var written atomic.Int64
		for _, e := range d.engines {
			e.SetStreamHandler(func(w http.ResponseWriter, r *http.Request) bool {
				if r.Header.Get("Request-Id") != "endless" {
					return false
				}
				w.Header().Set("Server-Stamp", "s")
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Weight-Versions", "1")
				for n := 1; ; n++ {
					if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", recordBytes/16)); err != nil {
						return true
					}
					written.Add(recordBytes / 16)
				}
			})
		}
		all := map[string]int{"endless": 20, "t1": 30, "t2": 40, "t3": 50}
		Expect(in.call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, all)).status).To(Equal(http.StatusAccepted))
		page := in.awaitResults("j", 4)
		for i, r := range page.Results {
			if r.ID == "endless" {
				Expect(r.State).To(Equal("terminated"))
				page.Results = append(page.Results[:i:i], page.Results[i+1:]...)
				break
			}
		}
		checkOutputs(page, events)
		Expect(written.Load()).To(BeNumerically("<", 16<<20), "more than the sockets of both sides hold")
	})
	It("is divided where it can be: tasks that fit into no record together are accepted and run", func() {
		Expect(in.call(http.MethodPost, "/train/j", "j", key, withBodies(events, recordBytes*2/3)).status).To(Equal(http.StatusAccepted))
		for id := range events {
			if res := in.call(http.MethodGet, "/items/j?id="+id, "body", key, nil); res.status == http.StatusOK {
				Expect(res.body).To(HaveLen(recordBytes * 2 / 3))
			}
		}
		checkOutputs(in.awaitResults("j", 3), events)
	})
})
