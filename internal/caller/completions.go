package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/amaranthfold/amaranthfold/core/admit"
	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/core/usage"
	"github.com/amaranthfold/amaranthfold/internal/dispatch"
	"github.com/amaranthfold/amaranthfold/internal/engine"
)

const (
	defaultMaxTokens = 16
	promptTokenCost  = 0.1 // cost of a prompt token against a generated one
)

// completion is an engine call with its parsed request.
type completion struct {
	*call
	service *config.Service
	path    string
	body    []byte
	request engine.Request
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, path string) {
	c, ctx, end, ok := s.admit(w, r)
	if !ok {
		return
	}
	defer end()
	job, fail := s.parse(w, r, c, path)
	if fail != nil {
		fail.write(w)
		return
	}
	if job.request.Stream {
		s.respondStream(ctx, w, job)
	} else {
		s.respondUnary(ctx, w, job)
	}
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
	c.prefix = prefixHash(c.account.Name, &job.request)
	return job, nil
}

// cost estimates the completion in generated tokens.
func (job *completion) cost() float64 {
	generated := job.request.TokenLimit()
	if generated <= 0 {
		generated = defaultMaxTokens
	}
	return float64(generated) + promptTokenCost*float64(job.promptTokens())
}

// promptTokens estimates the prompt's length.
func (job *completion) promptTokens() int {
	n := len(strings.Fields(string(job.request.Prompt)))
	for _, m := range job.request.Messages {
		n += len(strings.Fields(string(m.Content)))
	}
	return n
}

// respondUnary answers a completion that is not streamed. An answer that did not
// arrive whole is generated again elsewhere: completions have no other effect.
func (s *Server) respondUnary(ctx context.Context, w http.ResponseWriter, job *completion) {
	e := s.newRequestAttempts(job.call, job.service.Name, true)
	for {
		target, err := e.chooseTarget()
		if err != nil {
			if e.lastErr == nil {
				e.lastErr = err
			}
			break
		}
		answer, err := s.attemptUnary(ctx, job, target)
		if err == nil {
			e.succeeded(target)
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(answer) // the caller may be gone
			return
		}
		if !e.failed(ctx, target, err, false) {
			break
		}
	}
	e.failure(ctx).write(w)
}

// attemptUnary runs the completion on one target and returns its answer.
func (s *Server) attemptUnary(ctx context.Context, job *completion, target *route.Target) ([]byte, error) {
	grant, err := s.admitCompletion(ctx, job, target, 0)
	if err != nil {
		return nil, err
	}
	used := 0
	defer func() { grant.Finish(float64(used)) }()
	stream, err := s.Engines.Open(ctx, target.URL, job.path, job.body)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	data, err := stream.ReadAll()
	if err != nil {
		return nil, err
	}
	var chunk engine.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return nil, &engine.AttemptError{Target: target.ID, Outcome: retry.Unknown, Err: fmt.Errorf("answer: %w", err)}
	}
	used = 1
	if chunk.Usage != nil {
		used = chunk.Usage.CompletionTokens
	}
	s.meterTokens(job, used)
	return data, nil
}

// admitCompletion waits for a slot at the target for what is left after done
// tokens.
func (s *Server) admitCompletion(ctx context.Context, job *completion, target *route.Target, done int) (*dispatch.Grant, error) {
	flow, weight := job.flow()
	cost := max(job.cost()-float64(done), 1)
	asked := s.Clock.Now()
	grant, err := s.Dispatch.Admit(ctx, target, dispatch.Request{Flow: flow, Weight: weight, Cost: cost, Class: admit.ClassCaller})
	if err != nil {
		return nil, err
	}
	s.recordSent(job.call, target, asked)
	return grant, nil
}

// meterTokens notes the answer's use for the bill.
func (s *Server) meterTokens(job *completion, generated int) {
	if generated > 0 {
		s.meterUsage(job.call, job.service.Name, usage.Count{Requests: 1, PromptTokens: int64(job.promptTokens()), GeneratedTokens: int64(generated)})
	}
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
	c, _, end, ok := s.admit(w, r)
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
