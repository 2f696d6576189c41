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

// AppendReply lists the offsets of the appended records.
type AppendReply struct {
	Offsets []int64 `json:"offsets"`
}

// ReadReply is a run of records. First and Next describe the whole log.
type ReadReply struct {
	First   int64       `json:"first"` // oldest offset kept
	Next    int64       `json:"next"`  // offset of the next append
	Records []LogRecord `json:"records"`
}

// Log is the client of the platform's append-only log.
type Log struct{ client }

// NewLog returns a client of the log at base, an HTTP URL.
func NewLog(base string) *Log { return &Log{newClient(base)} }

// Append adds records in order. An error that wraps ErrUnavailable leaves it
// unknown whether, and when, the records take effect.
func (l *Log) Append(ctx context.Context, records [][]byte) ([]int64, error) {
	var reply AppendReply
	err := l.call(ctx, http.MethodPost, "/log/append", AppendRequest{Records: records}, &reply)
	return reply.Offsets, err
}

// Read returns up to limit records from offset on, waiting up to wait for the
// first. It returns ErrTrimmed when the offset is older than the oldest kept.
func (l *Log) Read(ctx context.Context, from int64, limit int, wait time.Duration) (ReadReply, error) {
	var reply ReadReply
	path := fmt.Sprintf("/log/read?from=%d&max=%d&waitMillis=%d", from, limit, wait.Milliseconds())
	err := l.call(ctx, http.MethodGet, path, nil, &reply)
	return reply, err
}
