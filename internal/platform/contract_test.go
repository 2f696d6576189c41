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
		Entry("keeps the order of records", logstore.Config{}, func(ctx context.Context, f fixture) {
			Expect(f.client.Append(ctx, [][]byte{[]byte("a"), []byte("b")})).To(Equal([]int64{1, 2}))
			reply, err := f.client.Read(ctx, 2, 10, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Next).To(Equal(int64(3)))
			Expect(reply.Records).To(Equal([]platform.LogRecord{{Offset: 2, Data: []byte("b")}}))
		}),
		Entry("returns its first and next offset to a read beyond the end", logstore.Config{MaxRecords: 1}, func(ctx context.Context, f fixture) {
			_, err := f.client.Append(ctx, [][]byte{[]byte("a"), []byte("b")})
			Expect(err).NotTo(HaveOccurred())
			reply, err := f.client.Read(ctx, 1<<62, 10, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply).To(Equal(platform.ReadReply{First: 2, Next: 3, Records: []platform.LogRecord{}}))
		}),
		Entry("rejects a read of a trimmed offset", logstore.Config{MaxRecords: 1}, func(ctx context.Context, f fixture) {
			_, err := f.client.Append(ctx, [][]byte{[]byte("a"), []byte("b")})
			Expect(err).NotTo(HaveOccurred())
			_, err = f.client.Read(ctx, 1, 10, 0)
			Expect(err).To(MatchError(platform.ErrTrimmed))
		}),
		Entry("rejects an append above the rate limit, which has no effect", logstore.Config{AppendsPerSecond: 0.001}, func(ctx context.Context, f fixture) {
			_, err := f.client.Append(ctx, [][]byte{[]byte("a")})
			Expect(err).NotTo(HaveOccurred())
			_, err = f.client.Append(ctx, [][]byte{[]byte("b")})
			Expect(err).To(MatchError(platform.ErrRateLimited))
			_, records := f.store.Records()
			Expect(records).To(HaveLen(1))
		}),
		Entry("is unavailable during an outage, when an append has no effect", logstore.Config{}, func(ctx context.Context, f fixture) {
			f.store.SetDown(true)
			_, err := f.client.Append(ctx, [][]byte{[]byte("a")})
			Expect(err).To(MatchError(platform.ErrUnavailable))
			_, err = f.client.Read(ctx, 1, 1, 0)
			Expect(err).To(MatchError(platform.ErrUnavailable))
			_, records := f.store.Records()
			Expect(records).To(BeEmpty())
		}),
		Entry("an append whose response was lost takes effect", logstore.Config{}, func(ctx context.Context, f fixture) {
			f.store.DropResponses(1)
			_, err := f.client.Append(ctx, [][]byte{[]byte("a")})
			Expect(err).To(MatchError(platform.ErrUnavailable))
			_, records := f.store.Records()
			Expect(records).To(HaveLen(1))
		}),
		Entry("an append whose response was lost takes effect later", logstore.Config{}, func(ctx context.Context, f fixture) {
			f.store.DelayNextAppend(10 * time.Millisecond)
			_, err := f.client.Append(ctx, [][]byte{[]byte("a")})
			Expect(err).To(MatchError(platform.ErrUnavailable))
			Eventually(func() int { _, records := f.store.Records(); return len(records) }, "10s").Should(Equal(1))
		}),
	)
})

var _ = Describe("Order contract", func() {
	var (
		orderPlatform *orders.Platform
		client        *platform.Orders
		ctx           = context.Background()
	)
	BeforeEach(func() {
		orderPlatform = orders.New(func(string, string, string, bool) (orders.Instance, error) { return standInTarget{}, nil }, time.Hour, true)
		server, err := standin.Serve(orderPlatform.Handler())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		client = platform.NewOrders(server.URL, "north")
	})
	start := func(id string, fencing int64) platform.Order {
		return platform.Order{ID: id, Action: "start", Service: "models", Fencing: fencing, NotAfter: time.Now().Add(time.Hour)}
	}

	It("executes only the first of two orders with the same id", func() {
		first, err := client.Send(ctx, start("o1", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Send(ctx, start("o1", 1))).To(Equal(first))
		Expect(client.Targets(ctx)).To(HaveLen(1))
	})
	It("rejects an order with a superseded fencing number", func() {
		_, err := client.Send(ctx, start("o1", 5))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Send(ctx, start("o2", 4))
		Expect(err).To(MatchError(platform.ErrFenced))
	})
	It("rejects an order received after its NotAfter time", func() {
		expired := start("o1", 1)
		expired.NotAfter = time.Now().Add(-time.Hour)
		_, err := client.Send(ctx, expired)
		Expect(err).To(MatchError(platform.ErrRejected))
		Expect(client.Targets(ctx)).To(BeEmpty())
	})
	It("lists the target that an order started although its response was lost", func() {
		orderPlatform.DropResponses(1)
		_, err := client.Send(ctx, start("o1", 1))
		Expect(err).To(MatchError(platform.ErrUnavailable))
		Expect(client.Targets(ctx)).To(ContainElement(HaveField("OrderID", "o1")))
	})
	It("reports that it is unavailable during an outage of the data centre's interface", func() {
		orderPlatform.SetDown("north", true)
		_, err := client.Targets(ctx)
		Expect(err).To(MatchError(platform.ErrUnavailable))
	})
})

// standInTarget is a target without a process.
type standInTarget struct{}

func (standInTarget) URL() string      { return "" }
func (standInTarget) AnnounceReclaim() {}
func (standInTarget) Kill()            {}

var _ = Describe("Usage, list and weights contracts", func() {
	ctx := context.Background()

	It("keeps a usage report although its response was lost", func() {
		sink := billing.New()
		server, err := standin.Serve(sink.Handler())
		Expect(err).NotTo(HaveOccurred())
		defer server.Close()
		sink.DropResponses(1)
		Expect(platform.NewUsage(server.URL).ReportIf(ctx, platform.UsageReport{Window: 1}, nil)).To(MatchError(platform.ErrUnavailable))
		Expect(sink.Reports()).To(HaveLen(1))
	})
	It("does not list a new instance before the lag has passed", func() {
		l := list.New(time.Hour)
		server, err := standin.Serve(l.Handler())
		Expect(err).NotTo(HaveOccurred())
		defer server.Close()
		l.Set(platform.ListedInstance{ID: "a"})
		Expect(platform.NewInstanceList(server.URL).Instances(ctx)).To(BeEmpty())
	})
	It("returns the newest version of a model", func() {
		w := weights.New(1, 1)
		server, err := standin.Serve(w.Handler())
		Expect(err).NotTo(HaveOccurred())
		defer server.Close()
		w.Publish("m", 7)
		Expect(platform.NewWeights(server.URL).Latest(ctx, "m")).To(HaveField("Latest", int64(7)))
	})
})
