package hosted_test

import (
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

// zeroFirst returns a handler that answers the first request of each id with status 000 and the body.
func zeroFirst(body string) func(w http.ResponseWriter, r *http.Request) bool {
	var seen sync.Map // ids
	return func(w http.ResponseWriter, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		if _, again := seen.LoadOrStore(id, true); again {
			return false
		}
		raw(strings.Replace(rawHead, "200 OK", "000 ", 1)+"\r\n"+body)(w, r, id)
		return true
	}
}

// Guards against a status 000 that is taken for an answer, its body for an output, or its stamp for a score.
// "A response of a target with a malformed head" does so for callers' requests, streams and the relay, the specs
// of httpclient and platform for orders, reports and the log.
var _ = Describe("A task whose target answers with status 000", func() {
	It("has its whole output and the score of its next call", func() {
		d := newDeployment(1, 1)
		d.engines[0].SetStreamHandler(zeroFirst("id: 1\ndata: wrong\n\n"))
		d.handlePlain(zeroFirst("wrong"))
		events := map[string]int{"t1": 3, "t2": 4}
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.ScoredSubmission(1, events, host, "/score/x")).status).To(Equal(http.StatusAccepted))
		page := d.instances[0].awaitResults("j", len(events))
		checkOutputs(page, events)
		for _, r := range page.Results {
			Expect(r.Score).To(Equal(hostplatform.Signature("score-" + r.ID)))
		}
		for id := range events {
			Expect(runsOf(d.engines, id)).To(Equal(2), id)
			Expect(runsOf(d.plain, "score-"+id)).To(Equal(2), id)
		}
	})
})
