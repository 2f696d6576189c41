package hosted_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against accepted jobs that are reported as not existing once no route of their host
// accepts jobs.
var _ = Describe("A job whose host has no route for jobs left", func() {
	var d *deployment
	events := map[string]int{"t1": 2, "t2": 3}

	// alterRoutes publishes a configuration with altered routes and a second account, and waits until
	// all instances have it.
	alterRoutes := func(alter func(routes []map[string]any) []map[string]any) {
		d.version += 3
		config := hostplatform.Config(d.version, host, []string{key})
		config["routes"] = alter(config["routes"].([]map[string]any))
		config["tenants"] = append(config["tenants"].([]map[string]any), map[string]any{"name": "other", "api-keys": []string{"secret-2"}})
		before := countLines(d.logged(), "config applied")
		d.store.Put(platform.OperatorTopic, "config", config)
		d.awaitLogged("config applied", before+len(d.instances))
	}
	withoutJobs := func(routes []map[string]any) []map[string]any {
		return slices.DeleteFunc(routes, func(r map[string]any) bool { return r["kind"] == "rollout" })
	}
	read := func(in *testInstance, id, withKey string) int {
		return in.call(http.MethodGet, "/lots/"+id, "read", withKey, nil).status
	}

	BeforeEach(func() {
		d = newDeployment(2, 1)
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		checkOutputs(d.instances[1].awaitResults("j", 2), events)
	})

	It("is read and ended at every instance, also one that starts later", func() {
		waiting := map[string]int{"long": 100000}
		Expect(d.instances[0].call(http.MethodPost, "/train/k", "k", key, hostplatform.Submission(1, waiting)).status).To(Equal(http.StatusAccepted))
		alterRoutes(withoutJobs)
		Eventually(d.start(2).isReady, eventuallyTimeout).Should(BeTrue())
		for _, in := range d.instances {
			page, ok := in.results("j", 0)
			Expect(ok).To(BeTrue(), in.name)
			checkOutputs(page, events)
			res := in.call(http.MethodGet, "/items/k?id=long", "body", key, nil)
			Expect(res.status).To(Equal(http.StatusOK))
			Expect(res.body).To(Equal("body of long"))
			Expect(in.call(http.MethodDelete, "/lots/k", "end", key, nil).status).To(Equal(http.StatusOK))
		}
	})
	It("is unknown to other accounts, as jobs that were never submitted, and unsure without the log", func() {
		alterRoutes(withoutJobs)
		for _, in := range d.instances {
			Expect(read(in, "j", "secret-2")).To(Equal(http.StatusNotFound))
			Expect(read(in, "j", "no key")).To(Equal(http.StatusNotFound))
			Expect(read(in, "never", key)).To(Equal(http.StatusNotFound))
			Expect(in.call(http.MethodPost, "/lots/j", "j", key, nil).status).To(Equal(http.StatusNotFound), "no request about a job")
		}
		d.store.SetFault(hostplatform.Unavailable)
		Expect(read(d.instances[1], "j", key)).To(Equal(http.StatusOK))
		Expect(read(d.instances[1], "never", key)).To(Equal(http.StatusServiceUnavailable))
		d.store.SetFault(hostplatform.Healthy)
	})
	It("hides no ordinary route that matches its path", func() {
		alterRoutes(func(routes []map[string]any) []map[string]any {
			ordinary := maps.Clone(routes[0])
			ordinary["name"], ordinary["path-prefix"] = "lots", "/lots/"
			return append(withoutJobs(routes), ordinary)
		})
		for i, in := range d.instances {
			id := fmt.Sprint("plain-", i)
			Expect(in.call(http.MethodGet, "/lots/j", id, key, nil).status).To(Equal(http.StatusOK))
			Expect(slices.ContainsFunc(d.plain, func(e *hostplatform.Engine) bool {
				return slices.ContainsFunc(e.Runs(), func(r hostplatform.Run) bool { return r.ID == id })
			})).To(BeTrue())
		}
	})
})
