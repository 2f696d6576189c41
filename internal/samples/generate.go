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
	"time"

	"github.com/amaranthfold/amaranthfold/core/admit"
	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/core/sample"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/dispatch"
	"github.com/amaranthfold/amaranthfold/internal/engine"
)

const (
	attemptMinBackoff = 50 * time.Millisecond
	attemptMaxBackoff = 500 * time.Millisecond

	// stallTimeout is the time without an event from the engine after which the sample
	// continues on another engine.
	stallTimeout = 30 * time.Second
)

// Errors that end an attempt on one engine.
var (
	errNoVersion  = errors.New("the engine does not know its weight version")
	errUnfinished = errors.New("the engine ended the stream without a finish reason")
	errTooOld     = errors.New("the trainer has moved past the sample's oldest version")
	errStalled    = errors.New("the engine sent no token for a while")
	errMoved      = errors.New("a less loaded engine goes on with the sample")
)

// progress holds the tokens of a sample that have been generated so far, possibly by
// several engines. The next engine continues from it.
type progress struct {
	moves    int // number of moves to less loaded engines
	text     bytes.Buffer
	tokens   int
	segments []sample.Segment
}

// add appends one token that was generated at the weight version. A segment covers
// consecutive tokens of one version.
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

// belowVersion reports whether the sample has a token older than minVersion, so that the
// trainer would not accept it.
func (p *progress) belowVersion(minVersion int64) bool {
	s := sample.Sample{Segments: p.segments}
	return len(p.segments) > 0 && s.OldestVersion() < minVersion
}

// produce generates and scores one sample and records it as finished. If the owner's
// term ends first, the sample is put back to be generated again.
func (o *owner) produce(t *config.Trainer, job sample.GenerationRequest) {
	p, err := o.generate(t, job)
	if err != nil {
		o.requeue(job)
		return
	}
	s := sample.Sample{ID: job.Sample, Group: job.Group.ID, Prompt: job.Group.Prompt, Text: p.text.String(), Segments: p.segments}
	if s.Reward, err = o.score(t, &s); err != nil {
		o.requeue(job)
		return
	}
	o.finish(job, s)
}

// generate runs the sample on one engine after another until it is complete. Each attempt
// continues from the tokens generated so far. All tokens are discarded when the oldest is
// below the minimum version. It fails only when the owner's term ends.
func (o *owner) generate(t *config.Trainer, job sample.GenerationRequest) (*progress, error) {
	p := &progress{}
	retryBackoff := newBackoff(attemptMinBackoff, attemptMaxBackoff)
	avoid := map[string]bool{}
	for {
		tokensBefore := p.tokens
		target, err := o.attempt(t, job, p, avoid)
		if err == nil {
			return p, nil
		}
		if p.tokens > tokensBefore {
			retryBackoff.Reset()
		}
		if errors.Is(err, errTooOld) {
			p = &progress{}
		}
		if errors.Is(err, errMoved) {
			p.moves++
			avoid[target] = true
			continue
		}
		if target == "" {
			clear(avoid) // no engine could be chosen: allow those that were avoided again
		} else {
			avoid[target] = true
		}
		if err := o.sleep(retryBackoff.NextBackOff()); err != nil {
			return nil, err
		}
	}
}

// chooseEngine returns an engine at or above the minimum version that is not in avoid.
// Engines whose version is unknown (0) are considered only if no available engine of
// a known version is left.
func (o *owner) chooseEngine(s *control.Snapshot, t *config.Trainer, avoid map[string]bool) (*route.Target, error) {
	exclude := map[string]bool{}
	availableWithVersion := 0
	for _, target := range s.RoutingTable.Targets(t.Service) {
		if avoid[target.ID] || target.Version > 0 && target.Version < o.minVersion.Load() {
			exclude[target.ID] = true
		} else if target.Version > 0 && !target.Unavailable {
			availableWithVersion++
		}
	}
	for _, target := range s.RoutingTable.Targets(t.Service) {
		if availableWithVersion > 0 && target.Version == 0 {
			exclude[target.ID] = true
		}
	}
	return s.RoutingTable.Choose(route.Query{Service: t.Service, DataCentre: s.Self.DataCentre, Exclude: exclude, Random: rand.Uint64()})
}

