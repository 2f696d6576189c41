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
	share    float64
	start    float64
	epoch    int     // changes when start jumps ahead without a charge
	virtual  float64 // virtual time within the class
	flows    map[string]*flow
	backlog  flowHeap
	waiting  int
	inFlight int
	cost     float64 // mean estimated cost of the granted requests
	credit   float64 // virtual time that a flow which idled may lag behind
	weight   float64 // sum over the backlogged flows
	active   float64 // sum over the flows with requests waiting or granted
}

// flow is one client account or trainer. It stands in the backlog exactly while
// its queue is not empty, with start the virtual start of the queue's head.
type flow struct {
	name   string
	weight float64
	start  float64
	finish float64 // virtual finish of its last granted request
	epoch  int     // changes when start jumps ahead without a charge
	queue  []*item
	open   int // requests waiting or granted
	index  int // place in the backlog
}

// length is the number of waiting requests for the flow's weight.
func (f *flow) length() float64 { return float64(len(f.queue)) / f.weight }

func newClass() *class { return &class{flows: map[string]*flow{}} }

// reset forgets all idle flows and their debts.
func (c *class) reset() {
	c.start, c.virtual, c.active, c.credit = 0, 0, 0, 0
	clear(c.flows)
}

func (c *class) push(it *item, virtual float64) {
	f := c.flows[it.Flow]
	if f == nil {
		f = &flow{name: it.Flow, weight: it.Weight, finish: c.virtual - c.credit}
		c.flows[it.Flow] = f
	}
	if c.waiting == 0 {
		c.advance(virtual)
	}
	c.waiting++
	if f.open == 0 {
		f.weight = it.Weight
		c.active += f.weight
	}
	f.open++
	f.queue = append(f.queue, it)
	if len(f.queue) > 1 {
		return
	}
	f.start = f.finish
	if earliest := c.virtual - c.credit; f.start < earliest {
		f.start = earliest
		f.epoch++
	}
	c.weight += f.weight
	heap.Push(&c.backlog, f)
}

// next returns the flow that goes next, or nil.
func (c *class) next() *flow {
	if len(c.backlog) == 0 {
		return nil
	}
	return c.backlog[0]
}

// before orders backlogged flows by virtual start, then by arrival.
func (f *flow) before(g *flow) bool {
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
	c.virtual = max(c.virtual, f.start)
	f.finish = f.start + it.Cost/f.weight
	f.start = f.finish
	c.start += it.Cost / c.share
	c.settle(f)
	c.cost += (it.Cost - c.cost) * costSmoothing
	return it
}

// remove takes a waiting request out.
func (c *class) remove(it *item) {
	f := c.flows[it.Flow]
	i := slices.Index(f.queue, it)
	f.queue = slices.Delete(f.queue, i, i+1)
	c.waiting--
	c.settle(f)
	c.close(f)
}

// settle restores the backlog's order after the flow's queue or start changed.
func (c *class) settle(f *flow) {
	if len(f.queue) > 0 {
		heap.Fix(&c.backlog, f.index)
		return
	}
	// An empty flow must not be compared: it goes to the end first.
	last := len(c.backlog) - 1
	moved := f.index
	c.backlog.Swap(moved, last)
	c.backlog.Pop()
	c.weight -= f.weight
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

// correct charges the difference between the grant's true and estimated cost.
// A refund counts only while the charge does: a start that has jumped ahead of
// the charge owes nothing for it.
func (c *class) correct(g *grant, difference float64) {
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

// close counts one request of the flow as ended.
func (c *class) close(f *flow) {
	f.open--
	if f.open == 0 {
		c.active -= f.weight
	}
	c.forget(f)
}

// forget drops an idle flow that has all the credit it can have.
func (c *class) forget(f *flow) {
	if f.open == 0 && f.finish <= c.virtual-c.credit {
		delete(c.flows, f.name)
	}
}

// forgetIdle drops idle flows, so that they cost no memory.
func (c *class) forgetIdle() {
	for _, f := range c.flows {
		c.forget(f)
	}
}

// setCredit lets a flow that idled take slots for rounds times its share of all
// slots ahead of the others.
func (c *class) setCredit(rounds float64, slots int) {
	if c.active > 0 {
		c.credit = rounds * float64(slots) * c.cost / c.active
	}
}

// place is the number of requests of the class that would go up to and
// including one more of the flow, if every flow had the same cost.
func (c *class) place(name string, weight float64) float64 {
	waiting, total := 0, c.weight
	f := c.flows[name]
	if f != nil {
		waiting = len(f.queue)
	}
	if waiting == 0 {
		total += weight
	}
	return float64(waiting+1) * total / weight
}
