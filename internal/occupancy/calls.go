package occupancy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/amaranthfold/amaranthfold/core/occupancy"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	// refusalLogInterval is the shortest time between two log lines about refused messages.
	refusalLogInterval = time.Second
	// bodyTimeout is how long reading a message may take. Its sender gives up after callTimeout;
	// slower ones would keep others from being read.
	bodyTimeout = time.Second
	// maxResponseBytes bounds what is read of an error message.
	maxResponseBytes = 4 << 10
)

// call sends an encoded message to the runner with the address.
func (e *Exchange) call(ctx context.Context, address string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	res, err := e.cfg.Client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, _ = io.CopyN(io.Discard, res.Body, maxResponseBytes) // so that the connection is used again
	if res.StatusCode != http.StatusNoContent {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// Handler returns the handler of the messages of other instances. It answers with status 204 if
// the message was applied, and with 409 if a full message is needed.
func (e *Exchange) Handler() http.Handler { return http.HandlerFunc(e.serve) }

func (e *Exchange) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "only POST is allowed", http.StatusMethodNotAllowed)
		return
	}
	if r.ContentLength > occupancy.MaxMessageBytes {
		e.refuse(w, r, http.StatusRequestEntityTooLarge, fmt.Errorf("%w: %d bytes", occupancy.ErrMalformed, r.ContentLength))
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	default:
		e.refuse(w, r, http.StatusServiceUnavailable, errors.New("too many messages at once"))
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout)) // not supported by all writers
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, occupancy.MaxMessageBytes))
	if err != nil {
		e.refuse(w, r, http.StatusBadRequest, err)
		return
	}
	m, err := occupancy.Decode(data)
	if err == nil && !e.cfg.Known(m.From) {
		e.refuse(w, r, http.StatusForbidden, fmt.Errorf("unknown instance %q", m.From))
		return
	}
	if err == nil && e.cfg.MaySend != nil && !e.cfg.MaySend(r.Context(), m.From) {
		e.refuse(w, r, http.StatusForbidden, fmt.Errorf("the sender is not the instance %q", m.From))
		return
	}
	if err == nil {
		err = e.apply(m)
	}
	switch {
	case err == nil:
		e.metrics.received.Inc()
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, occupancy.ErrFullNeeded):
		e.metrics.rejected.Inc()
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, occupancy.ErrOldIncarnation):
		e.refuse(w, r, http.StatusConflict, err)
	case errors.Is(err, occupancy.ErrTooManyRunners):
		e.refuse(w, r, http.StatusServiceUnavailable, err)
	default:
		e.refuse(w, r, http.StatusBadRequest, err)
	}
}

func (e *Exchange) apply(m occupancy.Message) error {
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.table.Apply(now, m.From, m); err != nil {
		return err
	}
	if e.cfg.News != nil {
		e.cfg.News()
	}
	return nil
}

// refuse answers a message that is not applied, and logs that with a bounded rate.
func (e *Exchange) refuse(w http.ResponseWriter, r *http.Request, status int, err error) {
	e.metrics.rejected.Inc()
	http.Error(w, err.Error(), status)
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	due := now >= e.refusalUntil
	if due {
		e.refusalUntil = now + refusalLogInterval
	}
	e.mu.Unlock()
	if due {
		e.log("occupancy message refused", events.F("from", r.RemoteAddr), events.F("error", err.Error()))
	}
}
