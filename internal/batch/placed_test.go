package batch

import (
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/internal/node"
)

// Guards against a time of reclaim that moves on while the entry of the target stays the same,
// and against notices that are not sensible.
func TestReclaimedAt(t *testing.T) {
	r := reclaims{}
	at := func(now time.Duration, entry directory.Target) time.Duration {
		engines := []assign.Engine{{ID: "t"}}
		entry.ID = "t"
		r.set(now, &node.View{Targets: []directory.Target{entry}}, engines)
		return engines[0].ReclaimedAt
	}
	notice := directory.Target{HeartbeatSeq: 1, ReclaimedIn: 3 * time.Second}
	for _, now := range []time.Duration{10 * time.Second, 11 * time.Second} {
		if got := at(now, notice); got != 13*time.Second {
			t.Errorf("at %v: %v", now, got)
		}
	}
	notice.HeartbeatSeq, notice.ReclaimedIn = 2, 1500*time.Millisecond
	if got := at(12*time.Second, notice); got != 13500*time.Millisecond {
		t.Errorf("after a later heartbeat: %v", got)
	}
	for _, in := range []time.Duration{0, -time.Second, 1 << 62} {
		if got := at(12*time.Second, directory.Target{HeartbeatSeq: 3, ReclaimedIn: in}); got != 0 || len(r) > 0 {
			t.Errorf("in %v: %v", in, got)
		}
	}
}
