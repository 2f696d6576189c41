package loads_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/loads"
)

// engines returns n engines with the same versions.
func engines(n int, versions map[string]int64) []loads.Engine {
	out := make([]loads.Engine, n)
	for i := range out {
		copied := map[string]int64{}
		for m, v := range versions {
			copied[m] = v
		}
		out[i] = loads.Engine{ID: fmt.Sprintf("e%02d", i), Versions: copied}
	}
	return out
}

// applyOrders sets the engines' versions as if all orders had been executed.
func applyOrders(list []loads.Engine, orders []loads.Order) {
	for _, o := range orders {
		for i := range list {
			if list[i].ID == o.Engine {
				list[i].Versions[o.Model] = o.Version
			}
		}
	}
}

// countServing returns how many engines have at least minVersion of the model.
func countServing(list []loads.Engine, model string, minVersion int64) int {
	n := 0
	for _, e := range list {
		if e.Versions[model] >= minVersion {
			n++
		}
	}
	return n
}

var _ = Describe("Loads", func() {
	threeModels := func(desiredVersion, maxStaleness int64) []loads.Model {
		return []loads.Model{{Name: "a", DesiredVersion: desiredVersion, MaxStaleness: maxStaleness}, {Name: "b", DesiredVersion: 1, MaxStaleness: maxStaleness}, {Name: "c", DesiredVersion: 1, MaxStaleness: maxStaleness}}
	}

	It("orders no load until a new version is published", func() {
		Expect(loads.New().Plan(engines(12, map[string]int64{"a": 1, "b": 1, "c": 1}), threeModels(1, 1), 4)).To(BeEmpty())
	})

	It("orders engines that answer to load, however many others do not", func() {
		list := engines(12, map[string]int64{"a": 1})
		for i := range 9 {
			list[i].Unavailable = true
		}
		list[9].OrderPending = true
		orders := loads.New().Plan(list, threeModels(2, 0)[:1], 2)
		Expect(orders).To(Equal([]loads.Order{{Engine: "e10", Model: "a", Version: 2}}))
	})

	It("loads a version on all engines of the model if jobs allow no staleness", func() {
		list := engines(12, map[string]int64{"a": 1, "b": 1, "c": 1})
		Expect(loads.New().Plan(list, threeModels(2, 0), 12)).To(HaveLen(4))
	})

	It("loads each version on half of the model's engines if jobs allow a staleness of one, and all can serve jobs", func() {
		p := loads.New()
		list := engines(12, map[string]int64{"a": 1, "b": 1, "c": 1})
		for desired := int64(2); desired < 9; desired++ {
			orders := p.Plan(list, threeModels(desired, 1), 12)
			Expect(orders).To(HaveLen(2))
			applyOrders(list, orders)
			Expect(countServing(list, "a", desired-1)).To(BeNumerically(">=", 4))
			Expect(p.Plan(list, threeModels(desired, 1), 12)).To(BeEmpty())
		}
	})

	It("counts pending orders against the limit and orders further loads when they are executed", func() {
		p := loads.New()
		list := engines(12, map[string]int64{"a": 1, "b": 1, "c": 1})
		first := p.Plan(list, threeModels(2, 0), 2)
		Expect(first).To(HaveLen(2))
		for i := range list {
			list[i].OrderPending = list[i].ID == first[0].Engine || list[i].ID == first[1].Engine
		}
		Expect(p.Plan(list, threeModels(2, 0), 2)).To(BeEmpty())
		applyOrders(list, first)
		for i := range list {
			list[i].OrderPending = false
		}
		Expect(p.Plan(list, threeModels(2, 0), 2)).To(HaveLen(2))
	})

	It("loads other engines in place of those that refuse", func() {
		list := engines(12, map[string]int64{"a": 1, "b": 1, "c": 1})
		for _, o := range loads.New().Plan(list, threeModels(2, 1), 2) {
			i := slices.IndexFunc(list, func(e loads.Engine) bool { return e.ID == o.Engine })
			list[i].Unavailable = true
		}
		orders := loads.New().Plan(list, threeModels(2, 1), 2)
		Expect(orders).To(HaveLen(2))
		for _, o := range orders {
			i := slices.IndexFunc(list, func(e loads.Engine) bool { return e.ID == o.Engine })
			Expect(list[i].Unavailable).To(BeFalse())
		}
	})

	It("first orders the loads without which engines cannot serve the next job", func() {
		p := loads.New()
		list := engines(4, map[string]int64{"a": 4, "b": 1})
		models := []loads.Model{{Name: "a", DesiredVersion: 5, MaxStaleness: 1}, {Name: "b", DesiredVersion: 4, MaxStaleness: 1}}
		orders := p.Plan(list, models, 1)
		Expect(orders).To(HaveLen(1))
		Expect(orders[0].Model).To(Equal("b"))
	})

	It("does not starve a model while other models publish a version in each pass", func() {
		list := engines(12, map[string]int64{"a": 7, "b": 7, "c": 3})
		models := []loads.Model{{Name: "a", DesiredVersion: 9, MaxStaleness: 1}, {Name: "b", DesiredVersion: 9, MaxStaleness: 1}, {Name: "c", DesiredVersion: 9, MaxStaleness: 1}}
		p := loads.New()
		for range 3 { // at most two orders a pass; the first two models publish a version after each
			applyOrders(list, p.Plan(list, models, 2))
			models[0].DesiredVersion++
			models[1].DesiredVersion++
		}
		Expect(countServing(list, "c", 8)).To(BeNumerically(">=", 1))
	})

	It("reassigns no more engines than necessary when an engine is removed", func() {
		p := loads.New()
		list := engines(12, map[string]int64{"a": 1, "b": 1, "c": 1})
		applyOrders(list, p.Plan(list, threeModels(2, 0), 12))
		remaining := append(list[:1:1], list[2:]...)
		applyOrders(remaining, p.Plan(remaining, threeModels(2, 0), 12))
		Expect(countServing(remaining, "a", 2)).To(BeNumerically("<=", 5), "no engine of another model is reassigned unnecessarily")
	})

	It("derives the same assignment from the engines' versions in a new planner, as after a change of the lease holder", func() {
		list := engines(6, map[string]int64{"a": 1, "b": 1})
		models := []loads.Model{{Name: "a", DesiredVersion: 5}, {Name: "b", DesiredVersion: 7}}
		applyOrders(list, loads.New().Plan(list, models, 6))
		Expect(loads.New().Plan(list, models, 6)).To(BeEmpty())
	})
})
