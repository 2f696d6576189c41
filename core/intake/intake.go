// Package intake decides for a plain request whether it is sent now, waits for a free slot, or
// is refused.
//
// Load pattern: a burst of several times the capacity of a plain service, most of it from one
// account, while targets refuse what finds no free slot. Sent again at short intervals until
// their deadlines, the requests fill the targets with refusals, are answered late or not at all,
// and come back together; the account with the most requests gets the most slots.
//
// A Queue holds what one instance knows of one service: its requests in flight, the service
// times and refusals that it has observed, and its requests that wait. It knows nothing of other
// instances but by the refusals of targets that their requests fill. The package performs no
// I/O; it is stepped with the time.
package intake

import (
	"slices"
	"time"
)

// Target is a target that requests may be sent to.
type Target struct {
	ID    string
	Slots int // zero: unknown
}

// Request is a request that has arrived.
type Request struct {
	ID       uint64
	Account  string
	Deadline time.Duration // when its answer is due
	// Again is set for a request that a target has refused: it keeps its turn.
	Again bool
}

// Verdict is what becomes of a request.
type Verdict uint8

// The verdicts.
const (
	Wait   Verdict = iota // a later Step decides
	Send                  // to Target, or another one that is not in Full; Sent or Withdrawn must follow
	Refuse                // it cannot be answered before its deadline
)

// Decision is the verdict on a request, with its inputs.
type Decision struct {
	ID      uint64
	Verdict Verdict
	// Target is the target that is expected to have a slot for the request; empty: no target is
	// known.
	Target string
	// ExpectedWait is the time until a slot is free for the request. ServiceTime is the expected
	// time from then on; zero: unknown.
	ExpectedWait, ServiceTime time.Duration
	Waiting                   int           // requests that wait here
	InFlight, Slots           int           // of this instance; of the targets
	RefusalAge                time.Duration // since the latest refusal by a target; negative: none
}

// Queue holds the requests of an instance to one service. It is not safe for concurrent use.
type Queue struct {
	targets   map[string]*target
	service   estimate
	flow      flow
	accounts  map[string]*account
	waiting   int
	refusedAt time.Duration // latest refusal by a target; negative: none
	// Outcomes of the latest requests, with decaying weights.
	ran, refused float64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{targets: map[string]*target{}, accounts: map[string]*account{}, refusedAt: -1}
}

// SetTargets replaces the targets that requests may be sent to.
func (q *Queue) SetTargets(targets []Target) {
	ids := map[string]bool{}
	for _, t := range targets {
		ids[t.ID] = true
		known := q.targets[t.ID]
		if known == nil {
			known = &target{id: t.ID}
			q.targets[t.ID] = known
		}
		known.slots, known.gone = max(0, t.Slots), false
	}
	for id, t := range q.targets {
		if !ids[id] {
			t.gone = true
			if t.inFlight == 0 {
				delete(q.targets, id)
			}
		}
	}
}

// Arrive adds a request and decides about it. If it waits, a later Step decides.
func (q *Queue) Arrive(now time.Duration, r Request) Decision {
	if r.Deadline <= now {
		return q.decision(now, r.ID, Refuse, nil, q.Expect(now, r.Account))
	}
	if q.waiting == 0 || len(q.targets) == 0 {
		if t := q.room(now); t != nil || len(q.targets) == 0 {
			t.reserve(now)
			return q.decision(now, r.ID, Send, t, 0)
		}
	}
	a := q.account(r.Account)
	at := len(a.requests)
	if r.Again {
		at = 0
	}
	a.requests = slices.Insert(a.requests, at, r)
	if len(a.requests) == 1 {
		a.turn = max(a.turn, q.firstTurn(r.Account))
	}
	if r.Again {
		a.turn-- // it has not had its turn
	}
	q.waiting++
	wait := q.expectedWait(now, at)
	if now+wait+q.service.value(now) > r.Deadline && q.room(now) == nil {
		q.remove(a, at)
		return q.decision(now, r.ID, Refuse, nil, wait)
	}
	return q.decision(now, r.ID, Wait, nil, wait)
}

