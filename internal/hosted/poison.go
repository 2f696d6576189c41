package hosted

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
	// defaultRetention is used if the settings do not state how long the log keeps records.
	defaultRetention = time.Minute
)

// poisonGuard keeps callers' requests that crash their targets from being sent on; see
// core/poison. What one instance observes is in its ledger at once, and reaches the others
// through the log. Tasks of jobs and their score calls are never held: they are owed whatever
// crashes under them. It is safe for concurrent use.
type poisonGuard struct {
	instance    *Instance
	condemnedUp chan struct{} // a request was condemned

	mu     sync.Mutex
	ledger *poison.Ledger
}

func newPoisonGuard(in *Instance) *poisonGuard {
	return &poisonGuard{instance: in, condemnedUp: make(chan struct{}, 1), ledger: poison.NewLedger()}
}

// check returns the verdict on a request.
func (g *poisonGuard) check(p *plainRequest) poison.Verdict {
	if p.digest == nil || g.empty() {
		return poison.Verdict{}
	}
	d := p.digest()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Check(g.instance.Clock.Now(), d)
}

func (g *poisonGuard) empty() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Empty()
}

// targetCrashed records that the target crashed while it ran the requests.
func (g *poisonGuard) targetCrashed(t directory.Target, requests []lostRequest) {
	in := g.instance
	in.Metrics.TargetsCrashed.Inc()
	r := job.TargetCrashed{Target: t.ID, StartedAt: t.StartedAt}
	for _, lost := range requests {
		r.Requests = append(r.Requests, lost.digest)
		in.Log("target crashed", events.F("request", lost.id), events.F("digest", lost.digest.String()), events.F("target", t.ID),
			events.F("started_at", fmt.Sprint(t.StartedAt)), events.F("beside", fmt.Sprint(len(requests)-1)))
	}
	g.onCrash(r)
	in.AppendRecordAsync(job.Record{TargetCrashed: &r})
}

// served records that the request was served.
func (g *poisonGuard) served(p *plainRequest) {
	if p.digest == nil || g.empty() {
		return
	}
	d := p.digest()
	if g.onServed(d) {
		g.instance.AppendRecordAsync(job.Record{SuspectServed: &job.SuspectServed{Request: d}})
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
	condemned := g.ledger.Crashed(g.instance.Clock.Now(), poison.Target{ID: r.Target, StartedAt: r.StartedAt}, r.Requests)
	g.mu.Unlock()
	g.condemned(condemned, "target "+r.Target+" crashed")
}

func (g *poisonGuard) onServed(d poison.Digest) (known bool) {
	g.mu.Lock()
	known, condemned := g.ledger.Served(d)
	g.mu.Unlock()
	if known {
		g.instance.Metrics.SuspectsServed.Inc()
		g.instance.Log("suspect served", events.F("digest", d.String()))
	}
	g.condemned(condemned, "the requests beside it were served")
	return known
}

func (g *poisonGuard) onAnnounced(r job.Condemned) {
	var added []poison.Digest
	g.mu.Lock()
	for _, c := range r.Requests {
		if g.ledger.Announced(g.instance.Clock.Now(), poison.Announcement{Request: c.Digest, SinceLastCrash: time.Duration(c.SinceLastCrash) * time.Millisecond}) {
			added = append(added, c.Digest)
		}
	}
	g.mu.Unlock()
	g.condemned(added, "announced")
}

// condemned logs that requests are condemned and starts their announcements.
func (g *poisonGuard) condemned(requests []poison.Digest, reason string) {
	for _, d := range requests {
		g.instance.Metrics.Condemned.Inc()
		g.instance.Log("request condemned", events.F("digest", d.String()), events.F("reason", reason))
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
	in := g.instance
	retention := in.Settings.Store.Retention
	if retention <= 0 {
		retention = defaultRetention
	}
	interval := retention / announcementsPerRetention
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.condemnedUp:
		}
		for pending := true; pending && clock.Sleep(ctx, interval+in.Jitter(interval)); {
			pending = g.announce(interval)
		}
	}
}

// announce announces the requests that no instance has announced for interval. It reports
// whether there are condemned requests.
func (g *poisonGuard) announce(interval time.Duration) (pending bool) {
	g.mu.Lock()
	due, pending := g.ledger.Due(g.instance.Clock.Now(), interval)
	g.mu.Unlock()
	if len(due) == 0 {
		return pending
	}
	r := &job.Condemned{}
	for _, a := range due {
		r.Requests = append(r.Requests, job.CondemnedRequest{Digest: a.Request, SinceLastCrash: a.SinceLastCrash.Milliseconds()})
	}
	g.instance.AppendRecordAsync(job.Record{Condemned: r})
	g.instance.Log("condemned requests announced", events.F("requests", fmt.Sprint(len(due))))
	return pending
}

// refuseCondemned refuses a request that crashes its targets.
func (in *Instance) refuseCondemned(c *callerRequest, v poison.Verdict) {
	in.Metrics.CondemnedRefused.Inc()
	in.refuseFor(c, v.HeldFor, "targets crash under this request")
}
