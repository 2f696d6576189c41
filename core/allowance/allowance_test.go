package allowance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/allowance"
)

const ms = time.Millisecond

// The platform counts the requests to a target in windows of this length, and allows 1.5
// times its rate and 5 requests.
const window = 4 * time.Second

func allowed(perSecond float64) int { return int(1.5*perSecond*window.Seconds()) + 5 }

// mostIn returns the largest number of times within a window.
func mostIn(times []time.Duration) int {
	slices.Sort(times)
	most, first := 0, 0
	for i := range times {
		for times[i]-times[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// fleet is a deployment of instances that ask each other for allowances for one target.
type fleet struct {
	names    []string
	granters map[string]*allowance.Granter
	owners   map[string]*allowance.Owners
	// reaches reports whether an instance's call to another one is answered.
	reaches func(now time.Duration, from, to string) bool
	sent    []time.Duration
}

func newFleet(n int) *fleet {
	f := &fleet{
		granters: map[string]*allowance.Granter{}, owners: map[string]*allowance.Owners{},
		reaches: func(time.Duration, string, string) bool { return true },
	}
	for i := range n {
		name := fmt.Sprint("n", i)
		f.names = append(f.names, name)
		f.granters[name], f.owners[name] = allowance.NewGranter(), allowance.NewOwners()
	}
	return f
}

// send asks on behalf of an instance for requests to the target t and sends those granted.
func (f *fleet) send(now time.Duration, from string, r allowance.Request) allowance.Grant {
	r.Target = "t"
	for range 2 {
		owner, found := f.owners[from].For(now, r.Target, f.names)
		if !found {
			break
		}
		if !f.reaches(now, from, owner.Instance) {
			f.owners[from].Failed(now, owner.Instance)
			continue
		}
		f.owners[from].Answered(owner.Instance)
		r.Share = owner.Share
		grant := f.granters[owner.Instance].Take(now, r)
		for range grant.Count {
			f.sent = append(f.sent, now+grant.Delay)
		}
		return grant
	}
	return allowance.Grant{}
}

// firstOwner returns the owner of the target.
func (f *fleet) firstOwner() string {
	owner, _ := allowance.NewOwners().For(0, "t", f.names)
	return owner.Instance
}

var _ = Describe("Allowances", func() {
	DescribeTable("keep the requests of all instances within the rate and use it",
		func(instances int, perSecond, asksPerSecond float64) {
			const duration = 30 * time.Second
			f := newFleet(instances)
			random := rand.New(rand.NewPCG(1, uint64(instances)))
			interval := time.Duration(float64(time.Second) / asksPerSecond)
			for now := time.Duration(0); now < duration; now += interval {
				f.send(now, f.names[random.IntN(instances)], allowance.Request{PerSecond: perSecond, Count: 1, MaxDelay: 75 * ms})
			}
			Expect(mostIn(f.sent)).To(BeNumerically("<=", allowed(perSecond)))
			Expect(len(f.sent)).To(BeNumerically(">=", int(0.9*perSecond*duration.Seconds())))
		},
		Entry("9 instances, callers", 9, 1.6, 8.0),
		Entry("295 instances, callers of less than one request in ten seconds each", 295, 1.2, 24.0),
		Entry("1,700 instances at the rate of a large target", 1700, 40.0, 300.0),
	)

	It("grant the tasks of a step that start at once no more than the requests of a second", func() {
		f := newFleet(9)
		f.send(0, "n0", allowance.Request{PerSecond: 2.5, Count: 1})
		granted := 0
		for i := range 3 {
			granted += f.send(20*time.Second, f.names[i], allowance.Request{PerSecond: 2.5, Count: 80}).Count
		}
		Expect(granted).To(Equal(3)) // 2.5 and the one that is due
	})

	It("stay within the rate while some instances cannot reach the owner", func() {
		const perSecond = 3.0
		f := newFleet(60)
		owner := f.firstOwner()
		f.reaches = func(_ time.Duration, from, to string) bool { return to != owner || from < "n3" }
		for now := time.Duration(0); now < 5*time.Second; now += 5 * ms {
			f.send(now, f.names[int(now/(5*ms))%60], allowance.Request{PerSecond: perSecond, Count: 1})
		}
		Expect(mostIn(f.sent)).To(BeNumerically("<=", allowed(perSecond)))
		Expect(f.sent).NotTo(BeEmpty())
	})

	It("stay within the rate when the owner stops answering for a while and when it is back", func() {
		const perSecond = 4.0
		f := newFleet(30)
		owner := f.firstOwner()
		f.reaches = func(now time.Duration, _, to string) bool {
			return to != owner || now < 8*time.Second || now > 11*time.Second
		}
		for now := time.Duration(0); now < 25*time.Second; now += 10 * ms {
			f.send(now, f.names[int(now/(10*ms))%30], allowance.Request{PerSecond: perSecond, Count: 1, MaxDelay: 50 * ms})
		}
		Expect(mostIn(f.sent)).To(BeNumerically("<=", allowed(perSecond)))
	})

	It("use the whole rate again when the owner is gone for good", func() {
		const perSecond = 2.0
		f := newFleet(9)
		owner := f.firstOwner()
		f.reaches = func(_ time.Duration, _, to string) bool { return to != owner }
		for now := time.Duration(0); now < 30*time.Second; now += 20 * ms {
			f.send(now, f.names[int(now/(20*ms))%9], allowance.Request{PerSecond: perSecond, Count: 1})
		}
		late := 0
		for _, at := range f.sent {
			if at >= 20*time.Second {
				late++
			}
		}
		Expect(late).To(BeNumerically(">=", int(0.9*perSecond*10)))
		Expect(mostIn(f.sent)).To(BeNumerically("<=", allowed(perSecond)))
	})

	It("deny what would wait too long and say when to ask again", func() {
		g := allowance.NewGranter()
		r := allowance.Request{Target: "t", PerSecond: 2, Share: 1, Count: 1}
		first := g.Take(0, r)
		Expect(first.Count).To(BeZero())
		Expect(first.RetryAfter).To(BeNumerically(">", 0))
		Expect(g.Take(first.RetryAfter-ms, r).Count).To(BeZero())
		Expect(g.Take(first.RetryAfter, r).Count).To(Equal(1))
		r.MaxDelay = time.Second
		Expect(g.Take(first.RetryAfter, r)).To(Equal(allowance.Grant{Count: 1, Delay: 500 * ms}))
	})

	It("count requests that are sent in any case, and make later ones wait", func() {
		g := allowance.NewGranter()
		Expect(g.Take(0, allowance.Request{Target: "t", PerSecond: 1, Share: 1, Count: 3, Must: true}).Count).To(Equal(3))
		Expect(g.Take(3*time.Second, allowance.Request{Target: "t", PerSecond: 1, Share: 1, Count: 1}).Count).To(BeZero())
		Expect(g.Take(4*time.Second, allowance.Request{Target: "t", PerSecond: 1, Share: 1, Count: 1}).Count).To(Equal(1))
	})

	It("let a request find out in time whether a limit of zero still holds", func() {
		g := allowance.NewGranter()
		r := allowance.Request{Target: "t", PerSecond: 0, Share: 1, Count: 1}
		Expect(g.Take(0, r).Count).To(BeZero())
		Expect(g.Take(10*time.Second, r).Count).To(Equal(1))
		Expect(g.Take(11*time.Second, r).Count).To(BeZero())
	})
})
