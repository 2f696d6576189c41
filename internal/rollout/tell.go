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

// announceOutOfService sends the list of targets out of service to every instance, so that
// they get no new requests. Messages may be lost, so an unchanged list is repeated every
// announceInterval. The caller must hold mu.
func (d *Driver) announceOutOfService(ctx context.Context, s *control.Snapshot, outOfService []string) {
	now := d.Clock.Now()
	unchanged := slices.Equal(outOfService, d.announced)
	if d.announcedAt != 0 && unchanged && now-d.announcedAt < announceInterval {
		return
	}
	if !unchanged {
		d.Events.Record("targets out of service", events.F("count", fmt.Sprint(len(outOfService))), events.F("targets", strings.Join(outOfService, " ")))
	}
	d.announced, d.announcedAt = outOfService, now
	msg := OutOfServiceMessage{Term: d.term, Targets: outOfService}
	go d.Loop.SetOutOfService(ctx, msg.Term, msg.Targets)
	for _, p := range s.Peers {
		go d.sendOutOfService(ctx, p.Address, msg)
	}
}

// sendOutOfService sends the message to one peer.
func (d *Driver) sendOutOfService(ctx context.Context, address string, msg OutOfServiceMessage) {
	callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_ = d.Peers.Send(callCtx, address, peer.KindOutOfService, msg) // repeated after announceInterval
}
