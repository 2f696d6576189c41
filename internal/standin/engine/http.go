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

// defaultMaxTokens is the token limit of requests without one.
const defaultMaxTokens = 16

// Handler serves the engine's interface.
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

// completion formats the chunks of one response for the completions or the chat API.
// It holds the values that all chunks of the response have in common.
type completion struct {
	id           string
	model        string
	chat         bool
	promptTokens int
}

func (c completion) chunk(text string, version int64, finish *string, stream bool) api.Chunk {
	chunk := api.Chunk{ID: c.id, Created: time.Now().Unix(), Model: c.model, Version: version, Object: "text_completion"}
	choice := api.Choice{FinishReason: finish}
	switch {
	case c.chat && stream:
		chunk.Object = "chat.completion.chunk"
		choice.Delta = &api.Message{Role: "assistant", Content: api.Text(text)}
	case c.chat:
		chunk.Object = "chat.completion"
		choice.Message = &api.Message{Role: "assistant", Content: api.Text(text)}
	default:
		choice.Text = text
	}
	chunk.Choices = []api.Choice{choice}
	return chunk
}

func (c completion) usage(generated int) *api.Usage {
	return &api.Usage{PromptTokens: c.promptTokens, CompletionTokens: generated, TotalTokens: c.promptTokens + generated}
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "request body is unreadable", http.StatusBadRequest)
		return
	}
	var req api.Request
	if err := json.Unmarshal(raw, &req); err != nil {
		http.Error(w, fmt.Sprintf("request body: %v", err), http.StatusBadRequest)
		return
	}
	if e.handlerResponds(w, r, req.Continue != nil) {
		return
	}
	id, abortAfter := e.recordRequest(r, string(raw))
	prompt := PromptText(req)
	end := req.TokenLimit()
	if end <= 0 {
		end = defaultMaxTokens
	}
	from, kv := 0, ""
	if req.Continue != nil {
		from, kv = req.Continue.Tokens, req.Continue.KV
	}
	seq := e.add(prompt, req.Seed, from, end, kv)
	if seq == nil {
		http.Error(w, "engine is stopping", http.StatusServiceUnavailable)
		return
	}
	e.storeKV(id, seq)
	defer e.cancel(seq)
	response := completion{id: id, model: req.Model, chat: chat, promptTokens: len(strings.Fields(prompt))}
	if req.Stream {
		e.stream(w, r, response, seq, req, abortAfter)
		return
	}
	e.writeCompletion(w, r, response, seq, abortAfter)
}

// PromptText returns the prompt, or the messages of a chat as one text. The
// generated text is a function of the result.
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

// recordRequest records the request for tests. It returns a new completion id and the
// token count set by AbortAfterTokens, and resets this count.
func (e *Engine) recordRequest(r *http.Request, body string) (id string, abortAfter int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.receivedRequests = append(e.receivedRequests, ReceivedRequest{Header: r.Header.Clone(), URL: r.URL.String(), Body: body})
	abortAfter, e.abortAfter = e.abortAfter, 0
	e.lastID++
	return "cmpl-" + strconv.FormatInt(e.lastID, 10), abortAfter
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, response completion, seq *sequence, req api.Request, abortAfter int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	generated := 0
	writeChunk := func(chunk api.Chunk) {
		data, err := json.Marshal(chunk)
		if err != nil {
			standin.AbortConnection(w)
		}
		fmt.Fprintf(w, "data: %s\n\n", data)
		_ = flusher.Flush() // the client may have disconnected
	}
	version := int64(0)
	for {
		select {
		case <-r.Context().Done():
			return
		case tok, ok := <-seq.out:
			if !ok {
				e.finishStream(w, response, req, generated, seq, version, writeChunk)
				return
			}
			generated++
			version = tok.version
			writeChunk(response.chunk(tok.text+" ", tok.version, nil, true))
			if abortAfter > 0 && generated == abortAfter {
				standin.AbortConnection(w)
			}
		}
	}
}

// finishStream sends the last chunks and the end marker if the sequence is complete.
// Otherwise it aborts the connection.
func (e *Engine) finishStream(w http.ResponseWriter, response completion, req api.Request, generated int, seq *sequence, version int64, writeChunk func(api.Chunk)) {
	if e.unfinished(seq) {
		standin.AbortConnection(w)
	}
	reason := "length"
	writeChunk(response.chunk("", version, &reason, true))
	if req.StreamOptions != nil && req.StreamOptions.IncludeUsage {
		chunk := response.chunk("", version, nil, true)
		chunk.Choices, chunk.Usage = []api.Choice{}, response.usage(generated)
		writeChunk(chunk)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) unfinished(s *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.next < s.end
}

// writeCompletion waits for the sequence to end and sends its text as one response. It
// aborts the connection if the sequence ended before it was complete.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, response completion, seq *sequence, abortAfter int) {
	var text strings.Builder
	generated, version := 0, int64(0)
	for {
		select {
		case <-r.Context().Done():
			return
		case tok, ok := <-seq.out:
			if ok {
				generated++
				version = tok.version
				text.WriteString(tok.text + " ")
				if abortAfter > 0 && generated == abortAfter {
					standin.AbortConnection(w)
				}
				continue
			}
			if e.unfinished(seq) {
				standin.AbortConnection(w)
			}
			reason := "length"
			chunk := response.chunk(text.String(), version, &reason, false)
			chunk.Usage = response.usage(generated)
			standin.WriteJSON(w, chunk)
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
