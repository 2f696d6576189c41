// Package budget divides the memory for responses among the requests that hold them.
//
// The load that it answers: faulty targets send bodies without end to many requests at once, each
// body below the limit of one response, beside sound responses that are mostly small. With a limit
// for each response alone, the sum grows with the requests. With a limit of the sum that refuses
// whoever comes last, the faulty bodies keep what they hold and the sound ones fail. So the largest
// response that is still being read yields, whoever asks.
package budget

// Budget divides a number of bytes among holders. It is not safe for concurrent use.
type Budget struct {
	capacity int64
	used     int64
	settled  int64 // by holders that do not yield
	holders  map[uint64]*holder
}

type holder struct {
	bytes    int64
	settled  bool
	yielding bool
}

// New returns a budget of capacity bytes.
func New(capacity int64) *Budget { return &Budget{capacity: capacity, holders: map[uint64]*holder{}} }

// Verdict is the answer to a request for bytes.
type Verdict int

// The verdicts.
const (
	Granted Verdict = iota
	Wait            // holders yield: ask again when one has closed
	Refused         // the asking holder must yield itself
)

// Grow asks for further bytes for a holder, which it opens if need be. The holders in yield must be
// told to end, and keep their bytes until they are closed.
func (b *Budget) Grow(id uint64, bytes int64) (v Verdict, yield []uint64) {
	h := b.holders[id]
	if h == nil {
		h = &holder{}
		b.holders[id] = h
	}
	if h.yielding {
		return Refused, nil
	}
	missing := b.used + bytes - b.capacity
	for _, o := range b.holders {
		if o.yielding {
			missing -= o.bytes
		}
	}
	for missing > 0 {
		largest, found := b.largest(id, h.bytes+bytes)
		if !found {
			return Refused, yield
		}
		b.holders[largest].yielding = true
		missing -= b.holders[largest].bytes
		yield = append(yield, largest)
	}
	if b.used+bytes > b.capacity {
		return Wait, yield
	}
	h.bytes += bytes
	b.used += bytes
	return Granted, nil
}

// largest returns the holder that yields to one that would hold the bytes: the largest of those that
// hold more, and of equal ones the first.
func (b *Budget) largest(asking uint64, bytes int64) (id uint64, found bool) {
	for other, o := range b.holders {
		if other == asking || o.settled || o.yielding || o.bytes <= bytes && (o.bytes < bytes || other > asking) {
			continue
		}
		if best := b.holders[id]; !found || o.bytes > best.bytes || o.bytes == best.bytes && other < id {
			id, found = other, true
		}
	}
	return id, found
}

// Shrink gives back bytes of a holder.
func (b *Budget) Shrink(id uint64, bytes int64) {
	h := b.holders[id]
	if h == nil {
		return
	}
	bytes = min(bytes, h.bytes)
	h.bytes -= bytes
	b.used -= bytes
	if h.settled {
		b.settled -= bytes
	}
}

// Settle notes that the response of a holder is whole. It does not yield any more, as its request
// has run and cannot be answered otherwise. It reports false if the holder was told to yield before.
func (b *Budget) Settle(id uint64) bool {
	h := b.holders[id]
	if h == nil || h.yielding {
		return h == nil
	}
	if !h.settled {
		h.settled = true
		b.settled += h.bytes
	}
	return true
}

// Close gives back all bytes of a holder.
func (b *Budget) Close(id uint64) {
	if h := b.holders[id]; h != nil {
		b.Shrink(id, h.bytes)
		delete(b.holders, id)
	}
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used }

// Spent reports whether whole responses hold so much that a further one may find no room, whoever
// yields. A request that has not been sent is better refused then.
func (b *Budget) Spent() bool { return b.settled > b.capacity/2 }
