package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/amaranthfold/amaranthfold/core/admit"
	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/core/usage"
	"github.com/amaranthfold/amaranthfold/internal/dispatch"
	"github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	maxAttempts      = 3
	defaultMaxTokens = 16
	promptCostShare  = 0.1 // cost of a prompt token against a generated one
)

// completion is an engine call with its parsed request.
type completion struct {
	*call
	service *config.Service
	path    string
	body    []byte
	request engine.Request
}

func (s *Server) engineCall(w http.ResponseWriter, r *http.Request, path string) {
	c, ctx, end, ok := s.enter(w, r)
	if !ok {
		return
	}
	defer end()
	job, fail := s.parse(w, r, c, path)
	if fail != nil {
		fail.write(w)
		return
	}
	s.complete(ctx, w, job)
}

func (s *Server) parse(w http.ResponseWriter, r *http.Request, c *call, path string) (*completion, *failure) {
	body, fail := readBody(w, r)
	if fail != nil {
		return nil, fail
	}
	job := &completion{call: c, path: path, body: body}
	if err := json.Unmarshal(body, &job.request); err != nil {
		return nil, refuse(http.StatusBadRequest, "invalid_body", "the request body is not valid: "+err.Error())
	}
	if job.request.Continue != nil {
		return nil, refuse(http.StatusBadRequest, "invalid_body", "amaranth_continue is not for callers")
	}
	job.service = c.snapshot.Config.ServiceForModel(job.request.Model)
	if job.service == nil {
		return nil, refuse(http.StatusNotFound, "model_not_found", "model "+job.request.Model+" does not exist")
	}
	if !c.account.MayUse(job.service.Name) {
		return nil, refuse(http.StatusForbidden, "not_allowed", "client account "+c.account.Name+" may not use model "+job.request.Model)
	}
	return job, nil
}

// cost estimates the completion in generated tokens.
func (job *completion) cost() float64 {
	generated := job.request.MaxTokens
	if generated <= 0 {
		generated = defaultMaxTokens
	}
	return float64(generated) + promptCostShare*float64(job.promptTokens())
}

// promptTokens estimates the prompt's length.
func (job *completion) promptTokens() int {
	n := len(strings.Fields(job.request.Prompt))
	for _, m := range job.request.Messages {
		n += len(strings.Fields(m.Content))
	}
	return n
}

// complete tries targets until one has answered or may have run the request.
func (s *Server) complete(ctx context.Context, w http.ResponseWriter, job *completion) {
	tried := map[string]bool{}
	var last error
	for range maxAttempts {
		target, err := s.choose(job, tried)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		tried[target.ID] = true
		started, err := s.attempt(ctx, w, job, target)
		if err == nil || started {
			return
		}
		last = err
		if !retryable(err) || ctx.Err() != nil {
			break
		}
	}
	if cause := context.Cause(ctx); cause != nil && ctx.Err() != nil {
		last = cause
	}
	fail := asFailure(last)
	s.Events.Record("request failed", events.F("request", job.id), events.F("account", job.account.Name), events.F("outcome", fail.outcome.String()), events.F("code", fail.code))
	fail.write(w)
}

func (s *Server) choose(job *completion, tried map[string]bool) (*route.Target, error) {
	snapshot := s.Loop.Snapshot()
	return snapshot.Targets.Choose(route.Query{
		Service: job.service.Name, DataCentre: snapshot.Self.DataCentre, Exclude: tried, Random: rand.Uint64(),
	})
}

// retryable reports whether another target may be tried: completions have no
// effect beyond their answer, so only a target's own refusal ends the call.
func retryable(err error) bool {
	var attempt *engine.AttemptError
	if errors.As(err, &attempt) {
		return retry.May(attempt.Outcome, true)
	}
	return true
}

// attempt runs the completion on one target. started tells that a part of the
// answer has gone to the caller.
func (s *Server) attempt(ctx context.Context, w http.ResponseWriter, job *completion, target *route.Target) (started bool, err error) {
	flow, weight := job.flow()
	grant, err := s.Dispatch.Admit(ctx, target, dispatch.Request{Flow: flow, Weight: weight, Cost: job.cost(), Class: admit.ClassCaller})
	if err != nil {
		return false, err
	}
	used := 0.0
	defer func() { grant.Finish(used) }()
	s.Events.Record("request sent", events.F("request", job.id), events.F("account", job.account.Name), events.F("target", target.ID))
	stream, err := s.Engines.Open(ctx, target.URL, job.path, job.body)
	if err != nil {
		return false, err
	}
	defer stream.Close()
	var tokens int
	if job.request.Stream {
		tokens, started, err = s.relay(ctx, w, stream)
	} else {
		tokens, err = s.answer(w, stream)
	}
	used = float64(tokens)
	if tokens > 0 {
		s.count(job.call, job.service.Name, usage.Count{Requests: 1, PromptTokens: int64(job.promptTokens()), GeneratedTokens: int64(tokens)})
	}
	return started, err
}

// answer relays a whole answer once it has arrived whole.
func (s *Server) answer(w http.ResponseWriter, stream *engine.Stream) (tokens int, err error) {
	data, err := stream.Whole()
	if err != nil {
		return 0, err
	}
	var chunk engine.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return 0, &engine.AttemptError{Outcome: retry.Ran, Err: err}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the caller may be gone
	if chunk.Usage == nil {
		return 1, nil
	}
	return chunk.Usage.CompletionTokens, nil
}

var (
	eventPrefix = []byte("data: ")
	eventEnd    = []byte("\n\n")
	doneEvent   = []byte("data: [DONE]\n\n")
)

// relay copies events to the caller. A stream that breaks ends with an error
// event and without the end marker.
func (s *Server) relay(ctx context.Context, w http.ResponseWriter, stream *engine.Stream) (tokens int, started bool, err error) {
	out := http.NewResponseController(w)
	for {
		payload, err := stream.Next()
		if err != nil && !started && !errors.Is(err, io.EOF) {
			return tokens, false, err
		}
		if !started {
			w.Header().Set("Content-Type", "text/event-stream")
			started = true
		}
		if errors.Is(err, io.EOF) {
			_, _ = w.Write(doneEvent) // the caller may be gone
			return tokens, true, nil
		}
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			writeEvent(w, asFailure(err).body())
			return tokens, true, err
		}
		tokens++
		writeEvent(w, payload)
		if err := out.Flush(); err != nil {
			return tokens, true, err
		}
	}
}

func writeEvent(w io.Writer, payload []byte) {
	_, _ = w.Write(eventPrefix) // the flush after it reports a lost caller
	_, _ = w.Write(payload)
	_, _ = w.Write(eventEnd)
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	c, _, end, ok := s.enter(w, r)
	if !ok {
		return
	}
	defer end()
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, service := range c.snapshot.Config.Services {
		if service.Kind == config.KindEngine && c.account.MayUse(service.Name) {
			list.Data = append(list.Data, modelItem{ID: service.Model, Object: "model"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // the caller may be gone
}
