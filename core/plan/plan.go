// Package plan decides which targets to start, drain and stop, and determines the
// outcome of orders whose replies were lost. It performs no I/O: the caller passes in
// times, demand and the platform's lists, announces the orders in the log and sends them
// to the platform.
//
// Two invariants hold for every decision. A decision has starts only if the targets of
// the input and the starts together cost no more than the limit. A target is stopped
// only after it was drained and its owner has reported since then that nothing runs
// on it.
package plan

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// State is a target's state for planning. Targets in every state cost money.
type State uint8

// The states of a target.
const (
	Starting State = iota + 1 // ordered or starting
	Running
	Draining    // gets no new work; stopped when idle
	Terminating // reclaimed by the platform, or being stopped; not counted as capacity
	Unreachable // ordered, and the order interface is now unreachable; not counted as capacity
)

// Target is a target that the platform lists or that an open order will start.
type Target struct {
	ID             string // empty if only ordered
	Service        string
	DataCentre     string
	Cheap          bool
	State          State
	FirstSeen      time.Duration // when this instance first observed it
	Load           int           // requests granted and waiting, as reported by its owner
	LoadReportedAt time.Duration // when Load was reported; zero: never
	DrainSince     time.Duration // when this instance first observed the drain; zero: not drained
	Unresponsive   bool          // without a response for so long that it must be replaced
}

// serves reports whether the target counts as capacity, at present or when started.
func (t *Target) serves() bool { return t.State == Starting || t.State == Running }

// Order is a start or stop to be sent to the platform.
type Order struct {
	Action     record.Action
	Service    string
	DataCentre string
	Cheap      bool
	Target     string // id of the target to stop; empty for a start
}

// Pool identifies the targets of a service in a data centre, either cheap or on-demand.
type Pool struct {
	Service    string
	DataCentre string
	Cheap      bool
}

// Input holds the data for a decision.
type Input struct {
	Now                    time.Duration // reading of the instance's monotonic clock
	WallTime               time.Time     // for schedules only
	Targets                []Target
	Demand                 map[string]Demand // by service
	UnreachableDataCentres map[string]bool   // data centres whose order interface is unreachable
}

// Decision holds the actions of one planning pass.
type Decision struct {
	Starts      []Order
	Drains      []string // targets to drain, by id
	Stops       []Order
	CostLimited int // starts prevented by the cost limit
}

// Planner keeps the state between decisions: surplus timers, open steps and backoffs of
// failed starts. A new planner, as after a change of the lease holder, restarts the
// surplus timers, so scale-in waits a full ShrinkAfter. It is not safe for concurrent
// use.
type Planner struct {
	surplusSince map[surplusKey]time.Duration
	lastOpenStep map[string]time.Duration // by service: when it last had an open step
	backoffs     map[Pool]backoff
}

// surplusKey identifies the targets of a service of one kind, cheap or on-demand.
type surplusKey struct {
	service string
	cheap   bool
}

// backoff blocks the starts in a pool.
type backoff struct {
	count int           // consecutive failed starts, at most maxCountedFailures
	until time.Duration // clock reading at which starts are allowed again
}

// Backoff of a pool whose starts fail or whose targets were reclaimed.
const (
	initialBackoff     = 2 * time.Second
	maxBackoff         = 5 * time.Minute
	reclaimBackoff     = 10 * time.Minute // in a cheap pool after targets were reclaimed
	maxCountedFailures = 8
)

// NewPlanner returns a planner without state of earlier decisions.
func NewPlanner() *Planner {
	return &Planner{surplusSince: map[surplusKey]time.Duration{}, lastOpenStep: map[string]time.Duration{}, backoffs: map[Pool]backoff{}}
}

// RecordStartFailure records that a start in the pool failed. Further starts there are
// delayed by a backoff of at most maxBackoff, which doubles with each consecutive failure
// up to number maxCountedFailures.
func (p *Planner) RecordStartFailure(now time.Duration, pool Pool) {
	b := p.backoffs[pool]
	b.count = min(b.count+1, maxCountedFailures)
	b.until = now + min(initialBackoff<<(b.count-1), maxBackoff)
	p.backoffs[pool] = b
}

// RecordStartSuccess resets the backoff of the pool after an accepted start.
func (p *Planner) RecordStartSuccess(pool Pool) { delete(p.backoffs, pool) }

// backOffReclaimed blocks cheap starts in pools whose targets the platform reclaims.
// Targets that were drained before are not counted as reclaimed.
func (p *Planner) backOffReclaimed(in *Input) {
	for i := range in.Targets {
		t := &in.Targets[i]
		if t.State != Terminating || !t.Cheap || t.DrainSince > 0 {
			continue
		}
		pool := Pool{t.Service, t.DataCentre, true}
		p.backoffs[pool] = backoff{count: p.backoffs[pool].count, until: in.Now + reclaimBackoff}
	}
}

// blocked reports whether no start may be ordered in the pool.
func (p *Planner) blocked(in *Input, pool Pool) bool {
	return in.UnreachableDataCentres[pool.DataCentre] || in.Now < p.backoffs[pool].until
}

// Plan returns the decision for the input. In the order of the configuration, every
// service first gets its minimum; only then does any service get more.
func (p *Planner) Plan(cfg *config.Config, in Input) Decision {
	p.backOffReclaimed(&in)
	for service, d := range in.Demand {
		if len(d.Steps) > 0 {
			p.lastOpenStep[service] = in.Now
		}
	}
	r := newPass(p, cfg, &in)
	for i := range cfg.Services {
		r.replaceUnresponsive(&cfg.Services[i])
	}
	for i := range cfg.Services {
		r.ensureMinimum(&cfg.Services[i])
	}
	for i := range cfg.Services {
		r.scaleOut(&cfg.Services[i])
	}
	for i := range cfg.Services {
		r.scaleIn(&cfg.Services[i])
	}
	r.enforceCostLimit()
	r.stop()
	return r.decision
}
