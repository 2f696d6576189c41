package capacity_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/capacity"
)

// The users' bounds for control on each node.
const (
	maxCPUPercent = 1.7
	maxMemory     = 128 << 20 // bytes
)

var _ = Describe("Roles at the target size", func() {
	roles := capacity.Roles(capacity.DesignSize(), capacity.DefaultUnitCosts())

	It("keeps control within the bounds of processor and memory on every node", func() {
		control := capacity.ControlTotal(roles)
		Expect(control.CPUPercent).To(BeNumerically("<=", maxCPUPercent))
		Expect(control.Memory).To(BeNumerically("<=", maxMemory))
	})

	It("stays within several hundred records a second", func() {
		Expect(capacity.LogRecords(capacity.DesignSize()).Total).To(BeNumerically("<=", 300))
	})

	It("grows with the size in every role", func() {
		half := capacity.DesignSize()
		half.RequestsPerSecond /= 2
		half.TokensPerSecond /= 2
		half.Engines /= 2
		for i, r := range capacity.Roles(half, capacity.DefaultUnitCosts()) {
			Expect(r.CPUPercent).To(BeNumerically("<=", roles[i].CPUPercent), r.Name)
			Expect(r.Memory).To(BeNumerically("<=", roles[i].Memory), r.Name)
		}
	})
})
