package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/directory"
)

var _ = Describe("A service whose targets start cold", func() {
	const entryDelay = 3 * time.Second
	var d *directory.Directory
	entry := func(heartbeat, startedAt int64, coldFor time.Duration) directory.Target {
		return directory.Target{
			ID: "a", Service: "models", DataCentre: "x", HeartbeatSeq: heartbeat, StartedAt: startedAt, Ready: true,
			ColdStated: true, ColdFor: coldFor,
		}
	}
	coldAt := func(now time.Duration) bool {
		d.RegistryCurrent(now)
		t := d.Targets(now)[0]
		if t.Cold {
			Expect(t.Limited).To(BeTrue())
			Expect(t.RequestLimit).To(Equal(8.0))
		}
		return t.Cold
	}
	BeforeEach(func() {
		d = directory.New(2 * time.Second)
		d.SetColdStarts(map[string]directory.ColdStart{"models": {Duration: 4 * time.Second, PerSecond: 8}}, entryDelay)
		d.Put(0, entry(1, 10, 0))
	})

	It("takes a new target for cold until an entry has had time to say so", func() {
		Expect(coldAt(0)).To(BeTrue())
		Expect(coldAt(entryDelay - 1)).To(BeTrue())
		Expect(coldAt(entryDelay)).To(BeFalse())
	})

	It("takes a target for cold as long as its entry says", func() {
		d.Put(10*time.Second, entry(2, 10, 5*time.Second))
		Expect(coldAt(14 * time.Second)).To(BeTrue())
		Expect(coldAt(15 * time.Second)).To(BeFalse())
		d.Put(16*time.Second, entry(3, 10, 5*time.Second))
		d.Put(17*time.Second, entry(4, 10, 0))
		Expect(coldAt(17*time.Second)).To(BeFalse(), "a later entry says that it is warm")
	})

	It("uses the duration of the service for an entry that does not state how long", func() {
		t := entry(1, 20, 0)
		t.ColdStated = false
		d.Put(10*time.Second, t)
		Expect(coldAt(14*time.Second - 1)).To(BeTrue())
		Expect(coldAt(14 * time.Second)).To(BeFalse())
	})

	It("takes a target for cold that was started again, readmitted or did not answer", func() {
		d.Put(10*time.Second, entry(1, 20, 0))
		Expect(coldAt(12 * time.Second)).To(BeTrue())
		Expect(coldAt(13 * time.Second)).To(BeFalse())

		d.Evacuate(20*time.Second, "x")
		d.Readmit(30*time.Second, "x")
		Expect(coldAt(32 * time.Second)).To(BeTrue())
		Expect(coldAt(33 * time.Second)).To(BeFalse())

		Expect(d.Doubt(40*time.Second, "a", 10)).To(BeFalse(), "an earlier start")
		Expect(d.Doubt(40*time.Second, "a", 20)).To(BeTrue())
		Expect(d.Doubt(40*time.Second, "a", 20)).To(BeFalse(), "it is cold already")
		Expect(coldAt(42 * time.Second)).To(BeTrue())
		at, cold := d.NextWarm(42 * time.Second)
		Expect(cold).To(BeTrue())
		Expect(at).To(Equal(43 * time.Second))
	})

	It("takes a target in doubt for cold until the registry has been read", func() {
		d.RegistryCurrent(9 * time.Second)
		d.Doubt(10*time.Second, "a", 10)
		coldUnread := func(now time.Duration) bool { return d.Targets(now)[0].Cold }
		at, _ := d.NextWarm(12 * time.Second)
		Expect(at).To(Equal(13 * time.Second))
		d.RegistryCurrent(13*time.Second - 1)
		Expect(coldUnread(13 * time.Second)).To(BeTrue())
		Expect(coldUnread(17*time.Second - 1)).To(BeTrue())
		Expect(coldUnread(17*time.Second)).To(BeFalse(), "no start can be that late")
		d.RegistryCurrent(13 * time.Second)
		Expect(coldUnread(14 * time.Second)).To(BeFalse())
	})

	It("takes all targets for cold when nothing was heard of them for a while", func() {
		d.Put(9*time.Second, entry(2, 10, 4*time.Second))
		other := entry(1, 10, 0)
		other.ID, other.Service = "b", "desk"
		d.Put(0, other)
		Expect(d.DoubtAll(12*time.Second)).To(BeZero(), "it is cold already")
		Expect(coldAt(14 * time.Second)).To(BeTrue())
		Expect(coldAt(15 * time.Second)).To(BeFalse())
		Expect(d.DoubtAll(20 * time.Second)).To(Equal(1))
		Expect(coldAt(22 * time.Second)).To(BeTrue())
		Expect(d.Targets(22 * time.Second)[1].Cold).To(BeFalse(), "a service without a cold start")
	})

	It("applies a configuration that is read after the entries", func() {
		late := directory.New(2 * time.Second)
		late.Put(0, entry(1, 10, 0))
		Expect(late.Targets(time.Second)[0].Cold).To(BeFalse(), "no service with a cold start is known")
		late.SetColdStarts(map[string]directory.ColdStart{"models": {PerSecond: 8}}, entryDelay)
		Expect(late.Targets(time.Second)[0].Cold).To(BeTrue())
		late.RegistryCurrent(entryDelay)
		Expect(late.Targets(entryDelay)[0].Cold).To(BeFalse())
	})

	It("keeps the lower of two limits", func() {
		d.SetLimit(time.Second, "a", 10, 2)
		Expect(d.Targets(time.Second)[0].RequestLimit).To(Equal(2.0))
		d.SetLimit(time.Second, "a", 10, 20)
		Expect(d.Targets(time.Second)[0].RequestLimit).To(Equal(8.0))
	})

	It("changes nothing for other services", func() {
		t := entry(1, 10, time.Hour)
		t.ID, t.Service = "b", "desk"
		d.Put(0, t)
		Expect(d.Targets(0)[1].Cold).To(BeFalse())
		Expect(d.Doubt(0, "b", 10)).To(BeFalse())
	})
})

var _ = Describe("An evacuated data centre", func() {
	It("has no ready targets, also ones that register later, until it is readmitted", func() {
		d := directory.New(2 * time.Second)
		d.Put(0, directory.Target{ID: "a", DataCentre: "x", Ready: true})
		d.Put(0, directory.Target{ID: "b", DataCentre: "y", Ready: true})
		Expect(d.Evacuate(time.Second, "x")).To(BeTrue())
		Expect(d.Evacuate(time.Second, "x")).To(BeFalse(), "it is evacuated already")
		d.Put(2*time.Second, directory.Target{ID: "c", DataCentre: "x", Ready: true})
		ready := func() (ids []string) {
			for _, t := range d.Targets(3 * time.Second) {
				Expect(t.Evacuated).To(Equal(t.DataCentre == "x" && len(d.Evacuated()) > 0))
				if t.Ready {
					ids = append(ids, t.ID)
				}
			}
			return ids
		}
		Expect(ready()).To(Equal([]string{"b"}))
		Expect(d.Evacuated()).To(Equal([]string{"x"}))
		d.SetLeaving(3*time.Second, "c", 0)
		Expect(d.Readmit(4*time.Second, "x")).To(BeTrue())
		Expect(d.Readmit(4*time.Second, "x")).To(BeFalse())
		Expect(ready()).To(Equal([]string{"a", "b"}), "a target that leaves stays out")
	})
})
