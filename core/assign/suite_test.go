package assign_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAssign(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1 // fixed order of the specs
	if os.Getenv("PASS_OVER_KNOWN_RED") != "" {
		suite.LabelFilter = "!known-red" // listed in KNOWN-RED.txt
	}
	RunSpecs(t, "core/assign", suite, reporter)
}
