package platform

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// LogRecord is one record of the log.
type LogRecord struct {
	Offset int64  `json:"offset"` // from 1, without gaps
	Data   []byte `json:"data"`
}

// AppendRequest is the body of POST /log/append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendReply is the response to an append: the offsets of its records, in order.
type AppendReply struct {
	Offsets []int64 `json:"offsets"`
}

// ReadReply is the response to a read: consecutive records, and the range of offsets of
// the log.
type ReadReply struct {
	First   int64       `json:"first"` // oldest retained offset
	Next    int64       `json:"next"`  // offset of the next append
	Records []LogRecord `json:"records"`
}

// Log is the client of the platform's append-only log.
type Log struct{ client }

// NewLog returns a client of the log at base, an HTTP URL.
func NewLog(base string) *Log { return &Log{newClient(base)} }

// Append appends records in order and returns their offsets. If the error wraps
// ErrUnavailable, the outcome is unknown: the append may or may not take effect, possibly
// later.
func (l *Log) Append(ctx context.Context, records [][]byte) ([]int64, error) {
	var reply AppendReply
	err := l.call(ctx, http.MethodPost, "/log/append", AppendRequest{Records: records}, &reply)
	return reply.Offsets, err
}

// Read returns up to limit records starting at offset from. If there is none yet, the
// platform delays its response by up to wait until there is one. The error wraps
// ErrTrimmed if from is below the oldest retained offset.
func (l *Log) Read(ctx context.Context, from int64, limit int, wait time.Duration) (ReadReply, error) {
	var reply ReadReply
	path := fmt.Sprintf("/log/read?from=%d&max=%d&waitMillis=%d", from, limit, wait.Milliseconds())
	err := l.call(ctx, http.MethodGet, path, nil, &reply)
	return reply, err
}
