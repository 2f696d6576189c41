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
	// writeTimeout is the timeout of a write to a caller.
	writeTimeout = 30 * time.Second
	// writeDeadlineRenewal is the time after which a flush renews the write deadline.
	writeDeadlineRenewal = 5 * time.Second
)

var (
	eventPrefix = []byte("data: ")
	eventEnd    = []byte("\n\n")
	doneEvent   = []byte("data: [DONE]\n\n")
)

// errClientDisconnected ends a request whose caller has disconnected or does not read.
var errClientDisconnected = errors.New("the caller does not read its answer")

// streamWriter writes server-sent events to a caller.
type streamWriter struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	started       bool
	deadlineSetAt time.Time // when the write deadline was last set
	err           error     // first write error
}

func newStreamWriter(w http.ResponseWriter) *streamWriter {
	return &streamWriter{w: w, controller: http.NewResponseController(w)}
}

func (s *streamWriter) start() {
	if !s.started {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-cache")
		s.started = true
	}
}

// event writes one event. A write error is reported by flush.
func (s *streamWriter) event(payload []byte) {
	s.start()
	s.write(eventPrefix)
	s.write(payload)
	s.write(eventEnd)
}

func (s *streamWriter) write(data []byte) {
	if s.err == nil {
		_, s.err = s.w.Write(data)
	}
}

// flush sends the written data. It returns errClientDisconnected if a write failed,
// which includes a caller that does not read for writeTimeout. Before the first event it does
// nothing: the response may become an error.
func (s *streamWriter) flush() error {
	if !s.started {
		return nil
	}
	if now := time.Now(); now.Sub(s.deadlineSetAt) > writeDeadlineRenewal {
		s.deadlineSetAt = now
		_ = s.controller.SetWriteDeadline(now.Add(writeTimeout)) // some writers support no deadlines
	}
	if s.err == nil {
		s.err = s.controller.Flush()
	}
	if s.err != nil {
		return fmt.Errorf("%w: %w", errClientDisconnected, s.err)
	}
	return nil
}

// end writes the end marker and flushes it.
func (s *streamWriter) end() error {
	s.start()
	s.write(doneEvent)
	return s.flush()
}

// fail ends a started stream with an error event and without the end marker. It cuts the
// connection, so that the response does not look complete, and does not return.
func (s *streamWriter) fail(f *failure) {
	s.event(f.body())
	_ = s.flush() // the caller may have disconnected
	panic(http.ErrAbortHandler)
}

// respondStream responds to a streamed completion. When an engine fails, another one
// resumes the stream after the delivered tokens.
func (s *Server) respondStream(ctx context.Context, w http.ResponseWriter, req *completionRequest) {
	attempts := s.newRequestAttempts(req.call, req.service.Name, true)
	out, delivered := newStreamWriter(w), &deliveredStream{}
	err := s.streamAttempts(ctx, attempts, req, out, delivered)
	s.meterTokens(req, delivered.tokens)
	if err == nil || errors.Is(err, errClientDisconnected) {
		return
	}
	if f := attempts.failure(ctx); out.started {
		out.fail(f.withinStream())
	} else {
		f.write(w)
	}
}

// streamAttempts runs attempts until the response is complete or no further attempt is
// allowed. It returns nil if the end marker was written, else the last error.
func (s *Server) streamAttempts(ctx context.Context, attempts *requestAttempts, req *completionRequest, out *streamWriter, delivered *deliveredStream) error {
	for {
		target, err := attempts.chooseTarget()
		if err != nil {
			if attempts.lastErr == nil {
				attempts.lastErr = err
			}
			return err
		}
		tokensBefore := delivered.tokens
		err = s.streamAttempt(ctx, attempts, req, target, out, delivered)
		if err == nil || errors.Is(err, errClientDisconnected) {
			return err
		}
		moved := errors.Is(err, errStreamMoved)
		if !attempts.failed(ctx, target, err, moved || delivered.tokens > tokensBefore) {
			return err
		}
		if delivered.finished && !req.wantsUsage() {
			return out.end()
		}
		if delivered.notResumable || req.multipleChoices() {
			return err
		}
		if delivered.kvSource = nil; moved {
			delivered.kvSource = s.exportKV(ctx, req, target, delivered)
		}
		if delivered.tokens > 0 {
			s.Events.Record("stream resumed", events.F("request", req.id), events.F("after", target.ID),
				events.F("tokens", fmt.Sprint(delivered.tokens)), events.F("moved", fmt.Sprint(moved)))
		}
	}
}

// streamAttempt runs the completion on one target, from after the delivered tokens.
func (s *Server) streamAttempt(ctx context.Context, attempts *requestAttempts, req *completionRequest, target *route.Target, out *streamWriter, delivered *deliveredStream) error {
	grant, err := s.admitCompletion(ctx, req, target, delivered.tokens)
	if err != nil {
		return err
	}
	defer func() { grant.Finish(float64(delivered.tokens - delivered.resumedTokens)) }()
	body, err := delivered.prepareAttempt(req.body, s.importKV(ctx, req, delivered.kvSource, target))
	if err != nil {
		return err
	}
	ctx, release := s.activeStreams.track(ctx, target.ID)
	defer release()
	stream, err := s.Engines.Open(ctx, target.URL, req.path, body)
	if err != nil {
		return s.activeStreams.attemptError(ctx, err)
	}
	defer stream.Close()
	if err := copyEvents(stream, out, delivered); err != nil {
		return s.activeStreams.attemptError(ctx, err)
	}
	attempts.succeeded(target)
	return nil
}

// copyEvents copies events to the caller up to and including the end marker. It flushes
// when no further event is buffered, and waits for minFlushInterval after a small flush.
func copyEvents(stream *engine.Stream, out *streamWriter, delivered *deliveredStream) error {
	var throttle flushThrottle
	for {
		payload, err := stream.Next()
		if errors.Is(err, io.EOF) && !delivered.finished {
			err = &engine.AttemptError{Err: fmt.Errorf("%w: no finish reason", engine.ErrTruncated)}
		}
		if errors.Is(err, io.EOF) {
			return out.end()
		}
		if err != nil {
			return errors.Join(err, out.flush())
		}
		if delivered.resumed {
			if payload, err = delivered.rewriteEvent(payload); err != nil {
				return &engine.AttemptError{Err: err}
			}
			if payload == nil {
				continue
			}
		}
		if err := delivered.add(payload); err != nil {
			return errors.Join(&engine.AttemptError{Err: err}, out.flush())
		}
		out.event(payload)
		throttle.addBytes(len(payload))
		if stream.HasBufferedEvent() {
			continue
		}
		if err := out.flush(); err != nil {
			return err
		}
		if throttle.recordFlush() {
			time.Sleep(minFlushInterval)
		}
	}
}

// wantsUsage reports whether the stream ends with a usage event.
func (req *completionRequest) wantsUsage() bool {
	options := req.params.StreamOptions
	return options != nil && options.IncludeUsage
}

// multipleChoices reports whether the caller requested several choices, which a
// continuation cannot express.
func (req *completionRequest) multipleChoices() bool {
	var counts struct {
		N      int `json:"n"`
		BestOf int `json:"best_of"`
	}
	return json.Unmarshal(req.body, &counts) != nil || counts.N > 1 || counts.BestOf > 1
}
