package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/intake"
	"github.com/amaranthfold/amaranthfold/core/retry"
)

// Guards against hedges that come too late to help: callers expect an answer within 150 ms, and one
// request in three of the service is one that its target gives up after 1.08 s.
func TestRequestsThatTargetsGiveUpDoNotDelayHedges(t *testing.T) {
	const targetLatency = 150 * time.Millisecond
	queue := intake.NewQueue()
	queue.SetTargets([]intake.Target{{ID: "t", Slots: 6}})
	now := time.Second
	for i := range 60 {
		r := AttemptResult{Status: http.StatusOK, sentAt: now}
		took := 25 * time.Millisecond
		if i%3 == 2 {
			r.Status, took = http.StatusGatewayTimeout, 1080*time.Millisecond
		}
		queue.Sent(now, "t", "")
		now += took
		queue.Ended(now, "t", r.serviceTime(now), intake.Ran)
	}
	if delay := retry.HedgeDelay(queue.ServiceTime(now), targetLatency); delay > targetLatency/2 {
		t.Errorf("a slow request is sent a second time after %v, its answer is due after %v", delay, targetLatency)
	}
}
