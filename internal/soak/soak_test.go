package soak_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/amaranthfold/amaranthfold/internal/soak"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1 // the same order of specs in every run
	RunSpecs(t, "internal/soak", suite, reporter)
}

var binary string

var _ = BeforeSuite(func() {
	var err error
	binary, err = gexec.Build("github.com/amaranthfold/amaranthfold/cmd/amaranthfold")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

var _ = Describe("Soak", func() {
	DescribeTable("keeps every promise under random faults",
		func(seed int) {
			report, err := soak.Run(GinkgoT().Context(), soak.Config{
				Binary: binary, Dir: GinkgoT().TempDir(), Seed: uint64(seed), Duration: 4 * time.Second, SettleTimeout: 2 * time.Minute,
				Instances: 3, Engines: 3, Faults: 4, Out: GinkgoWriter,
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(report.Violations).To(BeEmpty())
			Expect(report.Results).To(BeNumerically(">", 0))
		},
		func(seed int) string { return fmt.Sprint("seed ", seed) },
		Entry(nil, 1),
		Entry(nil, 2),
	)
})
