package engine

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/retry"
)

// Send sends the request. The outcome is Ran if there is a response. With an error it is
// NotRun if the request never got a connection, so that no byte of it can have been sent,
// and otherwise Unknown.
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

// SetTimeoutHeader sets TimeoutHeader to the time until the request's deadline, at least
// 1 ms. A request without a deadline gets no header.
func SetTimeoutHeader(req *http.Request) {
	if deadline, ok := req.Context().Deadline(); ok {
		remaining := max(time.Until(deadline), time.Millisecond)
		req.Header.Set(TimeoutHeader, remaining.Truncate(time.Millisecond).String())
	}
}
