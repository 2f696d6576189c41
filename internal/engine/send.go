package engine

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/retry"
)

// Send sends the request and types a failure. It is "not run" only if the
// request never had a connection, so that no byte of it could leave.
func Send(client *http.Client, req *http.Request) (*http.Response, retry.Outcome, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	res, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	switch {
	case err == nil:
		return res, retry.Ran, nil
	case connected.Load():
		return nil, retry.Unknown, err
	default:
		return nil, retry.NotRun, err
	}
}

// SetTimeoutHeader passes the time to the request's deadline on to the target.
func SetTimeoutHeader(req *http.Request) {
	if deadline, ok := req.Context().Deadline(); ok {
		left := max(time.Until(deadline), time.Millisecond)
		req.Header.Set(TimeoutHeader, left.Truncate(time.Millisecond).String())
	}
}
