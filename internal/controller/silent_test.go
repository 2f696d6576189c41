package controller_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/config"
)

var _ = Describe("An engine that crashes without a word", func() {
	It("is replaced although the platform still lists it as running", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cfg := smallSite()
		cfg.Services = []config.Service{{
			Name: "desk", Kind: config.KindEngine, Model: "desk", MinTargets: 1, MaxTargets: 2, Concurrency: 8, QueueLimit: 8, CostPerHour: 1,
		}}
		cfg.Capacity.SilentAfter = time.Second
		cfg.Capacity.OrderLag = 500 * time.Millisecond
		cfg.Capacity.DrainSettle = 300 * time.Millisecond
		b := startBox(ctx, cfg)
		victim := b.Instances()[0].Loop.Snapshot().RoutingTable.Targets("desk")[0].ID
		b.Orders.Crash(victim)
		Eventually(func() bool { return b.stopped(victim) }).WithTimeout(eventually).Should(BeTrue())
		Eventually(b.totalRunning).WithTimeout(eventually).Should(Equal(1))
		b.expectOrdersInCharge()
	})
})
