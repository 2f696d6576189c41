package platform_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/platform"
	"github.com/amaranthfold/amaranthfold/internal/standin"
	"github.com/amaranthfold/amaranthfold/internal/standin/billing"
	"github.com/amaranthfold/amaranthfold/internal/standin/list"
	"github.com/amaranthfold/amaranthfold/internal/standin/logstore"
	"github.com/amaranthfold/amaranthfold/internal/standin/orders"
	"github.com/amaranthfold/amaranthfold/internal/standin/weights"
)

var _ = Describe("Log contract", func() {
	type fixture struct {
		store  *logstore.Store
		client *platform.Log
	}
	DescribeTable("append and read",
		func(cfg logstore.Config, check func(ctx context.Context, f fixture)) {
			store := logstore.New(cfg)
			server, err := standin.Serve(store.Handler())
			Expect(err).NotTo(HaveOccurred())
			defer server.Close()
			check(context.Background(), fixture{store, platform.NewLog(server.URL)})
		},
		Entry("keeps order", logstore.Config{}, func(ctx context.Context, f fixture) {
			Expect(f.client.Append(ctx, [][]byte{[]byte("a"), []byte("b")})).To(Equal([]int64{1, 2}))
			reply, err := f.client.Read(ctx, 2, 10, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Next).To(Equal(int64(3)))
			Expect(reply.Records).To(Equal([]platform.LogRecord{{Offset: 2, Data: []byte("b")}}))
		}),
		Entry("tells its bounds to a read beyond the end", logstore.Config{MaxRecords: 1}, func(ctx context.Context, f fixture) {
			_, err := f.client.Append(ctx, [][]byte{[]byte("a"), []byte("b")})
			Expect(err).NotTo(HaveOccurred())
			reply, err := f.client.Read(ctx, 1<<62, 10, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply).To(Equal(platform.ReadReply{First: 2, Next: 3, Records: []platform.LogRecord{}}))
		}),
		Entry("trims to its retention", logstore.Config{MaxRecords: 1}, func(ctx context.Context, f fixture) {
			_, err := f.client.Append(ctx, [][]byte{[]byte("a"), []byte("b")})
			Expect(err).NotTo(HaveOccurred())
			_, err = f.client.Read(ctx, 1, 10, 0)
			Expect(err).To(MatchError(platform.ErrTrimmed))
		}),
		Entry("limits the rate without effect", logstore.Config{AppendsPerSecond: 0.001}, func(ctx context.Context, f fixture) {
			_, err := f.client.Append(ctx, [][]byte{[]byte("a")})
			Expect(err).NotTo(HaveOccurred())
			_, err = f.client.Append(ctx, [][]byte{[]byte("b")})
			Expect(err).To(MatchError(platform.ErrRateLimited))
			_, kept := f.store.Records()
			Expect(kept).To(HaveLen(1))
		}),
		Entry("outage: no effect", logstore.Config{}, func(ctx context.Context, f fixture) {
			f.store.SetDown(true)
			_, err := f.client.Append(ctx, [][]byte{[]byte("a")})
			Expect(err).To(MatchError(platform.ErrUnavailable))
			_, err = f.client.Read(ctx, 1, 1, 0)
			Expect(err).To(MatchError(platform.ErrUnavailable))
			_, kept := f.store.Records()
			Expect(kept).To(BeEmpty())
		}),
		Entry("lost answer: took effect", logstore.Config{}, func(ctx context.Context, f fixture) {
			f.store.DropResponses(1)
			_, err := f.client.Append(ctx, [][]byte{[]byte("a")})
			Expect(err).To(MatchError(platform.ErrUnavailable))
			_, kept := f.store.Records()
			Expect(kept).To(HaveLen(1))
		}),
		Entry("late effect after a lost answer", logstore.Config{}, func(ctx context.Context, f fixture) {
			f.store.DelayNextAppend(10 * time.Millisecond)
			_, err := f.client.Append(ctx, [][]byte{[]byte("a")})
			Expect(err).To(MatchError(platform.ErrUnavailable))
			Eventually(func() int { _, kept := f.store.Records(); return len(kept) }, "10s").Should(Equal(1))
		}),
	)
})

var _ = Describe("Order contract", func() {
	var (
		store  *orders.Platform
		client *platform.Orders
		ctx    = context.Background()
	)
	BeforeEach(func() {
		store = orders.New(func(string, string, string, bool) (orders.Instance, error) { return process{}, nil }, time.Hour, true)
		server, err := standin.Serve(store.Handler())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		client = platform.NewOrders(server.URL, "north")
	})
	start := func(id string, fencing int64) platform.Order {
		return platform.Order{ID: id, Action: "start", Service: "models", Fencing: fencing, NotAfter: time.Now().Add(time.Hour)}
	}

	It("carries out an id once", func() {
		first, err := client.Send(ctx, start("o1", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Send(ctx, start("o1", 1))).To(Equal(first))
		Expect(client.Targets(ctx)).To(HaveLen(1))
	})
	It("refuses an old fencing number", func() {
		_, err := client.Send(ctx, start("o1", 5))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Send(ctx, start("o2", 4))
		Expect(err).To(MatchError(platform.ErrFenced))
	})
	It("refuses an order after its time", func() {
		late := start("o1", 1)
		late.NotAfter = time.Now().Add(-time.Hour)
		_, err := client.Send(ctx, late)
		Expect(err).To(MatchError(platform.ErrRejected))
		Expect(client.Targets(ctx)).To(BeEmpty())
	})
	It("may lose the answer of an order that took effect", func() {
		store.DropResponses(1)
		_, err := client.Send(ctx, start("o1", 1))
		Expect(err).To(MatchError(platform.ErrUnavailable))
		Expect(client.Targets(ctx)).To(ContainElement(HaveField("OrderID", "o1")))
	})
	It("has outages by data centre", func() {
		store.SetDown("north", true)
		_, err := client.Targets(ctx)
		Expect(err).To(MatchError(platform.ErrUnavailable))
	})
})

type process struct{}

func (process) URL() string { return "" }
func (process) Leave()      {}
func (process) Kill()       {}

var _ = Describe("Usage, list and weights contracts", func() {
	ctx := context.Background()

	It("keeps a report whose answer was lost", func() {
		sink := billing.New()
		server, err := standin.Serve(sink.Handler())
		Expect(err).NotTo(HaveOccurred())
		defer server.Close()
		sink.DropResponses(1)
		Expect(platform.NewUsage(server.URL).ReportIf(ctx, platform.UsageReport{Window: 1}, nil)).To(MatchError(platform.ErrUnavailable))
		Expect(sink.Reports()).To(HaveLen(1))
	})
	It("lists an instance after the lag", func() {
		l := list.New(time.Hour)
		server, err := standin.Serve(l.Handler())
		Expect(err).NotTo(HaveOccurred())
		defer server.Close()
		l.Set(platform.ListedInstance{ID: "a"})
		Expect(platform.NewInstanceList(server.URL).Instances(ctx)).To(BeEmpty())
	})
	It("names the newest version of a model", func() {
		w := weights.New(1, 1)
		server, err := standin.Serve(w.Handler())
		Expect(err).NotTo(HaveOccurred())
		defer server.Close()
		w.Publish("m", 7)
		Expect(platform.NewWeights(server.URL).Latest(ctx, "m")).To(HaveField("Latest", int64(7)))
	})
})
