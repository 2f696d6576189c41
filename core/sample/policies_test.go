package sample_test

import (
	"fmt"
	"testing"
)

// spareGroups is a quarter of a step's groups (8 of 32), more than those of a step that
// have a straggler.
const spareGroups = groupsPerStep / 4

var (
	waitForAll = policy{name: "wait for all"}
	// selectedPolicy combines carry-over, waiting for expiring samples and resumption.
	// "hold" in the names of policies means waitForExpiring.
	selectedPolicy = policy{name: "carry over, hold, resume", groupsAhead: spareGroups, carryOver: true, waitForExpiring: true, resume: true}
	policies       = []policy{
		waitForAll,
		{name: "longest first, all known", predictedShare: 1},
		{name: "longest first, half known", predictedShare: 0.5},
		{name: "resume", resume: true},
		{name: "hedge", hedge: true},
		{name: "a step ahead", groupsAhead: groupsPerStep},
		{name: "carry over without hold", groupsAhead: spareGroups, carryOver: true},
		{name: "carry over, hold", groupsAhead: spareGroups, carryOver: true, waitForExpiring: true},
		{name: "carry over, hold, half known", groupsAhead: spareGroups, carryOver: true, waitForExpiring: true, predictedShare: 0.5},
		selectedPolicy,
	}
	// trainingTimes are the times that the trainer spends between two batches, in the
	// simulation's unit of time: an ordinary sample takes 200 to 260, a straggler 4,000
	// and more.
	trainingTimes = []float64{1000, 1500, 2500}
)

const modelEngines = 16

// With the selected policy the trainer is idle for at most a third of the time that it is
// with waitForAll, and every group is delivered. The simulation has no clock and a fixed
// seed, so its result is the same every time.
func TestStragglersIdleAThirdOfWaitingForAll(t *testing.T) {
	for _, trainingTime := range trainingTimes[1:] {
		base, got := waitForAll.run(modelEngines, trainingTime), selectedPolicy.run(modelEngines, trainingTime)
		if got.idle > base.idle/3 {
			t.Errorf("training %v: idle %.3f, waiting for all %.3f", trainingTime, got.idle, base.idle)
		}
		if got.starved > 0 {
			t.Errorf("training %v: %d groups were never delivered", trainingTime, got.starved)
		}
	}
}

// BenchmarkStragglers reports each policy's idle time as a ratio to waiting for all, the mean
// staleness, the wasted tokens and the starved groups.
func BenchmarkStragglers(b *testing.B) {
	for _, trainingTime := range trainingTimes {
		base := waitForAll.run(modelEngines, trainingTime)
		for _, p := range policies {
			b.Run(fmt.Sprintf("training=%v/%s", trainingTime, p.name), func(b *testing.B) {
				var r result
				for b.Loop() {
					r = p.run(modelEngines, trainingTime)
				}
				b.ReportMetric(r.idle/base.idle, "idle/wait-for-all")
				b.ReportMetric(r.staleness, "versions-old")
				b.ReportMetric(100*r.waste, "%wasted")
				b.ReportMetric(float64(r.starved), "starved")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
