// Package admit decides when a request may go to a target. Engines admit
// whatever arrives and know no priorities, so each target has one bounded queue
// at its owner, weighted fair across client accounts and trainers.
//
// The queue uses start-time fair queueing: a request's virtual start is the
// larger of the queue's virtual time and its flow's last virtual finish; the
// request with the least virtual start goes first.
package admit

import (
	"container/heap"
	"fmt"
	"time"
)

// Class orders kinds of traffic.
type Class uint8

// The classes. Callers go before samples while both stay within their limits.
const (
	ClassCaller Class = iota
	ClassSample
	classes
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
	default:
		return fmt.Sprintf("reason %d", uint8(r))
	}
}

// Verdict is a decision on one request: granted when Reason is zero.
type Verdict struct {
	ID     uint64
	Reason Reason
}

// Limits bound one target.
type Limits struct {
	Concurrency   int // requests in flight
	Queue         int // requests waiting
	CallerReserve int // slots that samples leave free for callers
}

// Queue is one target's admission queue. The zero value is not usable; see New.
type Queue struct {
	limits   Limits
	virtual  float64
	flows    map[string]*flow
	waiting  [classes]requestHeap
	waitByID map[uint64]*item
	granted  map[uint64]*grant
	leaving  bool
	seq      uint64
}

type flow struct {
	finish float64 // virtual finish of its last request
	open   int     // requests waiting or granted
}

type item struct {
	Request
	start float64
	seq   uint64
	index int
}

type grant struct {
	flow   string
	weight float64
	cost   float64
	class  Class
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{limits: limits, flows: map[string]*flow{}, waitByID: map[uint64]*item{}, granted: map[uint64]*grant{}}
}

// SetLimits changes the limits for decisions from now on.
func (q *Queue) SetLimits(l Limits) { q.limits = l }

// Submit adds a request and returns the decisions that follow.
func (q *Queue) Submit(now time.Duration, r Request) []Verdict {
	switch {
	case q.leaving:
		return []Verdict{{r.ID, TargetLeaving}}
	case r.Deadline > 0 && now >= r.Deadline:
		return []Verdict{{r.ID, DeadlinePassed}}
	case len(q.waitByID) >= q.limits.Queue:
		return []Verdict{{r.ID, QueueFull}}
	}
	q.push(r)
	return q.dispatch(now)
}

// Cancel removes a waiting request and reports whether it was waiting.
func (q *Queue) Cancel(id uint64) bool {
	it, ok := q.waitByID[id]
	if !ok {
		return false
	}
	heap.Remove(&q.waiting[it.Class], it.index)
	q.forget(it)
	return true
}

// Finish ends a granted request and corrects its flow by the true cost.
func (q *Queue) Finish(now time.Duration, id uint64, cost float64) []Verdict {
	g, ok := q.granted[id]
	if !ok {
		return nil
	}
	delete(q.granted, id)
	f := q.flows[g.flow]
	f.finish += (cost - g.cost) / g.weight
	q.close(g.flow)
	return q.dispatch(now)
}

// Leave refuses everything that waits and all that comes later. Granted
// requests run to their end.
func (q *Queue) Leave() []Verdict {
	q.leaving = true
	var out []Verdict
	for id, it := range q.waitByID {
		heap.Remove(&q.waiting[it.Class], it.index)
		q.forget(it)
		out = append(out, Verdict{id, TargetLeaving})
	}
	return out
}

// Expire refuses waiting requests whose deadline has passed.
func (q *Queue) Expire(now time.Duration) []Verdict {
	var out []Verdict
	for id, it := range q.waitByID {
		if it.Deadline == 0 || now < it.Deadline {
			continue
		}
		heap.Remove(&q.waiting[it.Class], it.index)
		q.forget(it)
		out = append(out, Verdict{id, DeadlinePassed})
	}
	return out
}

// Load returns the numbers of granted and waiting requests.
func (q *Queue) Load() (granted, waiting int) { return len(q.granted), len(q.waitByID) }

func (q *Queue) push(r Request) {
	f := q.flows[r.Flow]
	if f == nil {
		f = &flow{}
		q.flows[r.Flow] = f
	}
	f.open++
	it := &item{Request: r, start: max(q.virtual, f.finish), seq: q.seq}
	q.seq++
	f.finish = it.start + r.Cost/r.Weight
	q.waitByID[r.ID] = it
	heap.Push(&q.waiting[r.Class], it)
}

// dispatch grants slots in class order, then by virtual start.
func (q *Queue) dispatch(time.Duration) []Verdict {
	var out []Verdict
	for {
		it := q.next()
		if it == nil {
			return out
		}
		q.virtual = max(q.virtual, it.start)
		delete(q.waitByID, it.ID)
		q.granted[it.ID] = &grant{flow: it.Flow, weight: it.Weight, cost: it.Cost, class: it.Class}
		out = append(out, Verdict{ID: it.ID})
	}
}

func (q *Queue) next() *item {
	free := q.limits.Concurrency - len(q.granted)
	if free > 0 && q.waiting[ClassCaller].Len() > 0 {
		return heap.Pop(&q.waiting[ClassCaller]).(*item)
	}
	if free > q.limits.CallerReserve && q.waiting[ClassSample].Len() > 0 {
		return heap.Pop(&q.waiting[ClassSample]).(*item)
	}
	return nil
}

func (q *Queue) forget(it *item) {
	delete(q.waitByID, it.ID)
	q.close(it.Flow)
}

// close drops a flow's state once it has nothing open and its virtual finish
// lies in the past, so that idle flows cost no memory.
func (q *Queue) close(name string) {
	f := q.flows[name]
	f.open--
	if f.open == 0 && f.finish <= q.virtual {
		delete(q.flows, name)
	}
}

type requestHeap []*item

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].seq < h[j].seq
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *requestHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *requestHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