// attempt continues the sample on one engine and adds its tokens to p. It returns the
// engine's target id, which is empty if no engine could be chosen. It fails unless the
// engine completes the sample.
func (o *owner) attempt(t *config.Trainer, job sample.GenerationRequest, p *progress, avoid map[string]bool) (string, error) {
	s := o.m.Loop.Snapshot()
	target, err := o.chooseEngine(s, t, avoid)
	if err != nil {
		return "", err
	}
	cost := float64(job.Group.MaxTokens - p.tokens)
	grant, err := o.m.Dispatch.Admit(o.ctx, target, dispatch.Request{Flow: "trainer/" + t.Name, Weight: t.Weight, Cost: cost, Class: admit.ClassSample})
	if err != nil {
		return target.ID, err
	}
	tokensBefore := p.tokens
	defer func() { grant.Finish(float64(p.tokens - tokensBefore)) }()
	body, err := json.Marshal(completionRequest(s.Config.Service(t.Service).Model, job, p))
	if err != nil {
		return target.ID, fmt.Errorf("sample %q: %w", job.Sample, err)
	}
	ctx, cancel := context.WithCancelCause(o.ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(stallTimeout, func() { cancel(errStalled) })
	defer stallTimer.Stop()
	stream, err := o.m.Engines.Open(ctx, target.URL, "/v1/completions", body)
	if err != nil {
		return target.ID, err
	}
	defer stream.Close()
	return target.ID, o.readTokens(stream, p, stallTimer, runningSample{t, job, target.ID})
}

// completionRequest returns the engine request for the sample. If tokens exist already,
// the request continues from them.
func completionRequest(model string, job sample.GenerationRequest, p *progress) engine.Request {
	req := engine.Request{Model: model, Prompt: engine.Text(job.Group.Prompt), MaxTokens: job.Group.MaxTokens, Stream: true, Seed: Seed(job.Sample)}
	if p.tokens > 0 {
		req.Continue = &engine.Continuation{Text: p.text.String(), Tokens: p.tokens}
	}
	return req
}

// Seed returns the sampling seed for a sample id. It depends on the id alone, so that a
// sample's generation is repeatable.
func Seed(id string) int64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return int64(h.Sum64() >> 1)
}

// readTokens adds the stream's tokens to p, each with the weight version that the engine
// reports for it, until the stream ends. It fails if a token has no version
// (errNoVersion), if the sample should move to a less loaded engine (errMoved), or if
// its tokens are older than the minimum version (errTooOld).
func (o *owner) readTokens(stream *engine.Stream, p *progress, stallTimer *time.Timer, running runningSample) error {
	finished := false
	for {
		payload, err := stream.Next()
		if errors.Is(err, io.EOF) && finished {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return errUnfinished
		}
		if err != nil {
			return err
		}
		stallTimer.Reset(stallTimeout)
		var chunk engine.Chunk
		if err := json.Unmarshal(payload, &chunk); err != nil {
			return fmt.Errorf("engine event: %w", err)
		}
		if len(chunk.Choices) == 0 {
			continue
		}
		finished = finished || chunk.Choices[0].FinishReason != nil
		if chunk.Choices[0].Content() == "" {
			continue
		}
		if chunk.Version <= 0 {
			return errNoVersion
		}
		p.add(chunk.Choices[0].Content(), chunk.Version)
		if p.tokens == 1 {
			o.recordFirstToken(running.job, chunk.Version)
		}
		if p.tokens%moveCheckTokens == 0 && o.shouldMove(running, p) {
			return errMoved
		}
		if p.belowVersion(o.minVersion.Load()) {
			return errTooOld
		}
	}
}
