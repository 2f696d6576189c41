// Package admit decides when a request may go to a target. Engines admit
// whatever arrives and know no priorities, so each target has one bounded queue
// at its owner, weighted fair across client accounts and trainers.
//
// The queue uses start-time fair queueing on two levels. Between the classes,
// samples have a guaranteed share of the cost and callers have the rest. Within
// a class every flow has a first-in first-out list; the flow with the least
// virtual start goes next. A request is charged its estimated cost when it is
// granted and the difference to its true cost when it ends.
package admit

import (
	"container/heap"
	"fmt"
	"time"
)

// Class orders kinds of traffic.
type Class uint8

// The classes. A caller's request goes before a sample with the same start.
const (
	ClassCaller Class = iota
	ClassSample
	numClasses
)

// Request asks for one slot at the target.
type Request struct {
	ID       uint64
	Flow     string  // client account or trainer
	Weight   float64 // share of the flow, more than zero
	Cost     float64 // estimated tokens
	Class    Class
	Deadline time.Duration // reading of the owner's clock; zero: none
}

// Reason tells why a request was refused. A refused request was never granted.
type Reason uint8

// The reasons.
const (
	QueueFull Reason = iota + 1
	DeadlinePassed
	TargetLeaving
	NotOwner
	DeadlineTooClose // the wait is likely to outlast the deadline
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

// Decision is a decision on one request: granted when Reason is zero.
type Decision struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration // of a refusal: likely time until a slot; zero: unknown
}

// Limits bound one target.
type Limits struct {
	Concurrency   int     // requests in flight
	Queue         int     // requests waiting
	CallerReserve int     // slots that samples never hold
	IdleCredit    float64 // rounds of all slots by which a flow that idled may go ahead of its share
	SampleShare   float64 // part of the cost that samples get while callers wait, between 0 and 1
}

// Queue is one target's admission queue. The zero value is not usable; see New.
type Queue struct {
	limits      Limits
	virtualTime float64 // virtual time between the classes
	classes     [numClasses]*class
	waitByID    map[uint64]*item
	granted     map[uint64]*grant
	suspended   bool
	seq         uint64
	meanHold    float64 // mean seconds that a slot is held
}

type item struct {
	Request
	seq uint64
}

type grant struct {
	flow       *flow
	class      Class
	cost       float64
	at         time.Duration
	flowEpoch  int
	classEpoch int
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

// SetLimits changes the limits for decisions from now on.
func (q *Queue) SetLimits(l Limits) {
	q.limits = l
	share := l.SampleShare
	if share <= 0 || share >= 1 {
		share = defaultSampleShare
	}
	q.classes[ClassCaller].share = 1 - share
	q.classes[ClassSample].share = share
}

// defaultSampleShare applies where the limits name none.
const defaultSampleShare = 0.2

// Submit adds a request and returns the decisions that follow. A full queue
// drops the latest request of the flow that waits with the most for its weight.
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

// hasSlot reports whether a request of the class would be granted at once.
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

// Finish ends a granted request and corrects its flow by the true cost.
func (q *Queue) Finish(now time.Duration, id uint64, cost float64) []Decision {
	g, ok := q.granted[id]
	if !ok {
		return nil
	}
	delete(q.granted, id)
	q.observeHold(now - g.at)
	c := q.classes[g.class]
	c.inFlight--
	c.adjustCost(g, cost-g.cost)
	c.requestEnded(g.flow)
	q.resetIfIdle()
	return q.dispatch(now)
}

// Suspend refuses everything that waits and all that comes until Resume. Granted
// requests run to their end.
func (q *Queue) Suspend() []Decision {
	q.suspended = true
	return q.RejectWaiting(TargetLeaving)
}

// Resume ends Leave.
func (q *Queue) Resume() { q.suspended = false }

// RejectWaiting refuses everything that waits.
func (q *Queue) RejectWaiting(reason Reason) []Decision {
	var out []Decision
	for id, it := range q.waitByID {
		q.remove(it)
		out = append(out, Decision{ID: id, Reason: reason})
	}
	return out
}

// Expire refuses waiting requests whose deadline has passed.
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

// ClassLoad returns the number of granted and waiting requests of a class.
func (q *Queue) ClassLoad(c Class) int {
	n := q.classes[c].waiting
	for _, g := range q.granted {
		if g.class == c {
			n++
		}
	}
	return n
}

// EstimateWait estimates how long one more request of the flow would wait: its place in
// fair order, times the mean time that a slot is held, over the slots.
func (q *Queue) EstimateWait(name string, weight float64, class Class) time.Duration {
	if len(q.waitByID) == 0 && len(q.granted) < q.limits.Concurrency || q.limits.Concurrency == 0 {
		return 0
	}
	c := q.classes[class]
	place := min(c.position(name, weight), float64(c.waiting+1))
	if q.classes[1-class].waiting > 0 {
		place /= c.share
	}
	place = min(place, float64(len(q.waitByID)+1))
	return time.Duration(place * q.meanHold / float64(q.limits.Concurrency) * float64(time.Second))
}

// holdSmoothing is the weight of the latest request in the mean hold time.
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

// evictionCandidate returns the request to drop in favour of r, or nil if r's own flow
// waits with the most for its weight.
func (q *Queue) evictionCandidate(r Request) *item {
	var most *flow
	var own float64
	for i, c := range q.classes {
		for _, f := range c.backlog {
			if Class(i) == r.Class && f.name == r.Flow {
				own = float64(len(f.queue))
			}
			if most == nil || f.normalizedBacklog() > most.normalizedBacklog() {
				most = f
			}
		}
	}
	if most == nil || (own+1)/r.Weight >= most.normalizedBacklog() {
		return nil
	}
	return most.queue[len(most.queue)-1]
}

// dispatch grants slots while there are some.
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
		q.granted[it.ID] = &grant{flow: f, class: class, cost: it.Cost, at: now, flowEpoch: f.epoch, classEpoch: c.epoch}
		out = append(out, Decision{ID: it.ID})
	}
	return out
}

// next returns the flow that goes next, of the class with the least start among
// those that may go, or nil. A class that a reserve holds back earns no credit
// for it.
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

// mayGrant reports whether the class may hold one more slot.
func (q *Queue) mayGrant(c Class) bool {
	return c == ClassCaller || q.classes[ClassSample].inFlight < q.limits.Concurrency-q.limits.CallerReserve
}

// resetIfIdle resets virtual time when nothing waits or runs.
func (q *Queue) resetIfIdle() {
	if len(q.granted) > 0 || len(q.waitByID) > 0 {
		return
	}
	q.virtualTime = 0
	for _, c := range q.classes {
		c.reset()
	}
}

// flowHeap orders backlogged flows by virtual start, then by arrival.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool { return h[i].less(h[j]) }

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}

var _ heap.Interface = (*flowHeap)(nil)
