package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	api "github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/standin"
)

const defaultMaxTokens = 16

// Handler serves the engine's contract.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { standin.WriteJSON(w, e.delayedLoad()) })
	mux.HandleFunc("GET /cache/events", e.handleEvents)
	mux.HandleFunc("POST /kv/export", e.handleExport)
	mux.HandleFunc("POST /kv/import", e.handleImport)
	mux.HandleFunc("POST /manage", e.handleManage)
	return mux
}

// completion writes one completion in the shape of its API.
type completion struct {
	id     string
	model  string
	chat   bool
	prompt int // tokens
}

func (a completion) chunk(word string, version int64, finish *string, stream bool) api.Chunk {
	c := api.Chunk{ID: a.id, Created: time.Now().Unix(), Model: a.model, Version: version, Object: "text_completion"}
	choice := api.Choice{FinishReason: finish}
	switch {
	case a.chat && stream:
		c.Object = "chat.completion.chunk"
		choice.Delta = &api.Message{Role: "assistant", Content: api.Text(word)}
	case a.chat:
		c.Object = "chat.completion"
		choice.Message = &api.Message{Role: "assistant", Content: api.Text(word)}
	default:
		choice.Text = word
	}
	c.Choices = []api.Choice{choice}
	return c
}

func (a completion) usage(generated int) *api.Usage {
	return &api.Usage{PromptTokens: a.prompt, CompletionTokens: generated, TotalTokens: a.prompt + generated}
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "request body", http.StatusBadRequest)
		return
	}
	var req api.Request
	if err := json.Unmarshal(raw, &req); err != nil {
		http.Error(w, fmt.Sprintf("request body: %v", err), http.StatusBadRequest)
		return
	}
	id, cut := e.recordRequest(r, string(raw))
	prompt := PromptText(req)
	end := req.TokenLimit()
	if end <= 0 {
		end = defaultMaxTokens
	}
	from, kv := 0, ""
	if req.Continue != nil {
		from, kv = req.Continue.Tokens, req.Continue.KV
	}
	s := e.add(prompt, req.Seed, from, end, kv)
	if s == nil {
		http.Error(w, "engine is stopping", http.StatusServiceUnavailable)
		return
	}
	e.storeKV(id, s)
	defer e.cancel(s)
	a := completion{id: id, model: req.Model, chat: chat, prompt: len(strings.Fields(prompt))}
	if req.Stream {
		e.stream(w, r, a, s, req, cut)
		return
	}
	e.writeCompletion(w, r, a, s, cut)
}

// PromptText returns the text that generation depends on.
func PromptText(req api.Request) string {
	if len(req.Messages) == 0 {
		return string(req.Prompt)
	}
	var parts []string
	for _, m := range req.Messages {
		parts = append(parts, m.Role+": "+string(m.Content))
	}
	return strings.Join(parts, "\n")
}

// recordRequest keeps the request for checks and takes the pending cut.
func (e *Engine) recordRequest(r *http.Request, body string) (id string, cut int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.receivedRequests = append(e.receivedRequests, ReceivedRequest{Header: r.Header.Clone(), URL: r.URL.String(), Body: body})
	cut, e.abortAfter = e.abortAfter, 0
	e.nextID++
	return "cmpl-" + strconv.FormatInt(e.nextID, 10), cut
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a completion, s *sequence, req api.Request, cut int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	generated := 0
	write := func(c api.Chunk) {
		data, err := json.Marshal(c)
		if err != nil {
			standin.AbortConnection(w)
		}
		fmt.Fprintf(w, "data: %s\n\n", data)
		_ = flusher.Flush() // the peer may be gone
	}
	version := int64(0)
	for {
		select {
		case <-r.Context().Done():
			return
		case tok, ok := <-s.out:
			if !ok {
				e.finishStream(w, a, req, generated, s, version, write)
				return
			}
			generated++
			version = tok.version
			write(a.chunk(tok.word+" ", tok.version, nil, true))
			if cut > 0 && generated == cut {
				standin.AbortConnection(w)
			}
		}
	}
}

// finishStream ends a whole generation with its marker and cuts an unfinished one.
func (e *Engine) finishStream(w http.ResponseWriter, a completion, req api.Request, generated int, s *sequence, version int64, write func(api.Chunk)) {
	if e.unfinished(s) {
		standin.AbortConnection(w)
	}
	reason := "length"
	write(a.chunk("", version, &reason, true))
	if req.StreamOptions != nil && req.StreamOptions.IncludeUsage {
		c := a.chunk("", version, nil, true)
		c.Choices, c.Usage = []api.Choice{}, a.usage(generated)
		write(c)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) unfinished(s *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.next < s.end
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, a completion, s *sequence, cut int) {
	var text strings.Builder
	generated, version := 0, int64(0)
	for {
		select {
		case <-r.Context().Done():
			return
		case tok, ok := <-s.out:
			if ok {
				generated++
				version = tok.version
				text.WriteString(tok.word + " ")
				if cut > 0 && generated == cut {
					standin.AbortConnection(w)
				}
				continue
			}
			if e.unfinished(s) {
				standin.AbortConnection(w)
			}
			reason := "length"
			c := a.chunk(text.String(), version, &reason, false)
			c.Usage = a.usage(generated)
			standin.WriteJSON(w, c)
			return
		}
	}
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(after)
	e.mu.Unlock()
	standin.WriteJSON(w, events)
}
