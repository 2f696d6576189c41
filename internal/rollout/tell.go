package rollout

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

// announceOutOfService makes every instance route round the targets that were taken out. Notes
// may be lost, so they are repeated.
func (d *Driver) announceOutOfService(ctx context.Context, s *control.Snapshot, out []string) {
	now := d.Clock.Now()
	same := slices.Equal(out, d.announced)
	if d.announcedAt != 0 && same && now-d.announcedAt < announceInterval {
		return
	}
	if !same {
		d.Events.Record("targets out of service", events.F("count", fmt.Sprint(len(out))), events.F("targets", strings.Join(out, " ")))
	}
	d.announced, d.announcedAt = out, now
	note := OutOfServiceMessage{Term: d.term, Targets: out}
	go d.Loop.SetOutOfService(ctx, note.Term, note.Targets)
	for _, p := range s.Peers {
		go d.sendOutOfService(ctx, p.Address, note)
	}
}

func (d *Driver) sendOutOfService(ctx context.Context, address string, note OutOfServiceMessage) {
	callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_ = d.Peers.Send(callCtx, address, peer.KindOutOfService, note) // the next one follows soon
}
