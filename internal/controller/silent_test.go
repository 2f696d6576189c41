package controller_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/config"
)

var _ = Describe("An engine that crashes and no longer responds", func() {
	It("is replaced although the platform still lists it as running", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cfg := testConfig()
		cfg.Services = []config.Service{{
			Name: "desk", Kind: config.KindEngine, Model: "desk", MinTargets: 1, MaxTargets: 2, Concurrency: 8, QueueLimit: 8, CostPerHour: 1,
		}}
		cfg.Capacity.SilentAfter = time.Second
		cfg.Capacity.OrderLag = 500 * time.Millisecond
		cfg.Capacity.DrainSettle = 300 * time.Millisecond
		b := startFixture(ctx, cfg)
		target := b.Instances()[0].Loop.Snapshot().RoutingTable.Targets("desk")[0].ID
		b.Orders.Crash(target)
		Eventually(func() bool { return b.targetStopped(target) }).WithTimeout(eventuallyTimeout).Should(BeTrue())
		Eventually(b.runningTargets).WithTimeout(eventuallyTimeout).Should(Equal(1))
		b.expectOneSenderPerTerm()
	})
})
