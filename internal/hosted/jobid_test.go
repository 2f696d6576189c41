package hosted_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against a submission that is accepted and then lost, since the log keeps the job that had
// the id before.
var _ = Describe("A submission under the id of another account's job", func() {
	It("is not accepted, and changes nothing for that job", func() {
		d := newDeployment(2, 1)
		d.version += 3
		config := hostplatform.Config(d.version, host, []string{key})
		config["tenants"] = append(config["tenants"].([]map[string]any), map[string]any{"name": "other", "api-keys": []string{"secret-2"}})
		d.store.Put(platform.OperatorTopic, "config", config)
		d.awaitLogged("config applied", 4)
		events := map[string]int{"t1": 2, "t2": 3}
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		checkOutputs(d.instances[1].awaitResults("j", 2), events)
		foreign := hostplatform.Submission(1, map[string]int{"t9": 1})
		for _, in := range d.instances {
			Expect(in.call(http.MethodPost, "/train/j", "j", "secret-2", foreign).status).To(Equal(http.StatusConflict))
			Expect(in.call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted), "its own repeat")
			checkOutputs(in.awaitResults("j", 2), events)
		}
	})
})

// Guards against a submission that is accepted with a record that no instance can read.
var _ = Describe("A submission under an id that is no UTF-8", func() {
	It("is refused", func() {
		d := newDeployment(1, 1)
		in := d.instances[0]
		Expect(in.call(http.MethodPost, "/train/j", "j\xff", key, hostplatform.Submission(1, map[string]int{"t1": 2})).status).To(Equal(http.StatusBadRequest))
		d.awaitAnnouncements()
		Expect(d.logged()).NotTo(ContainSubstring("log unreadable"))
	})
})
