package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	// writeTimeout is how long one write to a caller may take.
	writeTimeout = 30 * time.Second
	// writeDeadlineRenewal is how much of it may pass before it is renewed.
	writeDeadlineRenewal = 5 * time.Second
)

var (
	eventPrefix = []byte("data: ")
	eventEnd    = []byte("\n\n")
	doneEvent   = []byte("data: [DONE]\n\n")
)

// errClientDisconnected ends a request whose caller no longer reads.
var errClientDisconnected = errors.New("the caller does not read its answer")

// streamWriter is the caller's end of a stream.
type streamWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
	renewed time.Time // when the write deadline was last set
	err     error     // first failure to write
}

func newSink(w http.ResponseWriter) *streamWriter {
	return &streamWriter{w: w, control: http.NewResponseController(w)}
}

// event writes one event. Flush reports a lost caller.
func (o *streamWriter) event(payload []byte) {
	if !o.started {
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-cache")
		o.started = true
	}
	o.write(eventPrefix)
	o.write(payload)
	o.write(eventEnd)
}

func (o *streamWriter) write(data []byte) {
	if o.err == nil {
		_, o.err = o.w.Write(data)
	}
}

// flush sends what has been written. A caller that does not read for
// slowCallerLimit is lost.
func (o *streamWriter) flush() error {
	if now := time.Now(); now.Sub(o.renewed) > writeDeadlineRenewal {
		o.renewed = now
		_ = o.control.SetWriteDeadline(now.Add(writeTimeout)) // a writer without deadlines has none
	}
	if o.err == nil {
		o.err = o.control.Flush()
	}
	if o.err != nil {
		return fmt.Errorf("%w: %w", errClientDisconnected, o.err)
	}
	return nil
}

// end writes the end marker.
func (o *streamWriter) end() error {
	if !o.started {
		o.w.Header().Set("Content-Type", "text/event-stream")
	}
	o.write(doneEvent)
	return o.flush()
}

// fail ends a started stream with a typed error and without the end marker.
func (o *streamWriter) fail(f *failure) {
	o.event(f.body())
	_ = o.flush() // the caller may be gone
}

// respondStream answers a streamed completion. When an engine fails, another goes
// on after the tokens that the caller already has.
func (s *Server) respondStream(ctx context.Context, w http.ResponseWriter, job *completion) {
	e := s.newRequestAttempts(job.call, job.service.Name, true)
	out, h := newSink(w), &deliveredStream{}
	err := s.streamAttempts(ctx, e, job, out, h)
	s.meterTokens(job, h.tokens)
	if err == nil || errors.Is(err, errClientDisconnected) {
		return
	}
	if f := e.failure(ctx); out.started {
		out.fail(f)
	} else {
		f.write(w)
	}
}

// streamAttempts returns nil after the end marker has been written.
func (s *Server) streamAttempts(ctx context.Context, e *requestAttempts, job *completion, out *streamWriter, h *deliveredStream) error {
	for {
		target, err := e.chooseTarget()
		if err != nil {
			if e.lastErr == nil {
				e.lastErr = err
			}
			return err
		}
		before := h.tokens
		err = s.streamAttempt(ctx, e, job, target, out, h)
		if err == nil || errors.Is(err, errClientDisconnected) {
			return err
		}
		moved := errors.Is(err, errStreamMoved)
		if !e.failed(ctx, target, err, moved || h.tokens > before) {
			return err
		}
		if h.finished && !job.wantsUsage() {
			return out.end()
		}
		if h.notResumable || job.multipleChoices() {
			return err
		}
		if h.kvSource = nil; moved {
			h.kvSource = s.exportKV(ctx, job, target, h)
		}
		if h.tokens > 0 {
			s.Events.Record("stream resumed", events.F("request", job.id), events.F("after", target.ID),
				events.F("tokens", fmt.Sprint(h.tokens)), events.F("moved", fmt.Sprint(moved)))
		}
	}
}

// streamAttempt runs the rest of the completion on one target.
func (s *Server) streamAttempt(ctx context.Context, e *requestAttempts, job *completion, target *route.Target, out *streamWriter, h *deliveredStream) error {
	grant, err := s.admitCompletion(ctx, job, target, h.tokens)
	if err != nil {
		return err
	}
	defer func() { grant.Finish(float64(h.tokens - h.resumedAt)) }()
	body, err := h.resume(job.body, s.importKV(ctx, job, h.kvSource, target))
	if err != nil {
		return err
	}
	ctx, end := s.moves.track(ctx, target.ID)
	defer end()
	stream, err := s.Engines.Open(ctx, target.URL, job.path, body)
	if err != nil {
		return s.moves.attemptError(ctx, err)
	}
	defer stream.Close()
	if err := copyEvents(stream, out, h); err != nil {
		return s.moves.attemptError(ctx, err)
	}
	e.succeeded(target)
	return nil
}

// copyEvents copies events to the caller until the end marker.
func copyEvents(stream *engine.Stream, out *streamWriter, h *deliveredStream) error {
	var p pacer
	for {
		payload, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return out.end()
		}
		if err != nil {
			return errors.Join(err, out.flush())
		}
		if h.resumed {
			if payload, err = h.rewriteEvent(payload); err != nil {
				return &engine.AttemptError{Err: err}
			}
			if payload == nil {
				continue
			}
		}
		out.event(payload)
		h.add(payload)
		p.wrote(len(payload))
		if stream.HasBufferedEvent() {
			continue
		}
		if err := out.flush(); err != nil {
			return err
		}
		if p.flushed() {
			time.Sleep(minFlushInterval)
		}
	}
}

// wantsUsage reports whether the stream ends with a usage event.
func (job *completion) wantsUsage() bool {
	o := job.request.StreamOptions
	return o != nil && o.IncludeUsage
}

// multipleChoices reports whether the caller asked for several answers at once,
// which a continuation cannot carry.
func (job *completion) multipleChoices() bool {
	var req struct {
		N      int `json:"n"`
		BestOf int `json:"best_of"`
	}
	return json.Unmarshal(job.body, &req) != nil || req.N > 1 || req.BestOf > 1
}
