package config_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/config"
)

const base = `deployment: base
region: unset
cost:
  limitPerHour: 10
`

const overlay = `deployment: site
add:
  dataCentres:
    - name: north
  services:
    - {name: models, kind: engine, model: m, minTargets: 1, maxTargets: 2}
  accounts:
    - {name: shop, services: [models]}
`

func load(files ...string) (*config.Config, error) {
	sources := make([]config.File, len(files))
	for i, content := range files {
		sources[i] = config.File{Name: []string{"base.yaml", "site.yaml", "more.yaml"}[i], Content: []byte(content)}
	}
	return config.Load(sources[0], sources[1:]...)
}

var _ = Describe("Load", func() {
	It("merges the overlay into the base and applies defaults", func() {
		cfg, err := load(base, overlay)
		Expect(err).NotTo(HaveOccurred())
		Expect(cfg.Deployment).To(Equal("site"))
		Expect(cfg.Cost.LimitPerHour).To(Equal(10.0))
		Expect(cfg.Service("models").Concurrency).To(BeNumerically(">", 0))
	})

	It("merges items by name over several overlays", func() {
		cfg, err := load(base, overlay, "services:\n  - {name: models, maxTargets: 7}\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(cfg.Service("models").MaxTargets).To(Equal(7))
		Expect(cfg.Service("models").Model).To(Equal("m"))
	})

	DescribeTable("reports each finding with its position",
		func(extra string, want ...string) {
			_, err := load(base, overlay+extra)
			Expect(err).To(MatchError(config.ErrInvalid))
			for _, w := range want {
				Expect(err.Error()).To(ContainSubstring(w))
			}
			Expect(config.AsFindings(err)).To(HaveLen(len(want)))
		},
		Entry("unknown field", "colour: red\n", `site.yaml:9:1: unknown field "colour" in the top level`),
		Entry("bad unit", "usage:\n  window: 5 parsecs\n", `site.yaml:10:11: usage.window is "5 parsecs", want a duration`),
		Entry("number with a unit", "cost:\n  limitPerHour: 10USD\n", `site.yaml:10:17: cost.limitPerHour is "10USD", want a number`),
		Entry("overlay item that the base does not contain", "services:\n  - {name: ghost}\n", `site.yaml:10:12: overlay names "ghost", which is not in services of the base`),
		Entry("list instead of a mapping", "control: [1]\n", `site.yaml:9:10: control is a list, want a mapping`),
		Entry("trainer of an unknown account", "  trainers: [{name: t, service: models, groupSize: 1, groupsPerStep: 1, stepDeadline: 1m, account: ghost}]\n", `trainers[t].account names client account "ghost", which does not exist`),
		Entry("trainer of an account without the service", "    - {name: idle}\n  trainers: [{name: t, service: models, groupSize: 1, groupsPerStep: 1, stepDeadline: 1m, account: idle}]\n", `trainers[t].account names client account "idle", which may not use service "models"`),
		Entry("several findings", "colour: red\nusage:\n  window: x\n", `site.yaml:9:1:`, `site.yaml:11:11:`),
	)

	It("reports a duplicate name at its second position", func() {
		_, err := load(base, strings.Replace(overlay, "    - name: north\n", "    - name: north\n    - name: north\n", 1))
		Expect(err).To(MatchError(ContainSubstring(`site.yaml:5:13: duplicate name "north" in dataCentres`)))
	})

	It("reports a syntax error with its line", func() {
		_, err := load("deployment: [\n")
		Expect(err).To(MatchError(ContainSubstring("base.yaml:")))
	})

	It("accepts the output of Marshal as a base", func() {
		cfg, err := load(base, overlay)
		Expect(err).NotTo(HaveOccurred())
		data, err := config.Marshal(cfg)
		Expect(err).NotTo(HaveOccurred())
		reloaded, err := load(string(data))
		Expect(err).NotTo(HaveOccurred())
		Expect(reloaded).To(Equal(cfg))
	})

	DescribeTable("accepts the example deployments", func(example string) {
		var files []string
		for _, name := range []string{"base", example} {
			data, err := os.ReadFile("../../deploy/" + name + ".yaml")
			Expect(err).NotTo(HaveOccurred())
			files = append(files, string(data))
		}
		cfg, err := load(files...)
		Expect(err).NotTo(HaveOccurred())
		Expect(cfg.Accounts).To(HaveLen(8))
	}, Entry(nil, "kingston"), Entry(nil, "tenda"))
})
