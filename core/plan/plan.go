// Package plan decides which targets to start, drain and stop, and what became of
// orders whose answers were lost. It performs no I/O: times, demand and what the
// platform lists are passed in.
//
// Two invariants hold for every decision. What the listed targets and the starts
// cost together is within the cost limit, or no start is in the decision. And a
// target is stopped only when it was drained, after which its owner reported that
// nothing runs there.
package plan

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// State is a target's state as planning sees it. Targets of every state cost.
type State uint8

// The states of a target.
const (
	Starting State = iota + 1 // ordered or starting
	Running
	Draining    // gets no new work; stopped once idle
	Terminating // the platform takes it, or a stop is under way
	Unreachable // ordered where the interface does not answer
)

// Target is a target that the platform lists or that an open order starts.
type Target struct {
	ID             string // empty while only ordered
	Service        string
	DataCentre     string
	Cheap          bool
	State          State
	FirstSeen      time.Duration // when it was first seen
	Load           int           // requests granted and waiting, as its owner reported
	LoadReportedAt time.Duration // when that was reported; zero: never
	DrainSince     time.Duration // when the drain was first seen
	Unresponsive   bool          // has not answered for so long that it is to be replaced
}

// serves reports whether the target counts as capacity, now or soon.
func (t *Target) serves() bool { return t.State == Starting || t.State == Running }

// Order is a wanted start or stop.
type Order struct {
	Action     record.Action
	Service    string
	DataCentre string
	Cheap      bool
	Target     string // for a stop
}

// Pool is where targets of one kind are ordered.
type Pool struct {
	Service    string
	DataCentre string
	Cheap      bool
}

// Input is what a decision is made from.
type Input struct {
	Now                    time.Duration // reading of the instance's clock
	WallTime               time.Time     // for schedules only
	Targets                []Target
	Demand                 map[string]Demand // by service
	UnreachableDataCentres map[string]bool   // data centres whose order interface does not answer
}

// Decision is what to do now.
type Decision struct {
	Starts      []Order
	Drains      []string // targets that get no new work from now on
	Stops       []Order
	CostLimited int // starts that the cost limit prevented
}

// Planner keeps what decisions remember of earlier ones. A new one, as after a
// change of the instance in charge, waits the whole time before it shrinks.
type Planner struct {
	surplusSince map[surplusKey]time.Duration
	lastOpenStep map[string]time.Duration // when a service last had an open step
	failures     map[Pool]backoff
}

type surplusKey struct {
	service string
	cheap   bool
}

type backoff struct {
	count int
	until time.Duration
}

// Back-off of a place whose starts fail.
const (
	firstBackoff   = 2 * time.Second
	maxBackoff     = 5 * time.Minute
	reclaimBackoff = 10 * time.Minute // no cheap starts where targets were reclaimed
	maxBackoffExp  = 8
)

// NewPlanner returns a planner that remembers nothing.
func NewPlanner() *Planner {
	return &Planner{surplusSince: map[surplusKey]time.Duration{}, lastOpenStep: map[string]time.Duration{}, failures: map[Pool]backoff{}}
}

// RecordStartFailure notes that a start in the place failed; further ones wait, longer each time.
func (p *Planner) RecordStartFailure(now time.Duration, at Pool) {
	f := p.failures[at]
	f.count = min(f.count+1, maxBackoffExp)
	f.until = now + min(firstBackoff<<(f.count-1), maxBackoff)
	p.failures[at] = f
}

// RecordStartSuccess notes that a start in the place was accepted.
func (p *Planner) RecordStartSuccess(at Pool) { delete(p.failures, at) }

// backOffReclaimed pauses cheap starts in data centres that take targets back.
func (p *Planner) backOffReclaimed(in *Input) {
	for i := range in.Targets {
		t := &in.Targets[i]
		if t.State != Terminating || !t.Cheap || t.DrainSince > 0 {
			continue
		}
		at := Pool{t.Service, t.DataCentre, true}
		p.failures[at] = backoff{count: p.failures[at].count, until: in.Now + reclaimBackoff}
	}
}

func (p *Planner) blocked(in *Input, at Pool) bool {
	return in.UnreachableDataCentres[at.DataCentre] || in.Now < p.failures[at].until
}

// Plan returns what to do now.
func (p *Planner) Plan(cfg *config.Config, in Input) Decision {
	p.backOffReclaimed(&in)
	for service, d := range in.Demand {
		if len(d.Steps) > 0 {
			p.lastOpenStep[service] = in.Now
		}
	}
	r := newRound(p, cfg, &in)
	for i := range cfg.Services {
		r.replaceUnresponsive(&cfg.Services[i])
	}
	for i := range cfg.Services {
		r.ensureMinimum(&cfg.Services[i])
	}
	for i := range cfg.Services {
		r.grow(&cfg.Services[i])
	}
	for i := range cfg.Services {
		r.shrink(&cfg.Services[i])
	}
	r.enforceCostLimit()
	r.stop()
	return r.out
}
