package sample_test

import (
	"fmt"
	"testing"
)

// spare groups are a quarter of a step: more than have a straggler.
const spare = groupsPerStep / 4

var (
	waitForAll = policy{name: "wait for all"}
	chosen     = policy{name: "carry over, hold, resume", ahead: spare, carryOver: true, hold: true, resume: true}
	policies   = []policy{
		waitForAll,
		{name: "longest first, all known", predicted: 1},
		{name: "longest first, half known", predicted: 0.5},
		{name: "resume", resume: true},
		{name: "hedge", hedge: true},
		{name: "a step ahead", ahead: groupsPerStep},
		{name: "carry over without hold", ahead: spare, carryOver: true},
		{name: "carry over, hold", ahead: spare, carryOver: true, hold: true},
		{name: "carry over, hold, half known", ahead: spare, carryOver: true, hold: true, predicted: 0.5},
		chosen,
	}
	// trainings are times between two batches, in tokens: an ordinary sample
	// takes 200 to 260, a straggler 4,000 and more.
	trainings = []float64{1000, 1500, 2500}
)

const modelEngines = 16

// The model has no clock and a fixed seed: its verdict is the same every time.
func TestStragglersIdleAThirdOfWaitingForAll(t *testing.T) {
	for _, train := range trainings[1:] {
		base, got := waitForAll.run(modelEngines, train), chosen.run(modelEngines, train)
		if got.idle > base.idle/3 {
			t.Errorf("training %v: idle %.3f, waiting for all %.3f", train, got.idle, base.idle)
		}
		if got.starved > 0 {
			t.Errorf("training %v: %d groups were never delivered", train, got.starved)
		}
	}
}

func BenchmarkStragglers(b *testing.B) {
	for _, train := range trainings {
		base := waitForAll.run(modelEngines, train)
		for _, p := range policies {
			b.Run(fmt.Sprintf("training=%v/%s", train, p.name), func(b *testing.B) {
				var r result
				for b.Loop() {
					r = p.run(modelEngines, train)
				}
				b.ReportMetric(r.idle/base.idle, "idle/wait-for-all")
				b.ReportMetric(r.stale, "versions-old")
				b.ReportMetric(100*r.waste, "%wasted")
				b.ReportMetric(float64(r.starved), "starved")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
