package control

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

var _ = Describe("Lists of targets", func() {
	DescribeTable("are read from the platform by", func(peers int, dataCentre string, reader, holder, want bool) {
		l := newStoppedLoop(&manualClock{}, member.Peer{ID: "a", DataCentre: "north"})
		s := &Snapshot{
			Self: l.Self, Config: &config.Config{}, Peers: make([]member.Status, peers),
			view: &membershipView{readers: map[string]bool{"a": reader}},
		}
		if holder {
			l.heldLeases.Store(&map[string]HeldLease{DeploymentLease: {Fencing: 1, ExpiresAt: time.Hour}})
		}
		Expect(l.readsTargets(s, dataCentre)).To(Equal(want))
	},
		Entry("every instance of a small deployment", 64, "south", false, false, true),
		Entry("a reader of the data centre", 65, "north", true, false, true),
		Entry("no other instance of the data centre", 65, "north", false, false, false),
		Entry("no instance of another data centre", 65, "south", true, false, false),
		Entry("the holder of the deployment lease", 65, "south", false, true, true),
	)

	It("are used without entries that cannot be, which is recorded once", func() {
		l := newStoppedLoop(&manualClock{}, member.Peer{ID: "a", DataCentre: "north"})
		odd := fmt.Errorf("read: %w", &platform.UnreadableError{Entries: 1, First: context.Canceled})
		for range 3 {
			Expect(l.noteUnreadable("targets", odd)).To(BeTrue())
			Expect(l.noteUnreadable("instances", nil)).To(BeTrue())
			Expect(l.noteUnreadable("instances", platform.ErrUnavailable)).To(BeFalse())
		}
		Expect(l.Events.Since(0).Events).To(ConsistOf(HaveField("Name", "list entries unreadable")))
	})

	It("are fetched from a peer with their age, and only when they have changed", func() {
		f := newFixture()
		provider, requester := f.start(false), f.start(false)
		at := f.configure(provider)
		for _, n := range []*instance{provider, requester} {
			Eventually(configOffset(n), "30s").Should(Equal(at))
		}
		ctx := context.Background()
		fetch := func() bool {
			return requester.fetchTargetsFrom(ctx, requester.Snapshot(), provider.Self.Address, "north")
		}
		Expect(fetch()).To(BeFalse(), "the peer has no list")

		list := []platform.Target{{ID: "t1", DataCentre: "north", State: platform.TargetRunning}}
		readAt := provider.Clock.Now()
		provider.post(ctx, targetsRead{"north", list})
		provider.post(ctx, targetsRequested{"north", readAt})
		Eventually(func() int { return len(provider.Snapshot().PlatformTargets) }, "30s").Should(Equal(1))
		Eventually(fetch, "30s").Should(BeTrue())
		Eventually(func() []platform.Target { return requester.Snapshot().PlatformTargets }, "30s").Should(Equal(list))
		Expect(requester.Snapshot().TargetsRequestedAt["north"]).To(BeNumerically("<=", readAt), "no later than the peer's read")

		body, err := provider.HandleTargets(mustMarshal(TargetsRequest{DataCentre: "north", Version: versionOfTargets(list)}))
		Expect(err).NotTo(HaveOccurred())
		Expect(body.(TargetsReply).Targets).To(BeEmpty())
	})

	It("have versions that depend on every field", func() {
		base := platform.Target{ID: "t", OrderID: "o", Service: "s", DataCentre: "d", URL: "u", State: "running"}
		seen := map[uint64]string{}
		for i, t := range []platform.Target{
			base,
			{ID: "to", Service: "s", DataCentre: "d", URL: "u", State: "running"},
			{ID: "t", OrderID: "o", Service: "s", DataCentre: "d", URL: "u", State: "leaving"},
			{ID: "t", OrderID: "o", Service: "s", DataCentre: "d", URL: "u", State: "running", Cheap: true},
		} {
			v := versionOfTargets([]platform.Target{t})
			Expect(seen).NotTo(HaveKey(v))
			seen[v] = fmt.Sprint(i)
		}
	})
})

func mustMarshal(v any) []byte {
	data, err := record.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return data
}
