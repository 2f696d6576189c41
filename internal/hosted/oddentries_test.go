package hosted_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// configureScaling publishes a newer configuration that lets the service of engines scale.
func (d *deployment) configureScaling() {
	d.version += 3
	config := hostplatform.Config(d.version, host, []string{key})
	config["services"].([]map[string]any)[0]["scaling"] = map[string]any{"min": 0, "max": 4, "boot-s": 0.2, "zone-prices": map[string]float64{"a": 1, "b": 1}}
	d.store.Put(platform.OperatorTopic, "config", config)
}

var _ = Describe("Odd entries among those of the targets", func() {
	// The controller divided by a multiple of the slots, which had overflowed to zero.
	It("do not end the controller with a number of slots that is too large", func() {
		d := newDeployment(1, 2)
		d.configureScaling()
		entry := d.engines[0].RegistryEntry("models", "127.0.0.1:9", "a", "ready")
		entry["slots"] = int64(1) << 62
		d.store.Put(platform.RegistryTopic, "odd", entry)
		d.awaitRegistryRead()
		d.awaitLogged("duty holder", 1)
		events := tasks(16, 1000) // two seconds, in which the controller plans several times
		in := d.instances[0]
		Expect(in.call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		checkOutputs(in.awaitResults("j", len(events)), events)
		Expect(d.logged()).NotTo(ContainSubstring(`target="odd"`))
	})
})
