package samples_test

import (
	"io"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a sample that ends with an answer which is not the rest of it.
var _ = Describe("A sample whose engine gives a wrong answer", func() {
	It("has its whole text", func() {
		f := startFixture()
		bodies := []string{
			"data: [DONE]\n\n", "", "an error\n\n", "data: {\"message\":\"an error\"}\n\ndata: [DONE]\n\n",
			"data: {\"choices\":[{\"text\":\"an error\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n",
		}
		var first, next atomic.Int64 // wrong answers to requests for the first tokens, and for further ones
		for _, e := range f.Engines() {
			e.AbortAfterTokens(7)
			e.HandleCompletions(func(w http.ResponseWriter, _ *http.Request, continues bool) bool {
				given := &first
				if continues {
					given = &next
				}
				n := given.Add(1)
				if n > int64(len(bodies)) {
					return false
				}
				_, _ = io.WriteString(w, bodies[n-1])
				return true
			})
		}
		f.submitGroups(4)
		f.receiveBatch(4)
		Expect(first.Load()).To(BeNumerically(">", len(bodies)))
		Expect(next.Load()).To(BeNumerically(">", 0), "requests for further tokens")
	})
})
