package samples

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/amaranthfold/amaranthfold/core/admit"
	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/core/sample"
	"github.com/amaranthfold/amaranthfold/internal/dispatch"
	"github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	generatePause = 50 * time.Millisecond // before another attempt
	scoreTimeout  = 10 * time.Second
)

var errUnlabelled = errors.New("the engine does not know its weight version")

// generateAll starts the generation of every job.
func (m *Manager) generateAll(o *owner, t *config.Trainer, jobs []sample.Job) {
	for _, job := range jobs {
		go m.generate(o, t, job)
	}
}

// progress is what a sample has so far. It survives the engine that made it.
type progress struct {
	text     bytes.Buffer
	tokens   int
	segments []sample.Segment
}

func (p *progress) add(text string, version int64) {
	p.text.WriteString(text)
	p.tokens++
	last := len(p.segments) - 1
	if last < 0 || p.segments[last].Version != version {
		p.segments = append(p.segments, sample.Segment{Version: version})
		last++
	}
	p.segments[last].Tokens++
}

// generate produces one sample, resuming on another engine after a failure.
func (m *Manager) generate(o *owner, t *config.Trainer, job sample.Job) {
	p := &progress{}
	for m.ctx.Err() == nil {
		err := m.attempt(m.ctx, t, job, p)
		if err == nil {
			break
		}
		if errors.Is(err, errUnlabelled) {
			p = &progress{}
		}
		time.Sleep(generatePause)
	}
	if m.ctx.Err() != nil {
		return
	}
	s := sample.Sample{ID: job.Sample, Group: job.Group.ID, Prompt: job.Group.Prompt, Text: p.text.String(), Segments: p.segments}
	s.Reward = m.score(t, &s)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.state.Finish(s); err != nil {
		m.Events.Record("sample dropped", events.F("sample", s.ID), events.F("error", err.Error()))
	}
}

// attempt generates on one engine from where the sample stands.
func (m *Manager) attempt(ctx context.Context, t *config.Trainer, job sample.Job, p *progress) error {
	snapshot := m.Loop.Snapshot()
	target, err := snapshot.Targets.Choose(route.Query{Service: t.Service, DataCentre: snapshot.Self.DataCentre, Random: rand.Uint64()})
	if err != nil {
		return err
	}
	cost := float64(job.Group.MaxTokens - p.tokens)
	grant, err := m.Dispatch.Admit(ctx, target, dispatch.Request{Flow: "trainer/" + t.Name, Weight: t.Weight, Cost: cost, Class: admit.ClassSample})
	if err != nil {
		return err
	}
	before := p.tokens
	defer func() { grant.Finish(float64(p.tokens - before)) }()
	body, err := json.Marshal(m.request(snapshot.Config.Service(t.Service).Model, job, p))
	if err != nil {
		return fmt.Errorf("sample %q: %w", job.Sample, err)
	}
	stream, err := m.Engines.Open(ctx, target.URL, "/v1/completions", body)
	if err != nil {
		return err
	}
	defer stream.Close()
	return collect(stream, p)
}

func (m *Manager) request(model string, job sample.Job, p *progress) engine.Request {
	req := engine.Request{Model: model, Prompt: job.Group.Prompt, MaxTokens: job.Group.MaxTokens, Stream: true, Seed: seed(job.Sample)}
	if p.tokens > 0 {
		req.Continue = &engine.Continuation{Text: p.text.String(), Tokens: p.tokens}
	}
	return req
}

// seed makes a sample's generation repeatable.
func seed(id string) int64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return int64(h.Sum64() >> 1)
}

// collect adds the stream's tokens, each with the version that the engine named.
func collect(stream *engine.Stream, p *progress) error {
	for {
		payload, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var chunk engine.Chunk
		if err := json.Unmarshal(payload, &chunk); err != nil {
			return fmt.Errorf("engine event: %w", err)
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Content() == "" {
			continue
		}
		if chunk.Version <= 0 {
			return errUnlabelled
		}
		p.add(chunk.Choices[0].Content(), chunk.Version)
	}
}

// scorerClient calls the trainers' scoring services.
type scorerClient struct{ http *http.Client }

func newScorerClient() *scorerClient {
	return &scorerClient{&http.Client{Timeout: scoreTimeout}}
}

type scoreRequest struct {
	Sample string `json:"sample"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

type scoreReply struct {
	Reward float64 `json:"reward"`
}

func (c *scorerClient) score(ctx context.Context, url string, s *sample.Sample) (float64, error) {
	data, err := json.Marshal(scoreRequest{s.ID, s.Prompt, s.Text})
	if err != nil {
		return 0, fmt.Errorf("score sample %q: %w", s.ID, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/score", bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("score sample %q: %w", s.ID, err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("score sample %q: %w", s.ID, err)
	}
	defer res.Body.Close()
	var reply scoreReply
	if res.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("score sample %q: status %d", s.ID, res.StatusCode)
	}
	if err := json.NewDecoder(res.Body).Decode(&reply); err != nil {
		return 0, fmt.Errorf("score sample %q: %w", s.ID, err)
	}
	return reply.Reward, nil
}

// score asks until the scorer has answered; without a scorer rewards are zero.
func (m *Manager) score(t *config.Trainer, s *sample.Sample) float64 {
	for t.Scorer != "" && m.ctx.Err() == nil {
		reward, err := m.scorer.score(m.ctx, t.Scorer, s)
		if err == nil {
			return reward
		}
		time.Sleep(generatePause)
	}
	return 0
}