// Expect returns the time until a further request of the account would get a slot.
func (q *Queue) Expect(now time.Duration, accountName string) time.Duration {
	position := 0
	if a := q.accounts[accountName]; a != nil {
		position = len(a.requests)
	}
	return q.expectedWait(now, position)
}

// Refusal returns the decision to refuse a request of an account that targets have refused.
func (q *Queue) Refusal(now time.Duration, account string) Decision {
	return q.decision(now, 0, Refuse, nil, q.Expect(now, account))
}

// Step returns the requests that wait no longer: those that are sent, and those that cannot be
// answered before their deadlines any more.
func (q *Queue) Step(now time.Duration) []Decision {
	var out []Decision
	for q.waiting > 0 {
		t := q.room(now)
		if t == nil && len(q.targets) > 0 {
			break
		}
		a := q.nextAccount()
		r := a.requests[0]
		a.turn++
		q.remove(a, 0)
		t.reserve(now)
		out = append(out, q.decision(now, r.ID, Send, t, 0))
	}
	if q.waiting == 0 {
		return out
	}
	service := q.service.value(now)
	for _, name := range q.names() {
		a := q.accounts[name]
		for i := len(a.requests) - 1; i >= 0; i-- {
			r := a.requests[i]
			if wait := q.expectedWait(now, i); now+wait+service > r.Deadline {
				q.remove(a, i)
				out = append(out, q.decision(now, r.ID, Refuse, nil, wait))
			}
		}
	}
	return out
}

// Next returns when Step is due if nothing else happens. It returns false if no request waits.
func (q *Queue) Next(now time.Duration) (at time.Duration, waiting bool) {
	if q.waiting == 0 {
		return 0, false
	}
	at = now + maxInterval
	for _, t := range q.targets {
		if !t.gone {
			at = min(at, t.nextProbe(now))
		}
	}
	service := q.service.value(now)
	for _, a := range q.accounts {
		for _, r := range a.requests {
			at = min(at, r.Deadline-service+1)
		}
	}
	return max(at, now), true
}

// Sent records that a request is on its way to a target. granted is the one that the decision
// named; empty: there was no decision. Sent reports false and records nothing if another target
// than the granted one was chosen and has no free slot any more: the request must go to the granted
// one.
func (q *Queue) Sent(now time.Duration, id, granted string) bool {
	t := q.targets[id]
	if t != nil && id != granted && q.targets[granted] != nil && !t.mayHaveRoom(now) {
		return false
	}
	q.Withdrawn(granted)
	if t != nil {
		if id != granted {
			t.use(now)
		}
		t.inFlight++
	}
	return true
}

// Withdrawn records that a request is not sent although a decision named a target for it.
func (q *Queue) Withdrawn(granted string) {
	if t := q.targets[granted]; t != nil {
		t.reserved = max(0, t.reserved-1)
	}
}

// Outcome is how a request to a target ended.
type Outcome uint8

// The outcomes.
const (
	Canceled Outcome = iota // by this instance, or not sent: it says nothing of the target
	Failed                  // there is no answer
	Ran                     // the target has answered, so a slot is free
	Refused                 // the target has not run it for lack of a free slot
)

// Ended records the end of a request that was sent to a target. took is its service time; zero: it
// is not known, as the target gave up.
func (q *Queue) Ended(now time.Duration, id string, took time.Duration, outcome Outcome) {
	switch outcome {
	case Ran:
		if took > 0 {
			q.service.observe(now, took)
		}
		q.flow.add(now)
		q.ran, q.refused = outcomeWeight*q.ran+1, outcomeWeight*q.refused
	case Refused:
		q.refusedAt = now
		q.ran, q.refused = outcomeWeight*q.ran, outcomeWeight*q.refused+1
	case Failed, Canceled:
	}
	t := q.targets[id]
	if t == nil {
		return
	}
	t.ended(now, q.service.value(now), outcome)
	if t.gone && t.inFlight == 0 {
		delete(q.targets, id)
	}
}

