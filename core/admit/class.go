package admit

import (
	"container/heap"
	"slices"
)

// costSmoothing is the weight of the latest request in the mean cost.
const costSmoothing = 1.0 / 16

// class holds the flows of one class. Its start is the virtual time, between
// the classes, at which its next request begins.
type class struct {
	share            float64
	start            float64
	epoch            int     // changes when start jumps ahead without a charge
	virtualTime      float64 // virtual time within the class
	flows            map[string]*flow
	backlog          flowHeap
	waiting          int
	inFlight         int
	meanCost         float64 // mean estimated cost of the granted requests
	idleCredit       float64 // virtual time that a flow which idled may lag behind
	backloggedWeight float64 // sum over the backlogged flows
	activeWeight     float64 // sum over the flows with requests waiting or granted
}

// flow is one client account or trainer. It stands in the backlog exactly while
// its queue is not empty, with start the virtual start of the queue's head.
type flow struct {
	name        string
	weight      float64
	start       float64
	finish      float64 // virtual finish of its last granted request
	epoch       int     // changes when start jumps ahead without a charge
	queue       []*item
	outstanding int // requests waiting or granted
	index       int // place in the backlog
}

// normalizedBacklog is the number of waiting requests for the flow's weight.
func (f *flow) normalizedBacklog() float64 { return float64(len(f.queue)) / f.weight }

func newClass() *class { return &class{flows: map[string]*flow{}} }

// reset forgets all idle flows and their debts.
func (c *class) reset() {
	c.start, c.virtualTime, c.activeWeight, c.idleCredit = 0, 0, 0, 0
	clear(c.flows)
}

func (c *class) push(it *item, virtual float64) {
	f := c.flows[it.Flow]
	if f == nil {
		f = &flow{name: it.Flow, weight: it.Weight, finish: c.virtualTime - c.idleCredit}
		c.flows[it.Flow] = f
	}
	if c.waiting == 0 {
		c.advance(virtual)
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

// next returns the flow that goes next, or nil.
func (c *class) next() *flow {
	if len(c.backlog) == 0 {
		return nil
	}
	return c.backlog[0]
}

// less orders backlogged flows by virtual start, then by arrival.
func (f *flow) less(g *flow) bool {
	if f.start != g.start {
		return f.start < g.start
	}
	return f.queue[0].seq < g.queue[0].seq
}

// pop grants the flow's next request and charges its estimated cost.
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

// remove takes a waiting request out.
func (c *class) remove(it *item) {
	f := c.flows[it.Flow]
	i := slices.Index(f.queue, it)
	f.queue = slices.Delete(f.queue, i, i+1)
	c.waiting--
	c.updateBacklog(f)
	c.requestEnded(f)
}

// updateBacklog restores the backlog's order after the flow's queue or start changed.
func (c *class) updateBacklog(f *flow) {
	if len(f.queue) > 0 {
		heap.Fix(&c.backlog, f.index)
		return
	}
	// An empty flow must not be compared: it goes to the end first.
	last := len(c.backlog) - 1
	moved := f.index
	c.backlog.Swap(moved, last)
	c.backlog.Pop()
	c.backloggedWeight -= f.weight
	if moved < last {
		heap.Fix(&c.backlog, moved)
	}
}

// advance moves the start of a class that had no use for its share to the
// present. What it left unused is lost.
func (c *class) advance(virtual float64) {
	if c.start < virtual {
		c.start = virtual
		c.epoch++
	}
}

// adjustCost charges the difference between the grant's true and estimated cost.
// A refund counts only while the charge does: a start that has jumped ahead of
// the charge owes nothing for it.
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

// requestEnded counts one request of the flow as ended.
func (c *class) requestEnded(f *flow) {
	f.outstanding--
	if f.outstanding == 0 {
		c.activeWeight -= f.weight
	}
	c.dropIfIdle(f)
}

// dropIfIdle drops an idle flow that has all the credit it can have.
func (c *class) dropIfIdle(f *flow) {
	if f.outstanding == 0 && f.finish <= c.virtualTime-c.idleCredit {
		delete(c.flows, f.name)
	}
}

// dropIdle drops idle flows, so that they cost no memory.
func (c *class) dropIdle() {
	for _, f := range c.flows {
		c.dropIfIdle(f)
	}
}

// setCredit lets a flow that idled take slots for rounds times its share of all
// slots ahead of the others.
func (c *class) setCredit(rounds float64, slots int) {
	if c.activeWeight > 0 {
		c.idleCredit = rounds * float64(slots) * c.meanCost / c.activeWeight
	}
}

// position is the number of requests of the class that would go up to and
// including one more of the flow, if every flow had the same cost.
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
