package admit

import (
	"container/heap"
	"slices"
)

// costSmoothing is the weight of the latest request in the moving average of the cost.
const costSmoothing = 1.0 / 16

// class holds the flows of one traffic class. Its start is the virtual start of its
// next request, in the virtual time between the classes.
type class struct {
	share            float64 // of the cost, in (0, 1)
	start            float64
	epoch            int     // incremented when start advances without a charge
	virtualTime      float64 // virtual time within the class
	flows            map[string]*flow
	backlog          flowHeap
	waiting          int     // requests
	inFlight         int     // requests granted
	meanCost         float64 // moving average of the estimated cost of granted requests
	idleCredit       float64 // how far behind virtualTime a flow returning from idle may start
	backloggedWeight float64 // sum over the backlogged flows
	activeWeight     float64 // sum over the flows with requests waiting or granted
}

// flow holds the requests of one client account or trainer. It is in the backlog if
// and only if its queue is not empty; start is then the virtual start of the first
// request in the queue.
type flow struct {
	name        string
	weight      float64
	start       float64
	finish      float64 // virtual finish of its last granted request
	epoch       int     // incremented when start advances without a charge
	queue       []*item
	outstanding int // requests waiting or granted
	index       int // in the backlog heap; -1: not in it
}

// normalizedBacklog returns the number of waiting requests divided by the weight.
func (f *flow) normalizedBacklog() float64 { return float64(len(f.queue)) / f.weight }

func newClass() *class { return &class{flows: map[string]*flow{}} }

// reset drops all flows with their credit and debt, and restarts virtual time. No
// request of the class may be waiting or granted.
func (c *class) reset() {
	c.start, c.virtualTime, c.activeWeight, c.idleCredit = 0, 0, 0, 0
	clear(c.flows)
}

// push queues a request. If the class had none waiting, it advances the class's start
// to queueVirtualTime, the virtual time between the classes. A flow that had none
// waiting starts where its last request finished, at most idleCredit behind the class's
// virtual time.
func (c *class) push(it *item, queueVirtualTime float64) {
	f := c.flows[it.Flow]
	if f == nil {
		f = &flow{name: it.Flow, weight: it.Weight, finish: c.virtualTime - c.idleCredit}
		c.flows[it.Flow] = f
	}
	if c.waiting == 0 {
		c.advance(queueVirtualTime)
	}
	c.waiting++
	if f.outstanding == 0 {
		f.weight = it.Weight
		c.activeWeight += f.weight
	}
	f.outstanding++
	f.queue = append(f.queue, it)
	if len(f.queue) > 1 {
		return
	}
	f.start = f.finish
	if earliest := c.virtualTime - c.idleCredit; f.start < earliest {
		f.start = earliest
		f.epoch++
	}
	c.backloggedWeight += f.weight
	heap.Push(&c.backlog, f)
}

// next returns the backlogged flow with the smallest virtual start, or nil.
func (c *class) next() *flow {
	if len(c.backlog) == 0 {
		return nil
	}
	return c.backlog[0]
}

// less orders backlogged flows by virtual start, then by arrival of their first request.
func (f *flow) less(g *flow) bool {
	if f.start != g.start {
		return f.start < g.start
	}
	return f.queue[0].seq < g.queue[0].seq
}

// pop grants the flow's next request and charges its estimated cost to flow and class.
func (c *class) pop(f *flow) *item {
	it := f.queue[0]
	f.queue[0] = nil
	f.queue = f.queue[1:]
	c.waiting--
	c.inFlight++
	c.virtualTime = max(c.virtualTime, f.start)
	f.finish = f.start + it.Cost/f.weight
	f.start = f.finish
	c.start += it.Cost / c.share
	c.updateBacklog(f)
	c.meanCost += (it.Cost - c.meanCost) * costSmoothing
	return it
}

// remove removes a waiting request.
func (c *class) remove(it *item) {
	f := c.flows[it.Flow]
	i := slices.Index(f.queue, it)
	f.queue = slices.Delete(f.queue, i, i+1)
	c.waiting--
	c.updateBacklog(f)
	c.requestEnded(f)
}

// updateBacklog restores the order of the backlog after the flow's queue or start
// changed, and removes the flow if its queue is empty.
func (c *class) updateBacklog(f *flow) {
	if len(f.queue) > 0 {
		heap.Fix(&c.backlog, f.index)
		return
	}
	// less reads the first request, so an empty flow is swapped to the end before the
	// heap is fixed.
	last := len(c.backlog) - 1
	moved := f.index
	c.backlog.Swap(moved, last)
	c.backlog.Pop()
	c.backloggedWeight -= f.weight
	if moved < last {
		heap.Fix(&c.backlog, moved)
	}
}

// advance moves the start of a class that did not use its share forward to
// virtualStart. The unused share is not kept as credit.
func (c *class) advance(virtualStart float64) {
	if c.start < virtualStart {
		c.start = virtualStart
		c.epoch++
	}
}

// adjustCost charges the difference between the grant's true and estimated cost. A
// refund (a negative difference) is applied only while the epoch is unchanged since the
// grant. A new epoch means that start has advanced past the charge without being
// charged, so there is nothing to refund.
func (c *class) adjustCost(g *grant, difference float64) {
	if difference > 0 || g.classEpoch == c.epoch {
		c.start += difference / c.share
	}
	f := g.flow
	if difference < 0 && g.flowEpoch != f.epoch {
		return
	}
	f.finish += difference / f.weight
	if len(f.queue) > 0 {
		f.start += difference / f.weight
		heap.Fix(&c.backlog, f.index)
	}
}

// requestEnded updates the flow and the active weight after a request was finished
// or removed.
func (c *class) requestEnded(f *flow) {
	f.outstanding--
	if f.outstanding == 0 {
		c.activeWeight -= f.weight
	}
	c.dropIfIdle(f)
}

// dropIfIdle drops the flow if it is idle and its finish is at or below virtual time
// minus the idle credit: a new flow of that name would be scheduled in the same way.
func (c *class) dropIfIdle(f *flow) {
	if f.outstanding == 0 && f.finish <= c.virtualTime-c.idleCredit {
		delete(c.flows, f.name)
	}
}

// dropIdle applies dropIfIdle to every flow, to bound the memory in use.
func (c *class) dropIdle() {
	for _, f := range c.flows {
		c.dropIfIdle(f)
	}
}

// setCredit sets how far behind the class's virtual time a flow returning from idle
// may start: rounds x slots x meanCost / activeWeight. With it, the flow may run ahead of
// the others by rounds times its share of all slots.
func (c *class) setCredit(rounds float64, slots int) {
	if c.activeWeight > 0 {
		c.idleCredit = rounds * float64(slots) * c.meanCost / c.activeWeight
	}
}

// position returns how many requests of the class would be granted up to and
// including a new one of the flow, if all requests cost the same.
func (c *class) position(name string, weight float64) float64 {
	waiting, total := 0, c.backloggedWeight
	f := c.flows[name]
	if f != nil {
		waiting = len(f.queue)
	}
	if waiting == 0 {
		total += weight
	}
	return float64(waiting+1) * total / weight
}
