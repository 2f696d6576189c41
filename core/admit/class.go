package admit

import (
	"container/heap"
	"slices"
)

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
	weight   float64 // sum over the backlogged flows
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
	c.start, c.virtual = 0, 0
	clear(c.flows)
}

func (c *class) push(it *item, virtual float64) {
	f := c.flows[it.Flow]
	if f == nil {
		f = &flow{name: it.Flow, weight: it.Weight}
		c.flows[it.Flow] = f
	}
	if c.waiting == 0 {
		c.advance(virtual)
	}
	c.waiting++
	f.open++
	f.queue = append(f.queue, it)
	if len(f.queue) > 1 {
		return
	}
	f.weight = it.Weight
	f.start = f.finish
	if f.start < c.virtual {
		f.start = c.virtual
		f.epoch++
	}
	c.weight += f.weight
	heap.Push(&c.backlog, f)
}

// pop grants the next request and charges its estimated cost.
func (c *class) pop() (*item, *flow) {
	f := c.backlog[0]
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
	return it, f
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
	if f.open == 0 && f.finish <= c.virtual {
		delete(c.flows, f.name)
	}
}

// forgetIdle drops flows without requests whose debts are paid, so that idle
// flows cost no memory.
func (c *class) forgetIdle() {
	for name, f := range c.flows {
		if f.open == 0 && f.finish <= c.virtual {
			delete(c.flows, name)
		}
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
