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

var errLapsed = errors.New("lease has lapsed")

var _ = Describe("SendIf", func() {
	var (
		arrived atomic.Int64
		hangUp  atomic.Bool
		orders  *platform.Orders
	)
	order := platform.Order{ID: "o", Action: "start"}
	BeforeEach(func() {
		arrived.Store(0)
		hangUp.Store(false)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				arrived.Add(1)
			}
			if hangUp.Load() {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write([]byte(`{"target":"t","targets":[]}`))
		}))
		DeferCleanup(server.Close)
		orders = platform.NewOrders(server.URL, "dc")
	})

	lapsed := func() error { return errLapsed }

	DescribeTable("sends nothing when the check fails",
		func(warm bool) {
			if warm {
				_, err := orders.Targets(context.Background())
				Expect(err).NotTo(HaveOccurred())
			}
			_, err := orders.SendIf(context.Background(), order, lapsed)
			Expect(err).To(MatchError(platform.ErrNotSent))
			Expect(err).To(MatchError(errLapsed))
			Expect(err).NotTo(MatchError(platform.ErrUnavailable))
			Consistently(arrived.Load).WithTimeout(100 * time.Millisecond).Should(BeZero())
		},
		Entry("on a new connection", false),
		Entry("on an open connection", true),
	)

	It("checks once the connection is open, and sends the body after it", func() {
		checks := 0
		reply, err := orders.SendIf(context.Background(), order, func() error { checks++; return nil })
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Target).To(Equal("t"))
		Expect(checks).To(Equal(1))
	})

	It("does not send a call again by itself when a kept connection dies", func() {
		_, err := orders.Targets(context.Background())
		Expect(err).NotTo(HaveOccurred())
		hangUp.Store(true)
		_, err = orders.SendIf(context.Background(), order, func() error { return nil })
		Expect(err).To(MatchError(platform.ErrUnavailable))
		Expect(arrived.Load()).To(Equal(int64(1)))
	})
})
