// Package admit decides when a request may be sent to a target. Engines accept
// every request and have no priorities, so the instance that owns a target keeps one
// bounded queue for it, with weighted fair queueing across client accounts and
// trainers.
//
// The queue uses start-time fair queueing on two levels, each with its own virtual
// time: requests are granted in the order of their virtual start times. Between the
// classes, samples have a guaranteed share of the cost and callers have the rest.
// Within a class every flow has a FIFO queue, and the flow with the smallest virtual
// start is next. The cost of a request is its tokens: it is charged its estimated cost
// when it is granted, and the difference to its true cost when it ends.
//
// The package has no clock and no locks. Its user passes the time, serialises the
// calls, and must call Finish for every granted request.
package admit

import (
	"fmt"
	"time"
)

// Class is a traffic class: requests of callers, or samples for trainers.
type Class uint8

// The classes. On equal virtual start times a caller's request is granted before a sample.
const (
	ClassCaller Class = iota
	ClassSample
	numClasses
)

// Request asks for one slot at the target.
type Request struct {
	ID       uint64
	Flow     string  // client account or trainer
	Weight   float64 // of the flow, greater than zero
	Cost     float64 // estimated tokens
	Class    Class
	Deadline time.Duration // reading of the owner's clock; zero: none
}

// Reason is why a request was refused. A refused request was never granted.
type Reason uint8

// The reasons.
const (
	QueueFull Reason = iota + 1
	DeadlinePassed
	TargetLeaving    // the queue is suspended
	NotOwner         // the instance does not own the target, or no longer
	DeadlineTooClose // the estimated wait ends after the deadline
)

// String returns the reason's name in errors and events.
func (r Reason) String() string {
	switch r {
	case QueueFull:
		return "queue full"
	case DeadlinePassed:
		return "deadline passed"
	case TargetLeaving:
		return "target leaving"
	case NotOwner:
		return "not the owner"
	case DeadlineTooClose:
		return "deadline too close"
	default:
		return fmt.Sprintf("reason %d", uint8(r))
	}
}

// Decision reports that a request was granted (Reason is zero) or refused.
type Decision struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration // if refused: estimated time until a slot is free; zero: unknown
}

// Limits holds the limits and shares of one target's queue.
type Limits struct {
	Concurrency   int // slots: most requests granted at the same time
	Queue         int // most requests waiting
	CallerReserve int // slots that samples must leave free
	// IdleCredit is how far a flow that returns from idle may run ahead of the others, in
	// rounds. A round is one request of mean cost in each slot.
	IdleCredit  float64
	SampleShare float64 // share of the cost for samples while callers wait, in (0, 1)
}

// Queue is one target's admission queue. New creates one; the zero value is not
// usable. It is not safe for concurrent use.
type Queue struct {
	limits      Limits
	virtualTime float64 // virtual time between the classes
	classes     [numClasses]*class
	waitByID    map[uint64]*item
	granted     map[uint64]*grant
	suspended   bool
	seq         uint64
	meanHold    float64 // moving average of the time that a slot is held, in seconds
}

type item struct {
	Request
	seq uint64
}

type grant struct {
	flow       *flow
	class      Class
	cost       float64 // estimated
	grantedAt  time.Duration
	flowEpoch  int // epoch of the flow at the grant
	classEpoch int // epoch of the class at the grant
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	q := &Queue{waitByID: map[uint64]*item{}, granted: map[uint64]*grant{}}
	for c := range q.classes {
		q.classes[c] = newClass()
	}
	q.SetLimits(limits)
	return q
}

// SetLimits sets the limits for later decisions. A SampleShare outside (0, 1) is
// replaced by defaultSampleShare.
func (q *Queue) SetLimits(l Limits) {
	q.limits = l
	share := l.SampleShare
	if share <= 0 || share >= 1 {
		share = defaultSampleShare
	}
	q.classes[ClassCaller].share = 1 - share
	q.classes[ClassSample].share = share
}

// defaultSampleShare applies if the limits set no sample share.
const defaultSampleShare = 0.2

