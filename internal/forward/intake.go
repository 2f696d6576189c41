package forward

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/core/intake"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/node"
)

// refusalLinesPerSecond bounds the log lines of refused requests; the rest is counted in the next
// line. The metrics count all of them.
const refusalLinesPerSecond = 20

// intakes decides when plain requests are sent to the targets of their services (core/intake). It
// is safe for concurrent use.
type intakes struct {
	forwarder *Forwarder
	mu        sync.Mutex
	services  map[string]*serviceIntake
	lastID    uint64

	loggedSince time.Duration // start of the current second of log lines
	logged      int           // lines since then
	leftOut     int           // refusals without a line
}

// serviceIntake is the queue of a service with the goroutines that wait in it.
type serviceIntake struct {
	name    string
	queue   *intake.Queue
	view    *node.View // of the targets that the queue knows
	waiting map[uint64]chan intake.Decision
	timer   *time.Timer   // calls step
	stepAt  time.Duration // when the timer fires; zero: it is not set
}

func newIntakes(f *Forwarder) *intakes {
	return &intakes{forwarder: f, services: map[string]*serviceIntake{}}
}

// covers reports whether the requests of a kind are subject to a queue. A stream holds its slot
// for longer than its response takes to begin, and engines run tasks besides.
func (*intakes) covers(p *PlainRequest) bool { return p.Kind != catalog.Stream }

// service returns the queue of a service, with the targets of the latest view. It is called with
// mu held.
func (n *intakes) service(name string) *serviceIntake {
	s := n.services[name]
	if s == nil {
		s = &serviceIntake{name: name, queue: intake.NewQueue(), waiting: map[uint64]chan intake.Decision{}}
		n.services[name] = s
	}
	if view := n.forwarder.CurrentView(); view != s.view {
		s.view = view
		var targets []intake.Target
		for i := range view.Targets {
			if t := &view.Targets[i]; t.Service == name && t.Ready {
				targets = append(targets, intake.Target{ID: t.ID, Slots: t.Slots})
			}
		}
		s.queue.SetTargets(targets)
	}
	return s
}

// admit waits until the request may be sent or is refused. again is set after an attempt. If ctx
// ends first, the verdict is Wait. After Send, sent or withdrawn must follow.
func (n *intakes) admit(ctx context.Context, p *PlainRequest, deadline time.Duration, again bool) intake.Decision {
	n.mu.Lock()
	s := n.service(p.Service)
	n.lastID++
	id, arrived := n.lastID, n.forwarder.Clock.Now()
	d := s.queue.Arrive(arrived, intake.Request{ID: id, Account: p.account, Deadline: deadline, Again: again})
	if d.Verdict != intake.Wait {
		n.mu.Unlock()
		return d
	}
	decided := make(chan intake.Decision, 1)
	s.waiting[id] = decided
	n.step(s)
	n.mu.Unlock()
	n.forwarder.Metrics.CountCallWaiting(p.account)
	defer func() { n.forwarder.Metrics.ObserveCallWait(p.account, n.forwarder.Clock.Now()-arrived) }()
	select {
	case d = <-decided:
		return d
	case <-ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case d = <-decided: // it was decided at the same time
		if d.Verdict == intake.Send {
			s.queue.Withdrawn(d.Target)
			n.step(s)
		}
	default:
		delete(s.waiting, id)
		s.queue.Left(id)
	}
	d.Verdict = intake.Wait
	return d
}

// step passes the decisions that are due to the requests that wait, and sets the timer for the
// next ones. It is called with mu held.
func (n *intakes) step(s *serviceIntake) {
	now := n.forwarder.Clock.Now()
	for _, d := range s.queue.Step(now) {
		if waiting := s.waiting[d.ID]; waiting != nil {
			delete(s.waiting, d.ID)
			waiting <- d
		}
	}
	at, waiting := s.queue.Next(now)
	switch {
	case !waiting:
		return
	case s.timer == nil:
		s.timer = time.AfterFunc(at-now, func() { n.onTimer(s) })
	case s.stepAt == 0 || at < s.stepAt:
		s.timer.Reset(max(0, at-now))
	default:
		return
	}
	s.stepAt = max(1, at)
}

func (n *intakes) onTimer(s *serviceIntake) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s.stepAt = 0
	n.step(n.service(s.name))
}

