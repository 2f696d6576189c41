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

// AppendReply is the response to an append: the records' offsets, in order.
type AppendReply struct {
	Offsets []int64 `json:"offsets"`
}

// ReadReply holds consecutive records. First and Next describe the whole log.
type ReadReply struct {
	First   int64       `json:"first"` // oldest offset retained
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

// Read returns up to limit records starting at offset from, and waits up to wait for
// the first. The error wraps ErrTrimmed if from is older than the oldest offset retained.
func (l *Log) Read(ctx context.Context, from int64, limit int, wait time.Duration) (ReadReply, error) {
	var reply ReadReply
	path := fmt.Sprintf("/log/read?from=%d&max=%d&waitMillis=%d", from, limit, wait.Milliseconds())
	err := l.call(ctx, http.MethodGet, path, nil, &reply)
	return reply, err
}