// Submit adds a request and returns the resulting decisions, which may concern other
// requests too. The request is refused if the queue is suspended, if its deadline has
// passed or if its estimated wait ends after the deadline. A full queue drops the
// newest request of the flow with the largest backlog divided by its weight, or the
// new request if that is its own flow.
func (q *Queue) Submit(now time.Duration, r Request) []Decision {
	wait := q.EstimateWait(r.Flow, r.Weight, r.Class)
	switch {
	case q.suspended:
		return []Decision{{ID: r.ID, Reason: TargetLeaving}}
	case r.Deadline > 0 && now >= r.Deadline:
		return []Decision{{ID: r.ID, Reason: DeadlinePassed, RetryAfter: wait}}
	case r.Deadline > 0 && now+wait > r.Deadline:
		return []Decision{{ID: r.ID, Reason: DeadlineTooClose, RetryAfter: wait}}
	}
	var out []Decision
	if len(q.waitByID) >= q.limits.Queue && !q.hasSlot(r.Class) {
		victim := q.evictionCandidate(r)
		if victim == nil {
			return []Decision{{ID: r.ID, Reason: QueueFull, RetryAfter: wait}}
		}
		q.remove(victim)
		out = append(out, Decision{victim.ID, QueueFull, q.EstimateWait(victim.Flow, victim.Weight, victim.Class)})
	}
	q.push(r)
	return append(out, q.dispatch(now)...)
}

// hasSlot reports whether a request of the class would be granted immediately.
func (q *Queue) hasSlot(c Class) bool {
	return len(q.granted) < q.limits.Concurrency && q.classes[c].waiting == 0 && q.mayGrant(c)
}

// Cancel removes a waiting request and reports whether it was waiting.
func (q *Queue) Cancel(id uint64) bool {
	it, ok := q.waitByID[id]
	if ok {
		q.remove(it)
	}
	return ok
}

// Finish ends a granted request, charges its flow and class the difference between
// true and estimated cost, and returns the grants of waiting requests that follow. An
// unknown id is ignored.
func (q *Queue) Finish(now time.Duration, id uint64, cost float64) []Decision {
	g, ok := q.granted[id]
	if !ok {
		return nil
	}
	delete(q.granted, id)
	q.observeHold(now - g.grantedAt)
	c := q.classes[g.class]
	c.inFlight--
	c.adjustCost(g, cost-g.cost)
	c.requestEnded(g.flow)
	q.resetIfIdle()
	return q.dispatch(now)
}

// Suspend refuses all waiting requests, and new ones until Resume. Granted requests
// keep their slots until Finish.
func (q *Queue) Suspend() []Decision {
	q.suspended = true
	return q.RejectWaiting(TargetLeaving)
}

// Resume lets a suspended queue accept requests again.
func (q *Queue) Resume() { q.suspended = false }

// RejectWaiting refuses all waiting requests for the given reason.
func (q *Queue) RejectWaiting(reason Reason) []Decision {
	var out []Decision
	for id, it := range q.waitByID {
		q.remove(it)
		out = append(out, Decision{ID: id, Reason: reason})
	}
	return out
}

// Expire refuses waiting requests whose deadline has passed, and drops idle flows
// that no longer affect scheduling.
func (q *Queue) Expire(now time.Duration) []Decision {
	var out []Decision
	for id, it := range q.waitByID {
		if it.Deadline == 0 || now < it.Deadline {
			continue
		}
		q.remove(it)
		out = append(out, Decision{ID: id, Reason: DeadlinePassed})
	}
	for _, c := range q.classes {
		c.dropIdle()
	}
	return out
}

// Load returns the numbers of granted and waiting requests.
func (q *Queue) Load() (granted, waiting int) { return len(q.granted), len(q.waitByID) }

// ClassLoad returns the number of the class's requests, granted and waiting together.
func (q *Queue) ClassLoad(c Class) int {
	n := q.classes[c].waiting
	for _, g := range q.granted {
		if g.class == c {
			n++
		}
	}
	return n
}

