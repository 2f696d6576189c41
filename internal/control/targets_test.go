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
		Entry("everyone in a small site", 64, "south", false, false, true),
		Entry("a reader of the data centre", 65, "north", true, false, true),
		Entry("nobody else of the data centre", 65, "north", false, false, false),
		Entry("nobody of another data centre", 65, "south", true, false, false),
		Entry("whoever gives the orders", 65, "south", false, true, true),
	)

	It("come from a peer with the age of its answer, and only when they have changed", func() {
		b := newBench()
		has, asks := b.start(false), b.start(false)
		at := b.configure(has)
		for _, n := range []*node{has, asks} {
			Eventually(inForce(n), "30s").Should(Equal(at))
		}
		ctx := context.Background()
		ask := func() bool { return asks.fetchTargetsFrom(ctx, asks.Snapshot(), has.Self.Address, "north") }
		Expect(ask()).To(BeFalse(), "the peer has no list")

		list := []platform.Target{{ID: "t1", DataCentre: "north", State: platform.TargetRunning}}
		readAt := has.Clock.Now()
		has.post(ctx, targetsRead{"north", list})
		has.post(ctx, targetsRequested{"north", readAt})
		Eventually(func() int { return len(has.Snapshot().PlatformTargets) }, "30s").Should(Equal(1))
		Eventually(ask, "30s").Should(BeTrue())
		Eventually(func() []platform.Target { return asks.Snapshot().PlatformTargets }, "30s").Should(Equal(list))
		Expect(asks.Snapshot().TargetsRequestedAt["north"]).To(BeNumerically("<=", readAt), "never younger than the peer's reading")

		body, err := has.HandleTargets(mustMarshal(TargetsRequest{DataCentre: "north", Version: versionOfTargets(list)}))
		Expect(err).NotTo(HaveOccurred())
		Expect(body.(TargetsReply).Targets).To(BeEmpty())
	})

	It("have versions that tell every field apart", func() {
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
