package control

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

const (
	recentRecords = 4096    // records kept for peers
	recentBytes   = 4 << 20 // bytes in all of them
)

// recentLog keeps the last records that this instance has applied, for peers that read the
// log from it, and the digest of the log's hash chain after each. Only the control
// goroutine adds to it.
type recentLog struct {
	mu      sync.Mutex
	records []platform.LogRecord
	chains  [][32]byte
	bytes   int
	next    int64         // offset after the last record
	changed chan struct{} // closed and replaced when next changes
}

func newRecentLog() *recentLog { return &recentLog{next: 1, changed: make(chan struct{})} }

// reset removes all records after a state has been restored at offset applied.
func (r *recentLog) reset(applied record.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records, r.chains, r.bytes = nil, nil, 0
	r.setNext(int64(applied) + 1)
}

// add appends a record and drops the oldest ones beyond the limits; at least one is kept.
func (r *recentLog) add(rec platform.LogRecord, chain [32]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
	r.chains = append(r.chains, chain)
	r.bytes += len(rec.Data)
	drop := 0
	for len(r.records)-drop > recentRecords || r.bytes > recentBytes && drop < len(r.records)-1 {
		r.bytes -= len(r.records[drop].Data)
		drop++
	}
	r.records, r.chains = r.records[drop:], r.chains[drop:]
	r.setNext(rec.Offset + 1)
}

// setNext sets the next offset and notifies the waiters.
func (r *recentLog) setNext(next int64) {
	r.next = next
	close(r.changed)
	r.changed = make(chan struct{})
}

// chainAt returns the digest of the log up to offset, if it is kept.
func (r *recentLog) chainAt(offset record.Offset) ([32]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := int64(offset) - (r.next - int64(len(r.chains)))
	if i < 0 || i >= int64(len(r.chains)) {
		return [32]byte{}, false
	}
	return r.chains[i], true
}

// waitFor blocks until the next offset changes, wait has passed or ctx ends. It returns at
// once if the record at from has been added already.
func (r *recentLog) waitFor(ctx context.Context, from int64, wait time.Duration) {
	r.mu.Lock()
	have, changed := from < r.next, r.changed
	r.mu.Unlock()
	if have || wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// read returns records from offset from on: up to limit of them, and no further ones once
// they have size bytes. It returns platform.ErrTrimmed if the record at from is no longer
// kept.
func (r *recentLog) read(from int64, limit, size int) (platform.ReadReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.next - int64(len(r.records))
	reply := platform.ReadReply{First: first, Next: r.next}
	if from < first {
		return reply, platform.ErrTrimmed
	}
	for at := from; at < r.next && len(reply.Records) < limit && size > 0; at++ {
		rec := r.records[at-first]
		size -= len(rec.Data)
		reply.Records = append(reply.Records, rec)
	}
	return reply, nil
}
