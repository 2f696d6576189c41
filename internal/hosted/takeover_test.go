package hosted_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
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
