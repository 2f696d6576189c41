package node

import (
	"context"
	"sync"
	"time"
)

// readBackGrace is how long an append waits for its response once its records were read from the
// log. Usually the response comes within this time, and the connection can be used again.
const readBackGrace = 50 * time.Millisecond

// readBack counts the own records in a topic that the instance follows, so that an append without
// a response, or with a late one, ends as soon as its records were read. The records of a numbered
// writer are appended once and in order, so their number tells which append they belong to. It is
// safe for concurrent use.
type readBack struct {
	mu       sync.Mutex
	read     int64  // own records read so far
	last     int64  // offset of the latest one
	wanted   int64  // own records in the log once the append in progress is executed; zero: none is
	end      func() // ends the call in progress
	appended int64  // own records known to be in the log
	unknown  bool   // some own records were not read, or it is not known whether they were appended
}

// noteRead notes an own record that was read at the offset.
func (b *readBack) noteRead(offset int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read++
	b.last = offset
	if b.end != nil && b.done() {
		time.AfterFunc(readBackGrace, b.end)
	}
}

// lose ends the use of the count for good.
func (b *readBack) lose() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unknown = true
}

// done reports whether the records of the append in progress were read. It is called with mu held.
func (b *readBack) done() bool { return !b.unknown && b.wanted > 0 && b.read >= b.wanted }

// call appends so many records with a context that ends soon after they were read, unless they
// were read before, of an earlier call with them. It returns the offset of the first one and the
// call's error, nil if the records were read.
func (b *readBack) call(ctx context.Context, records int, appendOnce func(context.Context) (int64, error)) (offset int64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b.mu.Lock()
	b.wanted, b.end = b.appended+int64(records), cancel
	found := b.done()
	b.mu.Unlock()
	if !found {
		offset, err = appendOnce(ctx)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end = nil
	answered := err == nil && !found
	if !answered && !b.done() {
		return 0, err
	}
	if !answered {
		offset = b.last - int64(records) + 1
	}
	b.appended, b.wanted = b.wanted, 0
	return offset, nil
}
