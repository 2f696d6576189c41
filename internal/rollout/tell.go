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

// tell makes every instance route round the targets that were taken out. Notes
// may be lost, so they are repeated.
func (d *Driver) tell(ctx context.Context, s *control.Snapshot, out []string) {
	now := d.Clock.Now()
	same := slices.Equal(out, d.told)
	if d.toldAt != 0 && same && now-d.toldAt < tellInterval {
		return
	}
	if !same {
		d.Events.Record("targets out of service", events.F("count", fmt.Sprint(len(out))), events.F("targets", strings.Join(out, " ")))
	}
	d.told, d.toldAt = out, now
	note := Note{Term: d.term, Targets: out}
	go d.Loop.SetUnfit(ctx, note.Term, note.Targets)
	for _, p := range s.Peers {
		go d.notify(ctx, p.Address, note)
	}
}

func (d *Driver) notify(ctx context.Context, address string, note Note) {
	callCtx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	_ = d.Peers.Send(callCtx, address, peer.KindUnfit, note) // the next one follows soon
}
