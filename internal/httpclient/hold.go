package httpclient

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/amaranthfold/amaranthfold/core/budget"
)

// ErrBudgetSpent is the error of a response that was ended as it held more of the memory for
// responses than others.
var ErrBudgetSpent = errors.New("the memory for responses is spent, and this one holds most of it")

// Budget is the memory that responses may hold together; see core/budget. It is safe for concurrent
// use.
type Budget struct {
	mu     sync.Mutex
	closed *sync.Cond // a hold was closed, or is told to yield
	budget *budget.Budget
	holds  map[uint64]*Hold // open ones
	next   uint64
	ended  uint64 // holds that were told to yield or refused
}

// NewBudget returns a budget of capacity bytes.
func NewBudget(capacity int64) *Budget {
	b := &Budget{budget: budget.New(capacity), holds: map[uint64]*Hold{}}
	b.closed = sync.NewCond(&b.mu)
	return b
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Used()
}

// Ended returns how many responses were ended with ErrBudgetSpent.
func (b *Budget) Ended() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// Spent reports whether a request that has not been sent is better refused: whole responses, which
// wait for their callers, hold most of the budget.
func (b *Budget) Spent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Spent()
}

// Hold is the share of one response. A nil Hold is one without a budget.
type Hold struct {
	budget   *Budget
	id       uint64
	end      func() // ends the response, so that what reads it fails
	yielding bool
}

// open returns the hold of a response that end ends.
func (b *Budget) open(end func()) *Hold {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	h := &Hold{budget: b, id: b.next, end: end}
	b.holds[h.id] = h
	return h
}

// Grow adds bytes to the hold before they are allocated. It waits while larger responses end. It
// fails with ErrBudgetSpent if this one has to.
func (h *Hold) Grow(bytes int64) error {
	if h == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.holds[h.id] != nil {
		verdict, yield := b.budget.Grow(h.id, bytes)
		for _, id := range yield {
			other := b.holds[id]
			other.yielding = true
			b.ended++
			go func() { // may wait for a read
				other.end()
				other.Close() // its reader may be busy, such as with a caller who reads slowly
			}()
		}
		if len(yield) > 0 {
			b.closed.Broadcast() // one that yields may wait itself
		}
		switch verdict {
		case budget.Granted:
			return nil
		case budget.Refused:
			if !h.yielding {
				b.ended++
			}
			return ErrBudgetSpent
		case budget.Wait:
			b.closed.Wait()
		}
	}
	if h.yielding {
		return ErrBudgetSpent
	}
	return io.ErrClosedPipe // the response is not wanted any more
}

// Shrink gives back bytes of the hold.
func (h *Hold) Shrink(bytes int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.budget.Shrink(h.id, bytes)
	h.budget.closed.Broadcast()
}

// settle notes that the response is whole. It fails if the response was told to end before.
func (h *Hold) settle() error {
	if h == nil {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.budget.budget.Settle(h.id) {
		return ErrBudgetSpent
	}
	return nil
}

// Close gives back all bytes. Further calls have no effect.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Close(h.id)
	delete(b.holds, h.id)
	b.closed.Broadcast()
}

// yields reports whether the response was told to end.
func (h *Hold) yields() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.yielding
}

// budgetedBody is the body of a response of a transport with a budget.
type budgetedBody struct {
	io.ReadCloser
	budget *Budget
}

// OpenHold returns the hold of a response with the body, which ends the response by closing it. The
// caller closes the hold. It is nil if the body comes from a transport without a budget.
func OpenHold(body io.Reader) *Hold {
	if budgeted, ok := body.(*budgetedBody); ok {
		return budgeted.budget.open(func() { _ = budgeted.Close() })
	}
	return nil
}

// firstReadBytes is the size of the buffer for a body of which nothing is known.
const firstReadBytes = 512

// ReadBody reads the complete body of a response, which stays in the hold until that is closed. It
// fails if the body is longer than maxBytes, and with ErrBudgetSpent; it has not read the rest then,
// and the hold is closed. The caller closes the body.
func ReadBody(body io.ReadCloser, maxBytes int64) (data []byte, hold *Hold, err error) {
	hold = OpenHold(body)
	data, err = readWithin(body, maxBytes, hold)
	if err == nil {
		err = hold.settle()
	}
	if hold.yields() {
		err = ErrBudgetSpent
	}
	if err != nil {
		hold.Close()
		return nil, nil, err
	}
	return data, hold, nil
}

func readWithin(body io.Reader, maxBytes int64, hold *Hold) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			size := min(max(firstReadBytes, 2*int64(cap(data))), maxBytes+1)
			if err := hold.Grow(size); err != nil {
				return nil, err
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			hold.Shrink(int64(cap(data)))
			data = grown
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > maxBytes:
			return nil, fmt.Errorf("response body exceeds %d bytes", maxBytes)
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}
