package loads_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/loads"
)

func engines(n int, versions map[string]int64) []loads.Engine {
	out := make([]loads.Engine, n)
	for i := range out {
		own := map[string]int64{}
		for m, v := range versions {
			own[m] = v
		}
		out[i] = loads.Engine{ID: fmt.Sprintf("e%02d", i), Versions: own}
	}
	return out
}

// carryOut applies the orders to the engines.
func carryOut(list []loads.Engine, orders []loads.Order) {
	for _, o := range orders {
		for i := range list {
			if list[i].ID == o.Engine {
				list[i].Versions[o.Model] = o.Version
			}
		}
	}
}

func served(list []loads.Engine, model string, oldest int64) int {
	n := 0
	for _, e := range list {
		if e.Versions[model] >= oldest {
			n++
		}
	}
	return n
}

var _ = Describe("Loads", func() {
	three := func(named, lag int64) []loads.Model {
		return []loads.Model{{Name: "a", DesiredVersion: named, MaxStaleness: lag}, {Name: "b", DesiredVersion: 1, MaxStaleness: lag}, {Name: "c", DesiredVersion: 1, MaxStaleness: lag}}
	}

	It("orders nothing until a version is named", func() {
		Expect(loads.New().Plan(engines(12, map[string]int64{"a": 1, "b": 1, "c": 1}), three(1, 1), 4)).To(BeEmpty())
	})

	It("moves the whole of a model's part where jobs allow the newest version only", func() {
		list := engines(12, map[string]int64{"a": 1, "b": 1, "c": 1})
		Expect(loads.New().Plan(list, three(2, 0), 12)).To(HaveLen(4))
	})

	It("loads each version on half of the part where jobs allow one behind, and always serves", func() {
		p := loads.New()
		list := engines(12, map[string]int64{"a": 1, "b": 1, "c": 1})
		for named := int64(2); named < 9; named++ {
			orders := p.Plan(list, three(named, 1), 12)
			Expect(orders).To(HaveLen(2))
			carryOut(list, orders)
			Expect(served(list, "a", named-1)).To(BeNumerically(">=", 4))
			Expect(p.Plan(list, three(named, 1), 12)).To(BeEmpty())
		}
	})

	It("counts loads on their way against the limit, and goes on when they are done", func() {
		p := loads.New()
		list := engines(12, map[string]int64{"a": 1, "b": 1, "c": 1})
		first := p.Plan(list, three(2, 0), 2)
		Expect(first).To(HaveLen(2))
		for i := range list {
			list[i].OrderPending = list[i].ID == first[0].Engine || list[i].ID == first[1].Engine
		}
		Expect(p.Plan(list, three(2, 0), 2)).To(BeEmpty())
		carryOut(list, first)
		for i := range list {
			list[i].OrderPending = false
		}
		Expect(p.Plan(list, three(2, 0), 2)).To(HaveLen(2))
	})

	It("puts loads first without which nothing is served", func() {
		p := loads.New()
		list := engines(4, map[string]int64{"a": 4, "b": 1})
		models := []loads.Model{{Name: "a", DesiredVersion: 5, MaxStaleness: 1}, {Name: "b", DesiredVersion: 4, MaxStaleness: 1}}
		orders := p.Plan(list, models, 1)
		Expect(orders).To(HaveLen(1))
		Expect(orders[0].Model).To(Equal("b"))
	})

	It("never lets one model's loads keep another one unserved", func() {
		list := engines(12, map[string]int64{"a": 7, "b": 7, "c": 3})
		models := []loads.Model{{Name: "a", DesiredVersion: 9, MaxStaleness: 1}, {Name: "b", DesiredVersion: 9, MaxStaleness: 1}, {Name: "c", DesiredVersion: 9, MaxStaleness: 1}}
		p := loads.New()
		for range 3 { // two loads at once, and the first two models name a version a round
			carryOut(list, p.Plan(list, models, 2))
			models[0].DesiredVersion++
			models[1].DesiredVersion++
		}
		Expect(served(list, "c", 8)).To(BeNumerically(">=", 1))
	})

	It("keeps the division when engines come and go", func() {
		p := loads.New()
		list := engines(12, map[string]int64{"a": 1, "b": 1, "c": 1})
		carryOut(list, p.Plan(list, three(2, 0), 12))
		rest := append(list[:1:1], list[2:]...)
		carryOut(rest, p.Plan(rest, three(2, 0), 12))
		Expect(served(rest, "a", 2)).To(BeNumerically("<=", 5), "no engine that serves another model was moved without need")
	})

	It("learns the division from the engines' versions after a change of holder", func() {
		list := engines(6, map[string]int64{"a": 1, "b": 1})
		models := []loads.Model{{Name: "a", DesiredVersion: 5}, {Name: "b", DesiredVersion: 7}}
		carryOut(list, loads.New().Plan(list, models, 6))
		Expect(loads.New().Plan(list, models, 6)).To(BeEmpty())
	})
})
