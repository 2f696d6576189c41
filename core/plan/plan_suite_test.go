package plan_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	_ "github.com/amaranthfold/amaranthfold/core/internal/fixedseed"
)

func TestPlan(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1 // runs the specs in the same order every time
	RunSpecs(t, "core/plan", suite, reporter)
}
