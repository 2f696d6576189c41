package caller_test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	engines "github.com/amaranthfold/amaranthfold/internal/standin/engine"
)

// startCheapTargets starts n cheap targets (spot: they can be reclaimed with their whole
// data centre at short notice) and returns their ids once every instance routes to them.
func startCheapTargets(dataCentre string, n int) []string {
	GinkgoHelper()
	ids := make([]string, n)
	for i := range ids {
		ids[i] = deployment.Orders.StartTarget("sorter-models", dataCentre, true)
	}
	Eventually(func() bool {
		for _, instance := range deployment.Instances() {
			for _, id := range ids {
				if t := instance.Loop.Snapshot().Target("sorter-models", id); t == nil || t.Unavailable || t.Version == 0 {
					return false
				}
			}
		}
		return true
	}).WithTimeout(waitTimeout).Should(BeTrue())
	return ids
}

var _ = Describe("Reclaimed cheap target", func() {
	It("loses no stream: each goes on elsewhere with its KV cache before the target is reclaimed", func() {
		const streams, tokens = 36, 1500
		cheap := startCheapTargets("portmore", 2)
		initialEngines := deployment.Engines()
		var wg sync.WaitGroup
		for i := range streams {
			wg.Go(func() {
				defer GinkgoRecover()
				prompt := fmt.Sprintf("moved %d", i)
				res := post(connection.CallerURLs[i%len(connection.CallerURLs)], "/v1/completions", account, nil, completionBody(prompt, tokens, true))
				got := readStream(res.Body)
				Expect(got.failure).To(BeEmpty())
				Expect(got.done).To(BeTrue())
				Expect(got.ids).To(HaveLen(1))
				Expect(got.text).To(Equal(engines.Text(prompt, 0, tokens)))
				Expect(got.usages).To(HaveLen(1))
				Expect(got.usages[0].CompletionTokens).To(Equal(tokens))
			})
		}
		Eventually(func() int {
			running := 0
			for _, id := range cheap {
				running += initialEngines[id].Running()
			}
			return running
		}).WithTimeout(waitTimeout).Should(BeNumerically(">", 2), func() string {
			received := map[string]int{}
			for id, e := range deployment.Engines() {
				for _, r := range e.ReceivedRequests() {
					if strings.Contains(r.Body, `"moved `) {
						received[id]++
					}
				}
			}
			return fmt.Sprintf("no stream runs on a cheap target of %v; requests by engine: %v", cheap, received)
		})
		time.Sleep(200 * time.Millisecond) // until tokens, and thus a KV cache to move, exist
		deployment.Orders.Reclaim("portmore", 2*time.Second)
		wg.Wait()
		imports := 0
		for _, e := range deployment.Engines() {
			for _, received := range e.ReceivedRequests() {
				if strings.Contains(received.Body, "moved ") && strings.Contains(received.Body, `"kv":"kv-`) {
					imports++
				}
			}
		}
		Expect(imports).To(BeNumerically(">", 0))
	})
})
