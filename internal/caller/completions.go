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
	"github.com/amaranthfold/amaranthfold/internal/httpclient"
)

const (
	defaultMaxTokens = 16  // assumed for requests without a token limit
	promptTokenCost  = 0.1 // cost of a prompt token; that of a generated token is 1
)

// completionRequest is a request to an engine service.
type completionRequest struct {
	*call
	service *config.Service
	path    string
	body    []byte
	params  engine.Request
}

// serveCompletion serves a completion. The path is that of the API and of the engines.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, path string) {
	c, ctx, release, ok := s.admit(w, r)
	if !ok {
		return
	}
	defer release()
	req, fail := s.parseCompletion(w, r, c, path)
	if fail != nil {
		fail.write(w)
		return
	}
	if req.params.Stream {
		s.respondStream(ctx, w, req)
	} else {
		s.respondUnary(ctx, w, req)
	}
}

// parseCompletion reads the body and checks that the account may use the model.
func (s *Server) parseCompletion(w http.ResponseWriter, r *http.Request, c *call, path string) (*completionRequest, *failure) {
	body, fail := readBody(w, r)
	if fail != nil {
		return nil, fail
	}
	req := &completionRequest{call: c, path: path, body: body}
	if err := json.Unmarshal(body, &req.params); err != nil {
		return nil, refuse(http.StatusBadRequest, "invalid_body", "the request body is not valid: "+err.Error())
	}
	if req.params.Continue != nil {
		return nil, refuse(http.StatusBadRequest, "invalid_body", "amaranth_continue is not for callers")
	}
	req.service = c.snapshot.Config.ServiceForModel(req.params.Model)
	if req.service == nil {
		return nil, refuse(http.StatusNotFound, "model_not_found", "model "+req.params.Model+" does not exist")
	}
	if !c.account.MayUse(req.service.Name) {
		return nil, refuse(http.StatusForbidden, "not_allowed", "client account "+c.account.Name+" may not use model "+req.params.Model)
	}
	c.prefix = prefixHash(c.account.Name, &req.params)
	return req, nil
}

// cost estimates the cost of the completion in generated tokens.
func (req *completionRequest) cost() float64 {
	generated := req.params.TokenLimit()
	if generated <= 0 {
		generated = defaultMaxTokens
	}
	return float64(generated) + promptTokenCost*float64(req.promptTokens())
}

// promptTokens estimates the prompt's length in tokens by its words.
func (req *completionRequest) promptTokens() int {
	n := len(strings.Fields(string(req.params.Prompt)))
	for _, m := range req.params.Messages {
		n += len(strings.Fields(string(m.Content)))
	}
	return n
}

// respondUnary responds to a completion that is not streamed. A response that did not
// arrive completely is generated again on another engine, which is safe since
// completions have no side effects.
func (s *Server) respondUnary(ctx context.Context, w http.ResponseWriter, req *completionRequest) {
	attempts := s.newRequestAttempts(req.call, req.service.Name, true)
	for {
		target, err := attempts.chooseTarget()
		if err != nil {
			if attempts.lastErr == nil {
				attempts.lastErr = err
			}
			break
		}
		response, hold, err := s.attemptUnary(ctx, req, target)
		if err == nil {
			defer hold.Close()
			attempts.succeeded(target)
			w.Header().Set("Content-Type", "application/json")
			writeBody(w, http.StatusOK, response)
			return
		}
		if !attempts.failed(ctx, target, err, false) {
			break
		}
	}
	attempts.failure(ctx).write(w)
}

// attemptUnary runs the completion on one target and returns the response body. The caller closes
// its hold.
func (s *Server) attemptUnary(ctx context.Context, req *completionRequest, target *route.Target) (data []byte, hold *httpclient.Hold, err error) {
	grant, err := s.admitCompletion(ctx, req, target, 0)
	if err != nil {
		return nil, nil, err
	}
	generated := 0
	defer func() { grant.Finish(float64(generated)) }()
	stream, err := s.Engines.Open(ctx, target.URL, req.path, req.body)
	if err != nil {
		return nil, nil, err
	}
	defer stream.Close()
	if data, hold, err = stream.ReadAll(); err != nil {
		return nil, nil, err
	}
	var chunk engine.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		hold.Close()
		return nil, nil, &engine.AttemptError{Target: target.ID, Outcome: retry.Unknown, Err: fmt.Errorf("answer: %w", err)}
	}
	if chunk.Choices == nil {
		defer hold.Close() // the error names the start of the response
		return nil, nil, &engine.AttemptError{Target: target.ID, Outcome: retry.Unknown, Err: fmt.Errorf("answer without choices: %.200s", data)}
	}
	generated = 1 // if the engine reports no usage
	if chunk.Usage != nil {
		generated = chunk.Usage.CompletionTokens
	}
	s.meterTokens(req, generated)
	return data, hold, nil
}

// admitCompletion waits for a slot at the target. The cost is that of the completion
// less the tokens that were delivered, at least 1.
func (s *Server) admitCompletion(ctx context.Context, req *completionRequest, target *route.Target, deliveredTokens int) (*dispatch.Grant, error) {
	flow, weight := req.flow()
	cost := max(req.cost()-float64(deliveredTokens), 1)
	requestedAt := s.Clock.Now()
	grant, err := s.Dispatch.Admit(ctx, target, dispatch.Request{Flow: flow, Weight: weight, Cost: cost, Class: admit.ClassCaller})
	if err != nil {
		return nil, err
	}
	s.recordSent(req.call, target, requestedAt)
	return grant, nil
}

// meterTokens records the billable usage of a completion.
func (s *Server) meterTokens(req *completionRequest, generated int) {
	if generated > 0 {
		s.meterUsage(req.call, req.service.Name, usage.Count{Requests: 1, PromptTokens: int64(req.promptTokens()), GeneratedTokens: int64(generated)})
	}
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem is one model of a modelList.
type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// models lists the models that the account may use.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	c, _, release, ok := s.admit(w, r)
	if !ok {
		return
	}
	defer release()
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, service := range c.snapshot.Config.Services {
		if service.Kind == config.KindEngine && c.account.MayUse(service.Name) {
			list.Data = append(list.Data, modelItem{ID: service.Model, Object: "model"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // the caller may have disconnected
}
