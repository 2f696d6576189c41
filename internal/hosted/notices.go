package hosted

import (
	"context"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

// noteResponse records what a target says of itself in the response to the request with the
// id, sent at sentAt: that it leaves, or how many requests it takes. The registry says the
// first later, or not at all while it is unavailable, and the second never.
func (in *Instance) noteResponse(ctx context.Context, t directory.Target, h platform.ResponseHeader, id string, sentAt time.Duration) {
	in.links.heard()
	if h.Leaving {
		in.noteLeaving(ctx, t)
	}
	// A response to another request may be late, and the limit that it lacks named since.
	answersRequest := h.RequestID == id && (h.NotRun || h.Signature != "")
	switch {
	case h.Limit.Err != nil:
		in.log("target limit unreadable", events.F("target", t.ID), events.F("error", h.Limit.Err.Error()))
	case h.Limit.Stated:
		in.noteLimit(ctx, t, h.Limit.PerSecond)
	case answersRequest && in.isLimited(t):
		in.noteNoLimit(ctx, t, sentAt)
	}
}

// noteLeaving keeps requests from a target that leaves.
func (in *Instance) noteLeaving(ctx context.Context, t directory.Target) {
	in.stateLoop.do(ctx, func() {
		if in.stateLoop.targets.SetLeaving(in.clock.Now(), t.ID, t.StartedAt) {
			in.log("target leaving", events.F("target", t.ID))
			in.stateLoop.publish()
		}
	})
}

func (in *Instance) noteLimit(ctx context.Context, t directory.Target, perSecond float64) {
	in.stateLoop.do(ctx, func() {
		if in.stateLoop.targets.SetLimit(in.clock.Now(), t.ID, t.StartedAt, perSecond) {
			in.metrics.limitsNamed.Inc()
			in.log("target limit named", events.F("target", t.ID), events.F("per_second", fmt.Sprint(perSecond)))
			in.stateLoop.publish()
		}
	})
}

func (in *Instance) noteNoLimit(ctx context.Context, t directory.Target, sentAt time.Duration) {
	in.stateLoop.do(ctx, func() {
		if in.stateLoop.targets.LiftLimit(t.ID, t.StartedAt, sentAt) {
			in.log("target limit lifted", events.F("target", t.ID))
			in.stateLoop.publish()
		}
	})
}

// isLimited reports whether the target has named a limit, by the latest view.
func (in *Instance) isLimited(t directory.Target) bool {
	latest, found := in.stateLoop.view.Load().target(t.ID)
	return found && latest.Limited
}
