package hlc_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHLC(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "core/hlc")
}