// EstimateWait estimates how long a new request of the flow would wait: its position
// in the order of grants, times the mean time that a slot is held, divided by the
// number of slots. While the other class has requests waiting, the position within the
// class is divided by the class's share. The result is zero if nothing waits and a slot
// is free, if Concurrency is zero, and until a first request has finished.
func (q *Queue) EstimateWait(name string, weight float64, class Class) time.Duration {
	if len(q.waitByID) == 0 && len(q.granted) < q.limits.Concurrency || q.limits.Concurrency == 0 {
		return 0
	}
	c := q.classes[class]
	position := min(c.position(name, weight), float64(c.waiting+1))
	if q.classes[1-class].waiting > 0 {
		position /= c.share
	}
	position = min(position, float64(len(q.waitByID)+1))
	return time.Duration(position * q.meanHold / float64(q.limits.Concurrency) * float64(time.Second))
}

// holdSmoothing is the weight of the latest request in the moving average of the
// hold time.
const holdSmoothing = 1.0 / 16

func (q *Queue) observeHold(held time.Duration) {
	if q.meanHold == 0 {
		q.meanHold = held.Seconds()
		return
	}
	q.meanHold += (held.Seconds() - q.meanHold) * holdSmoothing
}

func (q *Queue) push(r Request) {
	it := &item{Request: r, seq: q.seq}
	q.seq++
	q.waitByID[r.ID] = it
	c := q.classes[r.Class]
	c.push(it, q.virtualTime)
	c.setCredit(q.limits.IdleCredit, q.limits.Concurrency)
}

func (q *Queue) remove(it *item) {
	delete(q.waitByID, it.ID)
	q.classes[it.Class].remove(it)
}

// evictionCandidate returns the waiting request to drop in favour of r: the newest of
// the flow with the largest normalised backlog. It returns nil if r's own flow, with r
// added, would have at least that backlog: then r itself is refused.
func (q *Queue) evictionCandidate(r Request) *item {
	var largest *flow
	var ownBacklog float64
	for i, c := range q.classes {
		for _, f := range c.backlog {
			if Class(i) == r.Class && f.name == r.Flow {
				ownBacklog = float64(len(f.queue))
			}
			if largest == nil || f.normalizedBacklog() > largest.normalizedBacklog() {
				largest = f
			}
		}
	}
	if largest == nil || (ownBacklog+1)/r.Weight >= largest.normalizedBacklog() {
		return nil
	}
	return largest.queue[len(largest.queue)-1]
}

// dispatch grants waiting requests in fair order while slots are free.
func (q *Queue) dispatch(now time.Duration) []Decision {
	var out []Decision
	for len(q.granted) < q.limits.Concurrency {
		class, f := q.next()
		if f == nil {
			break
		}
		c := q.classes[class]
		q.virtualTime = max(q.virtualTime, c.start)
		it := c.pop(f)
		delete(q.waitByID, it.ID)
		q.granted[it.ID] = &grant{flow: f, class: class, cost: it.Cost, grantedAt: now, flowEpoch: f.epoch, classEpoch: c.epoch}
		out = append(out, Decision{ID: it.ID})
	}
	return out
}

// next returns the class and the flow whose first request is granted next, or a nil
// flow. If both classes have a request that may be granted, the smaller virtual start
// decides. A class that has none, or that the caller reserve blocks, earns no credit for
// that time: its start advances to that of the other class.
func (q *Queue) next() (Class, *flow) {
	var samples *flow
	if q.mayGrant(ClassSample) {
		samples = q.classes[ClassSample].next()
	}
	callers := q.classes[ClassCaller].next()
	callerStart, sampleStart := q.classes[ClassCaller].start, q.classes[ClassSample].start
	switch {
	case callers == nil && samples == nil:
		return 0, nil
	case samples == nil:
		q.classes[ClassSample].advance(callerStart)
		return ClassCaller, callers
	case callers == nil:
		q.classes[ClassCaller].advance(sampleStart)
		return ClassSample, samples
	case callerStart <= sampleStart:
		return ClassCaller, callers
	default:
		return ClassSample, samples
	}
}

// mayGrant reports whether the caller reserve permits the class another slot.
func (q *Queue) mayGrant(c Class) bool {
	return c == ClassCaller || q.classes[ClassSample].inFlight < q.limits.Concurrency-q.limits.CallerReserve
}

// resetIfIdle resets virtual time and flows if no request is waiting or granted.
func (q *Queue) resetIfIdle() {
	if len(q.granted) > 0 || len(q.waitByID) > 0 {
		return
	}
	q.virtualTime = 0
	for _, c := range q.classes {
		c.reset()
	}
}
