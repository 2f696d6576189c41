package node

import (
	"context"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

// NoteResponse records what a target says of itself in the response to the request with the
// id, sent at sentAt: that it leaves, or how many requests it takes. The registry says the
// first later, or not at all while it is unavailable, and the second never.
func (n *Node) NoteResponse(ctx context.Context, t directory.Target, h platform.ResponseHeader, id string, sentAt time.Duration) {
	n.Links.Heard()
	if h.Leaving {
		n.noteLeaving(ctx, t)
	}
	// A response to another request may be late, and the limit that it lacks named since.
	answersRequest := h.RequestID == id && (h.NotRun || h.Signature != "")
	switch {
	case h.Limit.Err != nil:
		n.Log("target limit unreadable", events.F("target", t.ID), events.F("error", h.Limit.Err.Error()))
	case h.Limit.Stated:
		n.noteLimit(ctx, t, h.Limit.PerSecond)
	case answersRequest && n.isLimited(t):
		n.noteNoLimit(ctx, t, sentAt)
	}
	if h.Limit.Stated || answersRequest {
		n.probes.noteAnswer(t.ID, sentAt)
	}
}

// noteLeaving keeps requests from a target that leaves.
func (n *Node) noteLeaving(ctx context.Context, t directory.Target) {
	n.StateLoop.Do(ctx, func() {
		if n.StateLoop.targets.SetLeaving(n.Clock.Now(), t.ID, t.StartedAt) {
			n.Log("target leaving", events.F("target", t.ID))
			n.StateLoop.publish()
		}
	})
}

func (n *Node) noteLimit(ctx context.Context, t directory.Target, perSecond float64) {
	n.StateLoop.Do(ctx, func() {
		if n.StateLoop.targets.SetLimit(n.Clock.Now(), t.ID, t.StartedAt, perSecond) {
			n.Metrics.limitsNamed.Inc()
			n.Log("target limit named", events.F("target", t.ID), events.F("per_second", fmt.Sprint(perSecond)))
			n.StateLoop.publish()
		}
	})
}

func (n *Node) noteNoLimit(ctx context.Context, t directory.Target, sentAt time.Duration) {
	n.StateLoop.Do(ctx, func() {
		if n.StateLoop.targets.LiftLimit(t.ID, t.StartedAt, sentAt) {
			n.Log("target limit lifted", events.F("target", t.ID))
			n.StateLoop.publish()
		}
	})
}

// isLimited reports whether the target has named a limit, by the latest view.
func (n *Node) isLimited(t directory.Target) bool {
	latest, found := n.CurrentView().Target(t.ID)
	return found && latest.Limited
}
