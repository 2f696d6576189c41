package hosted_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// alter changes the registry entry of a target.
func (d *deployment) alter(id string, fields map[string]any) {
	d.mu.Lock()
	entry := d.entries[id]
	d.mu.Unlock()
	d.register(id, func() map[string]any {
		out := entry()
		maps.Copy(out, fields)
		return out
	})
}

// evacuate asks that the targets of a data centre get no requests, or ends that.
func (d *deployment) evacuate(dataCentre string, on bool) {
	var value any
	if on {
		value = map[string]any{"zone": dataCentre}
	}
	d.store.Put(platform.OperatorTopic, "evacuate/"+dataCentre, value)
}

func (d *deployment) awaitLogged(text string, times int) {
	GinkgoHelper()
	Eventually(func() int { return countLines(d.logged(), text) }, eventuallyTimeout).Should(Equal(times))
}

func countLines(text, event string) int {
	n := 0
	for rest := text; ; n++ {
		_, after, found := strings.Cut(rest, `event="`+event+`"`)
		if !found {
			return n
		}
		rest = after
	}
}

// jumpingClock is a clock that jumps when the process of its instance would have stood still.
type jumpingClock struct {
	clock.System
	ahead atomic.Int64 // nanoseconds
}

// Now implements clock.Clock.
func (c *jumpingClock) Now() time.Duration { return c.System.Now() + time.Duration(c.ahead.Load()) }

func (c *jumpingClock) jump(d time.Duration) { c.ahead.Add(int64(d)) }

var _ = Describe("An evacuated data centre", func() {
	It("gets no request from any instance, also one that starts later, until it is readmitted", func() {
		d := newDeployment(2, 1)
		d.alter("p1", map[string]any{"zone": "b"})
		d.awaitRegistryRead()
		d.awaitAnnouncements()
		d.evacuate("b", true)
		d.awaitLogged("data centre evacuated", 2)
		before := len(d.plain[1].Arrivals())
		d.store.TrimTopic(platform.OperatorTopic)
		d.start(2)
		Eventually(d.instances[2].isReady, eventuallyTimeout).Should(BeTrue())
		for id, res := range d.callAll(60, time.Millisecond) {
			Expect(res.status).To(Equal(http.StatusOK), id)
		}
		d.callAll(30, 0) // more at once than an instance leaves on idle connections to p0
		Expect(d.plain[1].Arrivals()).To(HaveLen(before), "requests to the evacuated data centre")

		d.evacuate("b", false)
		d.awaitLogged("data centre readmitted", 3)
		Eventually(func() int {
			d.callAll(30, 0)
			return len(d.plain[1].Arrivals())
		}, eventuallyTimeout).Should(BeNumerically(">", before))
	})

	It("refuses requests at once when all targets of their service are evacuated", func() {
		d := newDeployment(1, 1)
		d.evacuate("a", true)
		d.awaitLogged("data centre evacuated", 1)
		started := time.Now()
		res := d.instances[0].call(http.MethodPost, "/confirm/x", "r", key, []byte("r"))
		Expect(res.status).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second), "half of the route's timeout of 4 s")
		Expect(d.plain[0].Arrivals()).To(BeEmpty())
	})
})

var _ = Describe("A cold target", func() {
	// mostInSecond returns the largest number of arrivals within a second.
	mostInSecond := func(arrivals []time.Time) (most int) {
		for i := range arrivals {
			n := 0
			for _, at := range arrivals[i:] {
				if at.Sub(arrivals[i]) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		return most
	}
	configureCold := func(d *deployment, perSecond float64) {
		d.version += 3
		config := hostplatform.Config(d.version, host, []string{key})
		services := slices.Clone(config["services"].([]map[string]any))
		for i := range services {
			services[i] = maps.Clone(services[i])
			services[i]["cold-per-s"], services[i]["cold-start-s"] = perSecond, 60
		}
		config["services"] = services
		d.store.Put(platform.OperatorTopic, "config", config)
		d.awaitLogged("config applied", 2*len(d.instances))
	}

	It("gets no more requests a second from all instances than it tolerates", func() {
		const perSecond = 4.0
		d := newDeployment(3, 1)
		d.awaitAnnouncements()
		configureCold(d, perSecond)
		for i := range d.plain {
			d.alter(fmt.Sprint("p", i), map[string]any{"cold-remaining-ms": 60000})
		}
		before := []int{len(d.plain[0].Arrivals()), len(d.plain[1].Arrivals())}
		responses := d.callAll(240, 15*time.Millisecond)
		refused := 0
		for _, res := range responses {
			if res.status == http.StatusServiceUnavailable {
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
		for i, p := range d.plain {
			Expect(mostInSecond(p.Arrivals())).To(BeNumerically("<=", int(1.5*perSecond)+5))
			Expect(len(p.Arrivals())).To(BeNumerically(">", before[i]), "the rate is used")
		}
	})

	It("starts tasks no faster than it tolerates", func() {
		const perSecond = 2.0
		d := newDeployment(1, 1)
		d.awaitAnnouncements()
		configureCold(d, perSecond)
		d.alter("e0", map[string]any{"cold-remaining-ms": 60000})
		events := map[string]int{}
		for i := range 12 {
			events[fmt.Sprint("t", i)] = 1
		}
		Eventually(func() bool {
			view := d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events))
			return view.status == http.StatusAccepted
		}, eventuallyTimeout).Should(BeTrue())
		checkOutputs(d.instances[0].awaitResults("j", 12), events)
		Expect(mostInSecond(d.engines[0].Arrivals())).To(BeNumerically("<=", int(1.5*perSecond)+5))
	})

	// Guards against a burst of an instance that wakes after its targets have started again.
	It("gets no more requests a second from an instance that has stood still", func() {
		const perSecond = 4.0
		d := newDeployment(1, 1)
		d.awaitAnnouncements()
		configureCold(d, perSecond)
		for i := range d.plain {
			d.alter(fmt.Sprint("p", i), map[string]any{"cold-remaining-ms": 0})
		}
		refused := func(responses map[string]response) (count int) {
			for _, res := range responses {
				if res.status == http.StatusServiceUnavailable {
					count++
				}
			}
			return count
		}
		Eventually(func() int { return refused(d.callAll(12, 0)) }, eventuallyTimeout).Should(BeZero(), "the targets are warm")
		d.instances[0].logProxy.SetFault(hostplatform.Unresponsive)
		before := []int{len(d.plain[0].Arrivals()), len(d.plain[1].Arrivals())}
		d.instances[0].clock.jump(1400 * time.Millisecond)
		Expect(refused(d.callAll(40, 0))).To(BeNumerically(">", 0))
		for i, p := range d.plain {
			Expect(mostInSecond(p.Arrivals()[before[i]:])).To(BeNumerically("<=", int(1.5*perSecond)+5))
		}
	})
})
