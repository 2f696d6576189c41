package hosted_test

import (
	"io"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against probes that tell a stranger of accounts, keys, targets or requests, or that
// disturb each other.
var _ = Describe("The listeners for readiness and metrics", func() {
	It("tell whoever reaches them whether the instance is ready, and totals only", func() {
		d := newDeployment(1, 1)
		in := d.instances[0]
		Expect(in.call(http.MethodPost, "/confirm/x", "request-7", key, nil).status).To(Equal(http.StatusOK))
		read := func(address, method, path string) (int, string) {
			req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader("b"))
			Expect(err).NotTo(HaveOccurred())
			res, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer res.Body.Close()
			body, err := io.ReadAll(res.Body)
			Expect(err).NotTo(HaveOccurred())
			return res.StatusCode, string(body)
		}
		starting := d.start(1) // becomes ready during the probes
		var probes sync.WaitGroup
		for range 8 {
			probes.Go(func() {
				defer GinkgoRecover()
				for status := 0; status != http.StatusOK; {
					var body string
					status, body = read(starting.readinessAddress, http.MethodPost, "/train/j")
					Expect(status).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
					Expect(body).To(BeEmpty())
				}
			})
		}
		probes.Wait()
		status, body := read(in.metricsAddress, http.MethodGet, "/log-read?topic=control&part=0&from=0")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(ContainSubstring("amaranth_hosted_calls_total 1"))
		for _, secret := range []string{key, "acme", "request-7", "p0", "p1"} {
			Expect(body).NotTo(ContainSubstring(`"`+secret), "%s", secret)
		}
	})
})
