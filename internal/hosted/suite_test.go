package hosted_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHosted(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1 // the same spec order in every run
	if os.Getenv("PASS_OVER_KNOWN_RED") != "" {
		suite.LabelFilter = "!known-red" // listed in KNOWN-RED.txt
	}
	RunSpecs(t, "internal/hosted", suite, reporter)
}