// sent records that a request is on its way to a target. granted is the target of its decision;
// empty: there was none. It reports false if the request must go to the granted one, as the other
// has no free slot any more.
func (n *intakes) sent(p *PlainRequest, target, granted string) bool {
	if !n.covers(p) {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.service(p.Service).queue.Sent(n.forwarder.Clock.Now(), target, granted)
}

// withdrawn records that a request is not sent after all.
func (n *intakes) withdrawn(p *PlainRequest, granted string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.service(p.Service)
	s.queue.Withdrawn(granted)
	n.step(s)
}

// ended records the result of an attempt at a target; an attempt that was not sent has neither
// an answer nor a failure.
func (n *intakes) ended(ctx context.Context, p *PlainRequest, r *AttemptResult, sent bool) {
	if !n.covers(p) {
		return
	}
	outcome := intake.Canceled
	switch {
	case !sent:
	case r.Err != nil:
		if ctx.Err() == nil {
			outcome = intake.Failed
		}
	case r.Outcome == retry.NotRun:
		outcome = intake.Refused
	default:
		outcome = intake.Ran
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.forwarder.Clock.Now()
	s := n.service(p.Service)
	s.queue.Ended(now, r.Target.ID, r.serviceTime(now), outcome)
	n.step(s)
}

// serviceTime returns how long the target took for an attempt that has ended; zero: it failed. A
// target that gives up a request at the end of its time says nothing of how long others take.
//
// Load pattern: one route in several of a service has requests that take longer than its timeout,
// while those of the others take a fiftieth of it and are sent a second time when they are slow.
func (r *AttemptResult) serviceTime(now time.Duration) time.Duration {
	if r.Status >= http.StatusInternalServerError {
		return 0
	}
	return now - r.sentAt
}

// full returns the targets of the request's service that are not known to have a free slot, and
// whether requests wait for one.
func (n *intakes) full(p *PlainRequest) (targets map[string]bool, waiting bool) {
	if !n.covers(p) {
		return nil, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.service(p.Service)
	now := n.forwarder.Clock.Now()
	_, waiting = s.queue.Next(now)
	return s.queue.Full(now), waiting
}

// serviceTime returns how long a request of the service takes at a target.
func (n *intakes) serviceTime(p *PlainRequest) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.service(p.Service).queue.ServiceTime(n.forwarder.Clock.Now())
}

// refusal returns the decision on a request that targets have refused too often.
func (n *intakes) refusal(p *PlainRequest) intake.Decision {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.service(p.Service).queue.Refusal(n.forwarder.Clock.Now(), p.account)
}

// refuseForRoom responds that no slot is free for the request before its deadline.
func (f *Forwarder) refuseForRoom(c *CallerRequest, p *PlainRequest, d intake.Decision) {
	f.Metrics.CountNotAdmitted(p.account)
	delay := intake.RetryAfter(d.ExpectedWait, float64(f.Rand64()%1000)/1000)
	if leftOut, logs := f.intakes.logsRefusal(); logs {
		f.Log("request not admitted", events.F("request", c.ID), events.F("account", p.account), events.F("service", p.Service),
			events.F("expected_wait", d.ExpectedWait.Round(time.Millisecond).String()), events.F("service_time", d.ServiceTime.Round(time.Millisecond).String()),
			events.F("left", (c.deadline()-f.Clock.Now()).Round(time.Millisecond).String()), events.F("waiting", fmt.Sprint(d.Waiting)),
			events.F("in_flight", fmt.Sprint(d.InFlight)), events.F("slots", fmt.Sprint(d.Slots)),
			events.F("refusal_age", d.RefusalAge.Round(time.Millisecond).String()), events.F("retry_after", delay.Round(time.Millisecond).String()),
			events.F("left_out", fmt.Sprint(leftOut)))
	}
	f.refuseFor(c, delay, "no target has a free slot before the deadline")
}

// logsRefusal reports whether a refusal gets a log line, and how many before it got none.
func (n *intakes) logsRefusal() (leftOut int, logs bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.forwarder.Clock.Now()
	if now-n.loggedSince >= time.Second {
		n.loggedSince, n.logged = now, 0
	}
	if n.logged >= refusalLinesPerSecond {
		n.leftOut++
		return 0, false
	}
	leftOut, n.leftOut = n.leftOut, 0
	n.logged++
	return leftOut, true
}
