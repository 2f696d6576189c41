package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/httpclient"
)

const (
	maxResponseBytes = 64 << 20 // of one complete response
	dialTimeout      = 2 * time.Second
)

// TimeoutHeader is the header with the time that the caller still waits for the
// response, as a duration such as 1500ms. The service sends it to targets; callers may
// send it to the service.
const TimeoutHeader = "X-Request-Timeout"

// ErrFenced is wrapped by the error of an order that the engine rejected because of its
// fencing number.
var ErrFenced = errors.New("engine has received a newer fencing number")

// AttemptError is a failed attempt. Outcome states whether it may have had an effect on
// the target.
type AttemptError struct {
	Target  string // URL, host or id of the target
	Outcome retry.Outcome
	Status  int // HTTP status; zero: no response
	Err     error
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("target %s (%s): %v", e.Target, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// Client calls engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client { return NewClientThrough(Dial) }

// NewClientThrough is NewClient with connections that dial opens.
func NewClientThrough(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	return &Client{http: &http.Client{Transport: httpclient.NewWithin(Responses, &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	})}}
}

// Dial opens a connection to a target.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}

// Open posts body to path of the engine at base and returns the response. It returns an
// *AttemptError if there is no response, its status is not 200 or it has a content encoding.
func (c *Client) Open(ctx context.Context, base, path string, body []byte) (*Stream, error) {
	// The wrapper hides the reader's type and thereby leaves GetBody unset, so that
	// net/http does not resend the request.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		return nil, &AttemptError{Target: base, Outcome: retry.NotRun, Err: err}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	SetTimeoutHeader(req)
	res, outcome, err := Send(c.http, req)
	if err != nil {
		return nil, &AttemptError{Target: base, Outcome: outcome, Err: err}
	}
	if res.StatusCode != http.StatusOK {
		defer res.Body.Close()
		return nil, &AttemptError{Target: base, Outcome: statusOutcome(res.StatusCode), Status: res.StatusCode, Err: statusError(res)}
	}
	if res.Header.Get("Content-Encoding") != "" {
		_ = res.Body.Close() // it is of no use
		return nil, &AttemptError{Target: base, Outcome: retry.Unknown, Err: errors.New("the response is encoded, which was not requested")}
	}
	return &Stream{EventReader: NewEventReader(res.Body), target: base, body: res.Body}, nil
}

// statusOutcome returns the outcome of a completion whose response has an error status.
// A 5xx or 429 is Unknown: the engine has received the request, and even a refusal does
// not prove that nothing ran. Completions have no effect beyond their response, so
// another engine may be tried. Other statuses count as Ran.
func statusOutcome(status int) retry.Outcome {
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		return retry.Unknown
	}
	return retry.Ran
}

// statusError returns an error with the response's status and the start of its body.
func statusError(res *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, 4<<10))
	if err != nil {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return fmt.Errorf("status %d: %s", res.StatusCode, bytes.TrimSpace(body))
}

// Stream is an engine's response to a completion.
type Stream struct {
	*EventReader
	target string
	body   io.ReadCloser
}

// Close closes the response, which cancels an unfinished generation at the engine.
func (s *Stream) Close() {
	_ = s.body.Close() // the response is no longer needed
	s.hold.Close()
}

// ReadAll returns the complete response of a completion that is not streamed. It fails if
// the response exceeds maxResponseBytes. The response is counted in the budget until the hold is
// closed.
func (s *Stream) ReadAll() ([]byte, *httpclient.Hold, error) {
	data, hold, err := httpclient.ReadBody(s.body, maxResponseBytes)
	if err != nil {
		return nil, nil, &AttemptError{Target: s.target, Outcome: retry.Unknown, Err: err}
	}
	return data, hold, nil
}

// Next returns the next event's payload. It returns io.EOF after the end marker, and an
// *AttemptError if the stream ends without it or with a failure. The slice is valid
// until the next call.
func (s *Stream) Next() ([]byte, error) {
	payload, err := s.EventReader.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, &AttemptError{Target: s.target, Outcome: retry.Unknown, Err: err}
	}
	return payload, err
}

// Load fetches the engine's load report.
func (c *Client) Load(ctx context.Context, base string) (LoadReport, error) {
	var report LoadReport
	err := c.get(ctx, base+"/load", &report)
	return report, err
}

// Events fetches the cache events with a Seq greater than after.
func (c *Client) Events(ctx context.Context, base string, after int64) (CacheEvents, error) {
	var events CacheEvents
	err := c.get(ctx, base+"/cache/events?after="+strconv.FormatInt(after, 10), &events)
	return events, err
}

func (c *Client) get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	return c.do(req, out)
}

// SendOrder sends a management order and returns when the engine has executed it.
func (c *Client) SendOrder(ctx context.Context, base string, order Order) error {
	data, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("order %s: %w", order.ID, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/manage", bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("order %s: %w", order.ID, err)
	}
	req.Header.Set("Content-Type", "application/json")
	return c.do(req, nil)
}

// do sends the request and decodes the response into out, unless out is nil. If there is
// no response or its status is not 2xx, it returns an *AttemptError, which wraps
// ErrFenced for status 409.
func (c *Client) do(req *http.Request, out any) error {
	res, outcome, err := Send(c.http, req)
	if err != nil {
		return &AttemptError{Target: req.URL.Host, Outcome: outcome, Err: err}
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusConflict {
		return &AttemptError{Target: req.URL.Host, Outcome: retry.NotRun, Status: res.StatusCode, Err: ErrFenced}
	}
	if res.StatusCode/100 != 2 {
		return &AttemptError{Target: req.URL.Host, Outcome: retry.Ran, Status: res.StatusCode, Err: statusError(res)}
	}
	if out == nil {
		return nil
	}
	data, hold, err := httpclient.ReadBody(res.Body, maxResponseBytes)
	defer hold.Close()
	if err == nil {
		err = json.NewDecoder(bytes.NewReader(data)).Decode(out)
	}
	if err != nil {
		return fmt.Errorf("decode response of %s: %w", req.URL.Host, err)
	}
	return nil
}
