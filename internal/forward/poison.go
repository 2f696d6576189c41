package forward

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/poison"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	// announcementsPerRetention is how often condemned requests are announced while the log keeps
	// a record, so that an instance that starts finds an announcement.
	announcementsPerRetention = 4
)

// poisonGuard keeps callers' requests that crash their targets from being sent on; see
// core/poison. What one instance observes is in its ledger at once, and reaches the others
// through the log. Tasks of jobs and their score calls are never held: they are owed whatever
// crashes under them. It is safe for concurrent use.
type poisonGuard struct {
	forwarder   *Forwarder
	condemnedUp chan struct{} // a request was condemned

	mu     sync.Mutex
	ledger *poison.Ledger
}

func newPoisonGuard(f *Forwarder) *poisonGuard {
	return &poisonGuard{forwarder: f, condemnedUp: make(chan struct{}, 1), ledger: poison.NewLedger()}
}

// check returns the verdict on a request.
func (g *poisonGuard) check(p *PlainRequest) poison.Verdict {
	if p.digest == nil || g.empty() {
		return poison.Verdict{}
	}
	d := p.digest()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Check(g.forwarder.Clock.Now(), d)
}

func (g *poisonGuard) empty() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Empty()
}

// targetCrashed records that the target crashed while it ran the requests.
func (g *poisonGuard) targetCrashed(t directory.Target, requests []lostRequest) {
	f := g.forwarder
	f.Metrics.TargetsCrashed.Inc()
	r := job.TargetCrashed{Target: t.ID, StartedAt: t.StartedAt}
	for _, lost := range requests {
		r.Requests = append(r.Requests, lost.digest)
		f.Log("target crashed", events.F("request", lost.id), events.F("digest", lost.digest.String()), events.F("target", t.ID),
			events.F("started_at", fmt.Sprint(t.StartedAt)), events.F("beside", fmt.Sprint(len(requests)-1)))
	}
	g.onCrash(r)
	f.AppendRecordAsync(job.Record{TargetCrashed: &r})
}

// served records that the request was served.
func (g *poisonGuard) served(p *PlainRequest) {
	if p.digest == nil || g.empty() {
		return
	}
	d := p.digest()
	if g.onServed(d) {
		g.forwarder.AppendRecordAsync(job.Record{SuspectServed: &job.SuspectServed{Request: d}})
	}
}

// OnRecord applies a record of any instance, this one included.
func (g *poisonGuard) onRecord(r job.Record) {
	switch {
	case r.TargetCrashed != nil:
		g.onCrash(*r.TargetCrashed)
	case r.SuspectServed != nil:
		g.onServed(r.SuspectServed.Request)
	case r.Condemned != nil:
		g.onAnnounced(*r.Condemned)
	}
}

func (g *poisonGuard) onCrash(r job.TargetCrashed) {
	g.mu.Lock()
	condemned := g.ledger.Crashed(g.forwarder.Clock.Now(), poison.Target{ID: r.Target, StartedAt: r.StartedAt}, r.Requests)
	g.mu.Unlock()
	g.condemned(condemned, "target "+r.Target+" crashed")
	time.AfterFunc(poison.SettleTime, g.settle)
}

// settle condemns requests once it is known that they ran alone.
func (g *poisonGuard) settle() {
	g.mu.Lock()
	condemned, _ := g.ledger.Settle(g.forwarder.Clock.Now())
	g.mu.Unlock()
	g.condemned(condemned, "it ran alone on targets that crashed")
}

func (g *poisonGuard) onServed(d poison.Digest) (known bool) {
	g.mu.Lock()
	known, condemned := g.ledger.Served(g.forwarder.Clock.Now(), d)
	g.mu.Unlock()
	if known {
		g.forwarder.Metrics.SuspectsServed.Inc()
		g.forwarder.Log("suspect served", events.F("digest", d.String()))
	}
	g.condemned(condemned, "the requests beside it were served")
	return known
}

func (g *poisonGuard) onAnnounced(r job.Condemned) {
	var added []poison.Digest
	g.mu.Lock()
	for _, c := range r.Requests {
		if g.ledger.Announced(g.forwarder.Clock.Now(), poison.Announcement{Request: c.Digest, SinceLastCrash: time.Duration(c.SinceLastCrash) * time.Millisecond}) {
			added = append(added, c.Digest)
		}
	}
	g.mu.Unlock()
	g.condemned(added, "announced")
}

// condemned logs that requests are condemned and starts their announcements.
func (g *poisonGuard) condemned(requests []poison.Digest, reason string) {
	for _, d := range requests {
		g.forwarder.Metrics.Condemned.Inc()
		g.forwarder.Log("request condemned", events.F("digest", d.String()), events.F("reason", reason))
	}
	if len(requests) == 0 {
		return
	}
	select {
	case g.condemnedUp <- struct{}{}:
	default: // a notification is pending already
	}
}

// run announces the condemned requests until ctx ends. The instances wait for different times,
// and one that reads another's announcement makes none.
func (g *poisonGuard) run(ctx context.Context) error {
	f := g.forwarder
	interval := f.Retention() / announcementsPerRetention
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.condemnedUp:
		}
		for pending := true; pending && clock.Sleep(ctx, interval+f.Jitter(interval)); {
			pending = g.announce(interval)
		}
	}
}

// announce announces the requests that no instance has announced for interval. It reports
// whether there are condemned requests.
func (g *poisonGuard) announce(interval time.Duration) (pending bool) {
	g.mu.Lock()
	due, pending := g.ledger.Due(g.forwarder.Clock.Now(), interval)
	g.mu.Unlock()
	if len(due) == 0 {
		return pending
	}
	r := &job.Condemned{}
	for _, a := range due {
		r.Requests = append(r.Requests, job.CondemnedRequest{Digest: a.Request, SinceLastCrash: a.SinceLastCrash.Milliseconds()})
	}
	g.forwarder.AppendRecordAsync(job.Record{Condemned: r})
	g.forwarder.Log("condemned requests announced", events.F("requests", fmt.Sprint(len(due))))
	return pending
}

// refuseCondemned refuses a request that crashes its targets.
func (f *Forwarder) refuseCondemned(c *CallerRequest, v poison.Verdict) {
	f.Metrics.CondemnedRefused.Inc()
	f.refuseFor(c, v.HeldFor, "targets crash under this request")
}
