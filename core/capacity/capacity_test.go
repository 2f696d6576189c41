package capacity_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/capacity"
)

// The users' limits of the cost of the control roles, per instance.
const (
	maxCPUPercent = 1.7
	maxMemory     = 128 << 20 // bytes
)

var _ = Describe("Roles at the design size", func() {
	roles := capacity.Roles(capacity.DesignSize(), capacity.DefaultUnitCosts())

	It("keep the control cost of every instance within the limits of CPU and memory", func() {
		control := capacity.ControlTotal(roles)
		Expect(control.CPUPercent).To(BeNumerically("<=", maxCPUPercent))
		Expect(control.Memory).To(BeNumerically("<=", maxMemory))
	})

	It("append at most 300 log records per second", func() {
		Expect(capacity.LogRecords(capacity.DesignSize()).Total).To(BeNumerically("<=", 300))
	})

	It("each cost no more CPU and memory at half the load", func() {
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
