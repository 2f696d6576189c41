package fold_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFold(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "core/fold")
}
