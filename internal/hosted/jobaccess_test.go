package hosted_test

import (
	"encoding/json"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// access is what a configuration says about who may send requests.
type access struct {
	public     bool // the route of jobs needs no key
	noAccounts bool
	noRoute    bool // the host has no route of jobs
}

// configureAccess publishes a configuration with a second account, and waits until all instances
// have it.
func (d *deployment) configureAccess(a access) {
	d.version += 3
	config := hostplatform.Config(d.version, host, []string{key})
	config["tenants"] = append(config["tenants"].([]map[string]any), map[string]any{"name": "other", "api-keys": []string{"secret-2"}})
	if a.noAccounts {
		delete(config, "tenants")
	}
	routes := config["routes"].([]map[string]any)
	for i := range routes {
		if routes[i]["kind"] == "rollout" {
			routes[i]["public"] = a.public
			if a.noRoute {
				routes[i]["kind"] = "idempotent"
			}
		}
	}
	before := countLines(d.logged(), "config applied")
	d.store.Put(platform.OperatorTopic, "config", config)
	d.awaitLogged("config applied", before+len(d.instances))
}

// resultsWith reads a job's results with the key. It returns none for any status but 200.
func (i *testInstance) resultsWith(withKey, jobID string) (page hostplatform.ResultsPage) {
	if res := i.call(http.MethodGet, "/lots/"+jobID, "read", withKey, nil); res.status == http.StatusOK {
		Expect(json.Unmarshal([]byte(res.body), &page)).To(Succeed())
	}
	return page
}

// Guards against accepted jobs that their callers can neither read nor end, since the configuration
// asks for a key at the submission and not later, or the other way round.
var _ = Describe("A job", func() {
	const none, unknown, other = "", "no such key", "secret-2"
	public, private, open := access{public: true}, access{}, access{noAccounts: true}
	forAll := map[string]int{key: 200, other: 200, unknown: 200, none: 200}
	forOwner := map[string]int{key: 200, other: 404, unknown: 401, none: 401}

	DescribeTable("is read, repeated and ended by those who may use it, at every instance",
		func(submittedIn access, submittedWith string, readIn access, want map[string]int) {
			d := newDeployment(2, 1)
			events := map[string]int{"t1": 2, "t2": 3}
			submit := func(in *testInstance, withKey string, events map[string]int) int {
				return in.call(http.MethodPost, "/train/j", "j", withKey, hostplatform.Submission(1, events)).status
			}
			d.configureAccess(submittedIn)
			Expect(submit(d.instances[0], submittedWith, events)).To(Equal(http.StatusAccepted))
			Expect(d.instances[1].call(http.MethodPost, "/train/k", "k", submittedWith, hostplatform.Submission(1, map[string]int{"long": 100000})).status).To(Equal(http.StatusAccepted))
			d.configureAccess(readIn)
			for _, in := range d.instances {
				for withKey, status := range want {
					about := fmt.Sprintf("%s with key %q", in.name, withKey)
					Expect(in.call(http.MethodGet, "/lots/j?after=0", "read", withKey, nil).status).To(Equal(status), about)
					body := in.call(http.MethodGet, "/items/k?id=long", "body", withKey, nil)
					Expect(body.status).To(Equal(status), about)
					if status == http.StatusOK {
						Expect(body.body).To(Equal("body of long"), about)
					}
					if status != http.StatusOK {
						Expect(in.call(http.MethodDelete, "/lots/k", "end", withKey, nil).status).To(Equal(status), about)
					}
					if readIn.noRoute {
						continue
					}
					switch again := submit(in, withKey, events); {
					case status == http.StatusOK && (readIn != private || withKey != none && withKey != unknown):
						Expect(again).To(Equal(http.StatusAccepted), about)
					case status == http.StatusNotFound:
						Expect(again).To(Equal(http.StatusConflict), about)
					}
				}
				Expect(in.call(http.MethodGet, "/lots/never", "read", key, nil).status).To(Equal(http.StatusNotFound))
			}
			for withKey, status := range want {
				if status == http.StatusOK {
					page := hostplatform.ResultsPage{}
					Eventually(func() int {
						page = d.instances[1].resultsWith(withKey, "j")
						return len(page.Results)
					}, eventuallyTimeout).Should(Equal(2))
					checkOutputs(page, events)
					Expect(d.instances[0].call(http.MethodDelete, "/lots/k", "end", withKey, nil).status).To(Equal(http.StatusOK))
				}
			}
		},
		Entry("public throughout", public, key, public, forAll),
		Entry("public, and sent without a key", public, none, public, forAll),
		Entry("public at its submission only", public, key, private, forAll),
		Entry("public after its submission", private, key, public, forOwner),
		Entry("public at its submission, then without a route", public, none, access{noRoute: true}, forAll),
		Entry("without accounts", open, none, open, forAll),
		Entry("without accounts at its submission only", open, key, private, forAll),
		Entry("without accounts after its submission", private, key, open, forAll),
		Entry("of an account", private, key, private, forOwner),
	)
	It("is not taken for another caller's that has chosen the same id", func() {
		d := newDeployment(2, 1)
		d.configureAccess(public)
		for i, status := range []int{http.StatusAccepted, http.StatusConflict} {
			events := map[string]int{fmt.Sprint("task", i): 2}
			Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", none, hostplatform.Submission(1, events)).status).To(Equal(status))
		}
	})
	It("is not said to be unknown to a caller without a key by an instance that does not read the log", func() {
		d := newDeployment(2, 1)
		d.configureAccess(private)
		in := d.instances[1]
		d.store.SetPartitionDown("control", 0, true)
		Eventually(func() int { return in.call(http.MethodGet, "/lots/never", "read", none, nil).status }, eventuallyTimeout).Should(Equal(http.StatusServiceUnavailable))
		d.store.SetPartitionDown("control", 0, false)
		Eventually(func() int { return in.call(http.MethodGet, "/lots/never", "read", none, nil).status }, eventuallyTimeout).Should(Equal(http.StatusUnauthorized))
	})
})
