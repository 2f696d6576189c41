package hosted_test

import (
	"io"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against callers who take the place of an instance or of another account.
var _ = Describe("The listener for callers", func() {
	It("ignores the headers between instances and the account that a caller states", func() {
		d := newDeployment(1, 1)
		send := func(withKey string) int {
			req := forgedRequest(http.MethodPost, "/confirm/x", []byte("b"), http.Header{
				"Amaranthfold-Relayed-Config": {"0"}, "Tenant": {"other"}, "Request-Id": {"r"}, "Credential": {withKey},
			})
			req.URL.Host, req.Host = d.instances[0].frontAddress, host
			res, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer res.Body.Close()
			return res.StatusCode
		}
		Expect(send("")).To(Equal(http.StatusUnauthorized))
		Expect(send("wrong")).To(Equal(http.StatusUnauthorized))
		Expect(send(key)).To(Equal(http.StatusOK))
		for _, p := range d.plain {
			for _, r := range p.Runs() {
				Expect(r.Account).To(Equal("acme"))
			}
		}
		for _, path := range []string{"/allowance", "/log-read?topic=control&part=0&from=0"} {
			Expect(d.instances[0].call(http.MethodGet, path, "r", key, nil).status).To(Equal(http.StatusNotFound))
		}
	})

	It("hides the jobs of an account from the others", func() {
		d := newDeployment(1, 1)
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, tasks(1, 3))).status).To(Equal(http.StatusAccepted))
		d.version++
		config := hostplatform.Config(d.version, host, []string{key})
		config["tenants"] = append(config["tenants"].([]map[string]any), map[string]any{"name": "other", "api-keys": []string{"secret-3"}})
		d.store.Put(platform.OperatorTopic, "config", config)
		Eventually(func() int {
			return d.instances[0].call(http.MethodGet, "/confirm/x", "r", "secret-3", nil).status
		}, eventuallyTimeout).Should(Equal(http.StatusOK))
		for _, c := range []struct{ method, path string }{
			{http.MethodGet, "/lots/j?after=0"}, {http.MethodGet, "/items/j?id=t0"}, {http.MethodDelete, "/lots/j"},
		} {
			Expect(d.instances[0].call(c.method, c.path, "r", "secret-3", nil).status).To(Equal(http.StatusNotFound), c.path)
		}
		d.instances[0].awaitResults("j", 1)
	})
})

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