// Left removes a request that waits, as its caller has gone.
func (q *Queue) Left(id uint64) {
	for _, a := range q.accounts {
		for i, r := range a.requests {
			if r.ID == id {
				q.remove(a, i)
				return
			}
		}
	}
}

// Full returns the targets that have no free slot as far as is known.
func (q *Queue) Full(now time.Duration) map[string]bool {
	out := map[string]bool{}
	for id, t := range q.targets {
		if !t.mayHaveRoom(now) {
			out[id] = true
		}
	}
	return out
}

// room returns the target with the most room, nil if none may have any. Targets that fail count
// only if all do: requests for full targets must not be sent in vain to one that has stopped.
func (q *Queue) room(now time.Duration) *target {
	var best, failing *target
	allFail := true
	for _, t := range q.targets {
		switch {
		case t.gone:
		case t.fails(now):
			if t.mayHaveRoom(now) && (failing == nil || t.before(failing)) {
				failing = t
			}
		default:
			allFail = false
			if t.mayHaveRoom(now) && (best == nil || t.before(best)) {
				best = t
			}
		}
	}
	if allFail {
		return failing
	}
	return best
}

// expectedWait returns the time until an account's request at a position gets a slot. The
// accounts take turns, so those ahead are as many of each account at most.
func (q *Queue) expectedWait(now time.Duration, position int) time.Duration {
	ahead := 0
	for _, other := range q.accounts {
		ahead += min(len(other.requests), position+1)
	}
	ahead = max(1, ahead)
	perSecond := q.perSecond(now)
	if perSecond <= 0 {
		return 0 // nothing is known
	}
	return min(time.Duration(float64(ahead)/perSecond*float64(time.Second)), maxExpectedWait)
}

// ServiceTime returns the mean time that a request took at a target lately, or the one that is
// assumed before any has been observed.
func (q *Queue) ServiceTime(now time.Duration) time.Duration {
	if service := q.service.value(now); service > 0 {
		return service
	}
	return defaultService
}

// perSecond returns how many requests a second find a slot while the targets are full; zero:
// unknown. It is the highest of the rate of the latest answers, of the requests in flight and of
// the next probes: each of them is low for a moment where few requests arrive, and what is refused
// by mistake is not served.
func (q *Queue) perSecond(now time.Duration) float64 {
	inFlight, probes := 0, 0.0
	for _, t := range q.targets {
		inFlight += t.inFlight
		if !t.gone && t.full(now) {
			probes += 1 / t.interval().Seconds()
		}
	}
	return max(q.flow.perSecond(now), float64(inFlight)/q.ServiceTime(now).Seconds(), probes*q.success())
}

// success returns the share of the latest requests that found a slot, at first a half.
func (q *Queue) success() float64 { return (1 + q.ran) / (2 + q.ran + q.refused) }

// outcomeWeight is the weight by which a new outcome reduces those before it.
const outcomeWeight = 0.95

// maxExpectedWait bounds the expected wait: an estimate from few observations must not keep a
// caller away for long.
const maxExpectedWait = 10 * time.Second

func (q *Queue) decision(now time.Duration, id uint64, v Verdict, t *target, wait time.Duration) Decision {
	d := Decision{ID: id, Verdict: v, ExpectedWait: wait, ServiceTime: q.service.value(now), Waiting: q.waiting, RefusalAge: -1}
	if t != nil {
		d.Target = t.id
	}
	if q.refusedAt >= 0 {
		d.RefusalAge = now - q.refusedAt
	}
	for _, t := range q.targets {
		d.InFlight += t.inFlight
		if !t.gone {
			d.Slots += t.slots
		}
	}
	return d
}

// RetryAfter returns the delay after which a refused request may come back: the expected wait
// on average, spread by jitter, from 0 to 1, so that callers do not come back together.
func RetryAfter(expectedWait time.Duration, jitter float64) time.Duration {
	return max(minRetryAfter, time.Duration((0.5+jitter)*float64(expectedWait)))
}

// minRetryAfter is the shortest Retry-After: the service times of plain requests are of this
// size.
const minRetryAfter = 20 * time.Millisecond
