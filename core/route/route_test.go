package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/route"
)

func targets(n int) []route.Target {
	out := make([]route.Target, n)
	for i := range out {
		out[i] = route.Target{ID: fmt.Sprintf("t%05d", i), Service: "s", DataCentre: fmt.Sprint("dc", i%3), Capacity: 16, Version: int64(i % 4)}
	}
	return out
}

func TestChooseReturnsOnlyEligibleTargets(t *testing.T) {
	list := []route.Target{
		{ID: "leaving", Service: "s", Unavailable: true, Capacity: 1, Version: 9},
		{ID: "cheap", Service: "s", Cheap: true, Capacity: 1, Version: 9},
		{ID: "old", Service: "s", Capacity: 1, Version: 1},
		{ID: "good", Service: "s", Capacity: 1, Version: 9},
		{ID: "other", Service: "other", Capacity: 1, Version: 9},
	}
	for name, c := range map[string]struct {
		query route.Query
		want  []string
	}{
		"any":                {route.Query{Service: "s"}, []string{"cheap", "old", "good"}},
		"no cheap targets":   {route.Query{Service: "s", AvoidCheap: true}, []string{"old", "good"}},
		"minimum version":    {route.Query{Service: "s", MinVersion: 2}, []string{"cheap", "good"}},
		"tried":              {route.Query{Service: "s", Exclude: map[string]bool{"good": true, "old": true}}, []string{"cheap"}},
		"no eligible target": {route.Query{Service: "s", AvoidCheap: true, MinVersion: 2, Exclude: map[string]bool{"good": true}}, nil},
		"unknown service":    {route.Query{Service: "none"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := route.NewTable(list)
			random := rand.New(rand.NewPCG(1, 1))
			seen := map[string]bool{}
			for i := range 400 {
				q := c.query
				q.Random = random.Uint64()
				if i%2 == 0 {
					q.Prefix = random.Uint64()
				}
				got, err := table.Choose(q)
				if len(c.want) == 0 {
					g.Expect(err).To(MatchError(route.ErrNoTarget))
					continue
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(c.want).To(ContainElement(got.ID))
				seen[got.ID] = true
			}
			g.Expect(seen).To(HaveLen(len(c.want)))
		})
	}
}

func TestPrefixKeepsItsTargetUntilOverloaded(t *testing.T) {
	g := NewWithT(t)
	list := targets(12)
	table := route.NewTable(list)
	prefix := route.ExtendPrefix(0, "you sort comics")
	preferred, err := table.Choose(route.Query{Service: "s", Prefix: prefix})
	g.Expect(err).NotTo(HaveOccurred())
	random := rand.New(rand.NewPCG(1, 1))
	choose := func(t *route.Table) map[string]int {
		seen := map[string]int{}
		for range 200 {
			got, err := t.Choose(route.Query{Service: "s", Prefix: prefix, Random: random.Uint64()})
			g.Expect(err).NotTo(HaveOccurred())
			seen[got.ID]++
		}
		return seen
	}
	g.Expect(choose(table)).To(Equal(map[string]int{preferred.ID: 200}))

	loaded := targets(12)
	for i := range loaded {
		if loaded[i].ID == preferred.ID {
			loaded[i].Load = 4
		}
	}
	g.Expect(choose(table.Rebuild(loaded))).To(Equal(map[string]int{preferred.ID: 200}), "preferred target within the slack")
	for i := range loaded {
		if loaded[i].ID == preferred.ID {
			loaded[i].Load = 5
		}
	}
	second := choose(table.Rebuild(loaded))
	g.Expect(second).To(HaveLen(1), "next target on the ring")
	g.Expect(second).NotTo(HaveKey(preferred.ID))
	for i := range loaded {
		if second[loaded[i].ID] > 0 {
			loaded[i].Load = 5
		}
	}
	g.Expect(len(choose(table.Rebuild(loaded)))).To(BeNumerically(">", 3), "both targets of the prefix over the slack: spread over all")
}

func TestRemovedTargetRemapsOnlyItsPrefixes(t *testing.T) {
	g := NewWithT(t)
	full := targets(100)
	before, after := route.NewTable(full), route.NewTable(append(full[:40:40], full[41:]...))
	remapped, perTarget := 0, map[string]int{}
	for i := range 5000 {
		q := route.Query{Service: "s", Prefix: route.ExtendPrefix(0, fmt.Sprint(i))}
		a, err := before.Choose(q)
		g.Expect(err).NotTo(HaveOccurred())
		b, err := after.Choose(q)
		g.Expect(err).NotTo(HaveOccurred())
		perTarget[a.ID]++
		if a.ID != b.ID {
			remapped++
			g.Expect(a.ID).To(Equal(full[40].ID))
		}
	}
	g.Expect(remapped).To(Equal(perTarget[full[40].ID]))
	for _, n := range perTarget {
		g.Expect(n).To(BeNumerically("<", 5000/100*3), "a target has three times the mean number of prefixes")
	}
}

func TestChooseAllocatesNothing(t *testing.T) {
	g := NewWithT(t)
	table := route.NewTable(targets(12_000))
	exclude := map[string]bool{"t00007": true}
	random := rand.New(rand.NewPCG(1, 1))
	g.Expect(testing.AllocsPerRun(1000, func() {
		_, _ = table.Choose(route.Query{Service: "s", DataCentre: "dc1", AvoidCheap: true, MinVersion: 1, Exclude: exclude, Prefix: random.Uint64(), Random: random.Uint64()})
	})).To(BeZero())
}

func BenchmarkChoose(b *testing.B) {
	table := route.NewTable(targets(12_000))
	exclude := map[string]bool{"t00007": true}
	random := rand.New(rand.NewPCG(1, 1))
	for _, prefix := range []bool{false, true} {
		b.Run(fmt.Sprintf("prefix=%t", prefix), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				q := route.Query{Service: "s", DataCentre: "dc1", AvoidCheap: true, MinVersion: 1, Exclude: exclude, Random: random.Uint64()}
				if prefix {
					q.Prefix = random.Uint64()
				}
				_, _ = table.Choose(q)
			}
		})
	}
}

func BenchmarkTable(b *testing.B) {
	list := targets(12_000)
	table := route.NewTable(list)
	b.Run("loads", func(b *testing.B) {
		for b.Loop() {
			table.Rebuild(list)
		}
	})
	b.Run("targets", func(b *testing.B) {
		for b.Loop() {
			route.NewTable(list)
		}
	})
}
