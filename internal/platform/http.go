// Package platform holds the clients of the platform's services: the log, the
// list of instances, the order and usage interfaces and the weight store. Their
// contracts are in docs/INTERFACES.md.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxReplyBytes bounds a reply that is read into memory, in bytes.
const maxReplyBytes = 64 << 20

// Errors that clients of this package return wrapped.
var (
	// ErrUnavailable: no answer. The call may have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrRejected: the platform answered no. The call has no effect.
	ErrRejected = errors.New("platform rejected the call")
	// ErrTrimmed: the log no longer keeps the offset.
	ErrTrimmed = errors.New("offset is no longer kept")
	// ErrBusy: a rate limit of the platform; the call has no effect.
	ErrRateLimited = errors.New("platform rate limit")
	// ErrFenced: a newer fencing number has been seen; the call has no effect.
	ErrFenced = errors.New("fencing number is old")
)

// StatusError is a refusal with its HTTP status.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Message) }

// Unwrap names the kind of refusal.
func (e *StatusError) Unwrap() error {
	switch e.Status {
	case http.StatusGone:
		return ErrTrimmed
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusConflict:
		return ErrFenced
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		return ErrUnavailable
	default:
		return ErrRejected
	}
}

// client sends JSON calls to one base URL.
type client struct {
	base string
	http *http.Client
}

// newClient returns a client whose transport is shared by no other service, so
// that one slow service cannot starve another of connections.
func newClient(base string) client {
	transport := &http.Transport{
		DialContext:           dialChecked,
		MaxIdleConnsPerHost:   8,
		IdleConnTimeout:       time.Minute,
		ResponseHeaderTimeout: 30 * time.Second,
	}
	return client{base: base, http: &http.Client{Transport: transport}}
}

// call sends in as JSON, when not nil, and decodes the answer into out.
func (c client) call(ctx context.Context, method, path string, in, out any) error {
	return c.callIf(ctx, method, path, in, out, nil)
}

// callIf is call with a check that runs before the first byte leaves.
func (c client) callIf(ctx context.Context, method, path string, in, out any, check Check) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("%s %s: encode: %w", method, path, err)
		}
		body = bytes.NewReader(data)
	}
	heldBack := func() error { return nil }
	if check != nil {
		ctx, heldBack = withCheck(ctx, check)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if check != nil {
		req.GetBody = nil // the transport must not send the call a second time by itself
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if held := heldBack(); held != nil {
		return fmt.Errorf("%s %s: %w", method, path, held)
	}
	if err != nil {
		return fmt.Errorf("%s %s: %w: %w", method, path, ErrUnavailable, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("%s %s: %w: %w", method, path, ErrUnavailable, err)
	}
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: %w", method, path, &StatusError{res.StatusCode, string(bytes.TrimSpace(data))})
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%s %s: decode: %w", method, path, err)
	}
	return nil
}
