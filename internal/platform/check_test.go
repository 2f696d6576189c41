package platform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/platform"
)

var errLeaseExpired = errors.New("lease has expired")

var _ = Describe("SendIf", func() {
	var (
		received        atomic.Int64
		dropConnections atomic.Bool
		orders          *platform.Orders
	)
	order := platform.Order{ID: "o", Action: "start"}
	BeforeEach(func() {
		received.Store(0)
		dropConnections.Store(false)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				received.Add(1)
			}
			if dropConnections.Load() {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write([]byte(`{"target":"t","targets":[]}`))
		}))
		DeferCleanup(server.Close)
		orders = platform.NewOrders(server.URL, "dc")
	})

	leaseExpired := func() error { return errLeaseExpired }

	DescribeTable("sends nothing if the check fails",
		func(reuse bool) {
			if reuse {
				_, err := orders.Targets(context.Background())
				Expect(err).NotTo(HaveOccurred())
			}
			_, err := orders.SendIf(context.Background(), order, leaseExpired)
			Expect(err).To(MatchError(platform.ErrNotSent))
			Expect(err).To(MatchError(errLeaseExpired))
			Expect(err).NotTo(MatchError(platform.ErrUnavailable))
			Consistently(received.Load).WithTimeout(100 * time.Millisecond).Should(BeZero())
		},
		Entry("on a new connection", false),
		Entry("on a reused connection", true),
	)

	It("runs the check once on the open connection and then sends the order", func() {
		checks := 0
		reply, err := orders.SendIf(context.Background(), order, func() error { checks++; return nil })
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Target).To(Equal("t"))
		Expect(checks).To(Equal(1))
	})

	It("does not send the order again when the server closes a reused connection", func() {
		_, err := orders.Targets(context.Background())
		Expect(err).NotTo(HaveOccurred())
		dropConnections.Store(true)
		_, err = orders.SendIf(context.Background(), order, func() error { return nil })
		Expect(err).To(MatchError(platform.ErrUnavailable))
		Expect(received.Load()).To(Equal(int64(1)))
	})
})
