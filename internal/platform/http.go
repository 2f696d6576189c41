// Package platform contains the HTTP clients of the platform interfaces that this project
// defines: the log, the list of instances, the order and usage interfaces and the weight
// store. Their contracts are in docs/INTERFACES.md. The package platform at the root of
// the module is another one: it has the formats and clients of the users' platform, on
// which hosted instances run.
//
// Each client is given a base URL and is safe for concurrent use. Clients do not retry;
// that is left to the caller. The kind of an error, or ErrNotSent, states whether the call
// may have taken effect. Any other error means that the request could not be built, or
// that the response to a successful call could not be decoded.
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

	"github.com/amaranthfold/amaranthfold/internal/httpclient"
)

// maxReplyBytes is how much of a response is read into memory; a longer one is cut off.
const maxReplyBytes = 64 << 20

// Kinds of errors that the clients wrap.
var (
	// ErrUnavailable: no complete response, or status 502 to 504. The outcome is unknown:
	// the call may have taken effect, or may take effect later.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrRejected: the platform responded with another error status. The call has no
	// effect.
	ErrRejected = errors.New("platform rejected the call")
	// ErrTrimmed: the log no longer retains the offset (status 410).
	ErrTrimmed = errors.New("offset is no longer kept")
	// ErrRateLimited: a rate limit of the platform (status 429). The call has no effect.
	ErrRateLimited = errors.New("platform rate limit")
	// ErrFenced: the platform has received a higher fencing number than that of the order
	// or usage report (status 409). The call has no effect.
	ErrFenced = errors.New("fencing number is old")
)

// StatusError is a response with an HTTP status other than 2xx.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Message) }

// Unwrap returns the kind of error for the status.
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

// client sends requests with JSON bodies to one base URL.
type client struct {
	base string
	http *http.Client
}

// newClient returns a client with its own transport, so that a slow interface cannot
// exhaust the connections to another.
func newClient(base string) client {
	transport := httpclient.New(&http.Transport{
		DialContext:           dialChecked,
		MaxIdleConnsPerHost:   8,
		IdleConnTimeout:       time.Minute,
		ResponseHeaderTimeout: 30 * time.Second,
	})
	return client{base: base, http: &http.Client{Transport: transport}}
}

// call sends a request to path with in as its JSON body, or without a body if in is nil,
// and decodes the response into out, unless out is nil.
func (c client) call(ctx context.Context, method, path string, in, out any) error {
	return c.callIf(ctx, method, path, in, out, nil)
}

// callIf is call with a check, which may be nil. A call with a check is sent at most once.
func (c client) callIf(ctx context.Context, method, path string, in, out any, check Check) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("%s %s: encode: %w", method, path, err)
		}
		body = bytes.NewReader(data)
	}
	notSent := func() error { return nil }
	if check != nil {
		ctx, notSent = withCheck(ctx, check)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if check != nil {
		req.GetBody = nil // prevents the transport from sending the request again on its own
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if checkErr := notSent(); checkErr != nil {
		return fmt.Errorf("%s %s: %w", method, path, checkErr)
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
	err = json.Unmarshal(data, out)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) { // maybe as one entry of a list is nested too deeply
		err = json.Unmarshal(withoutDepth(data), out)
	}
	if err != nil {
		return fmt.Errorf("%s %s: decode: %w", method, path, err)
	}
	return nil
}

// maxReplyDepth is far more than any reply has that this package decodes, and far less than
// package json takes.
const maxReplyDepth = 100

// withoutDepth returns the JSON text with null in place of what is nested more deeply than
// maxReplyDepth.
func withoutDepth(text []byte) []byte {
	out := make([]byte, 0, len(text))
	depth, inString, escaped := 0, false, false
	for _, b := range text {
		opens, closes := !inString && (b == '[' || b == '{'), !inString && (b == ']' || b == '}')
		if opens {
			depth++
		}
		switch {
		case depth <= maxReplyDepth:
			out = append(out, b)
		case opens && depth == maxReplyDepth+1:
			out = append(out, "null"...)
		}
		if closes {
			depth--
		}
		if b == '"' && !escaped {
			inString = !inString
		}
		escaped = inString && b == '\\' && !escaped
	}
	return out
}
