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

// startCheap starts cheap targets and returns once every instance routes to them.
func startCheap(dataCentre string, n int) []string {
	GinkgoHelper()
	ids := make([]string, n)
	for i := range ids {
		ids[i] = box.Orders.Start("sorter-models", dataCentre, true)
	}
	Eventually(func() bool {
		for _, m := range box.Instances() {
			for _, id := range ids {
				if t := m.Loop.Snapshot().Target("sorter-models", id); t == nil || t.Unavailable || t.Version == 0 {
					return false
				}
			}
		}
		return true
	}).WithTimeout(generous).Should(BeTrue())
	return ids
}

var _ = Describe("Reclaimed cheap target", func() {
	It("loses no stream: each goes on elsewhere with its KV cache before the target vanishes", func() {
		const streams, tokens = 36, 1500
		cheap := startCheap("portmore", 2)
		vanishing := box.Engines()
		var wg sync.WaitGroup
		for i := range streams {
			wg.Go(func() {
				defer GinkgoRecover()
				prompt := fmt.Sprintf("moved %d", i)
				res := post(announce.CallerURLs[i%len(announce.CallerURLs)], "/v1/completions", account, nil, completion(prompt, tokens, true))
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
				running += vanishing[id].Running()
			}
			return running
		}).WithTimeout(generous).Should(BeNumerically(">", 2), func() string {
			seen := map[string]int{}
			for id, e := range box.Engines() {
				for _, r := range e.ReceivedRequests() {
					if strings.Contains(r.Body, `"moved `) {
						seen[id]++
					}
				}
			}
			return fmt.Sprintf("no stream runs on a cheap target of %v; requests by engine: %v", cheap, seen)
		})
		time.Sleep(200 * time.Millisecond) // some tokens, for a KV cache to move
		box.Orders.Reclaim("portmore", 2*time.Second)
		wg.Wait()
		imports := 0
		for _, e := range box.Engines() {
			for _, seen := range e.ReceivedRequests() {
				if strings.Contains(seen.Body, "moved ") && strings.Contains(seen.Body, `"kv":"kv-`) {
					imports++
				}
			}
		}
		Expect(imports).To(BeNumerically(">", 0))
	})
})
