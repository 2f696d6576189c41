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
	stallTimeout      = 30 * time.Second // without a token, before going on elsewhere
)

// Errors that end an attempt.
var (
	errNoVersion = errors.New("the engine does not know its weight version")
	errTooOld    = errors.New("the trainer has moved past the sample's oldest version")
	errStalled   = errors.New("the engine sent no token for a while")
	errMoved     = errors.New("a less loaded engine goes on with the sample")
)

// progress is what a sample has so far. It survives the engine that made it.
type progress struct {
	moves    int // to less loaded engines
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

// belowVersion reports whether the trainer would refuse the sample already.
func (p *progress) belowVersion(floor int64) bool {
	s := sample.Sample{Segments: p.segments}
	return len(p.segments) > 0 && s.OldestVersion() < floor
}

// produce generates and scores one sample and hands it to the owner.
func (o *owner) produce(t *config.Trainer, job sample.Job) {
	p, err := o.generate(t, job)
	if err != nil {
		o.abandon(job)
		return
	}
	s := sample.Sample{ID: job.Sample, Group: job.Group.ID, Prompt: job.Group.Prompt, Text: p.text.String(), Segments: p.segments}
	if s.Reward, err = o.score(t, &s); err != nil {
		o.abandon(job)
		return
	}
	o.finish(job, s)
}

// generate goes on from engine to engine until the sample is whole. The tokens
// so far go along, unless the trainer has moved past their versions.
func (o *owner) generate(t *config.Trainer, job sample.Job) (*progress, error) {
	p := &progress{}
	pause := newBackoff(attemptMinBackoff, attemptMaxBackoff)
	avoid := map[string]bool{}
	for {
		before := p.tokens
		target, err := o.attempt(t, job, p, avoid)
		if err == nil {
			return p, nil
		}
		if p.tokens > before {
			pause.Reset()
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
			clear(avoid) // every engine has failed once
		} else {
			avoid[target] = true
		}
		if err := o.sleep(pause.NextBackOff()); err != nil {
			return nil, err
		}
	}
}

// choose picks an engine that the trainer's bound allows. An engine whose
// version is not known yet is tried only where no other is left.
func (o *owner) choose(s *control.Snapshot, t *config.Trainer, avoid map[string]bool) (*route.Target, error) {
	exclude := map[string]bool{}
	known := 0
	for _, target := range s.RoutingTable.Targets(t.Service) {
		if avoid[target.ID] || target.Version > 0 && target.Version < o.minVersion.Load() {
			exclude[target.ID] = true
		} else if target.Version > 0 && !target.Unavailable {
			known++
		}
	}
	for _, target := range s.RoutingTable.Targets(t.Service) {
		if known > 0 && target.Version == 0 {
			exclude[target.ID] = true
		}
	}
	return s.RoutingTable.Choose(route.Query{Service: t.Service, DataCentre: s.Self.DataCentre, Exclude: exclude, Random: rand.Uint64()})
}

// attempt generates on one engine from where the sample stands. The target is
// empty if none could be chosen.
func (o *owner) attempt(t *config.Trainer, job sample.Job, p *progress, avoid map[string]bool) (string, error) {
	s := o.m.Loop.Snapshot()
	target, err := o.choose(s, t, avoid)
	if err != nil {
		return "", err
	}
	cost := float64(job.Group.MaxTokens - p.tokens)
	grant, err := o.m.Dispatch.Admit(o.ctx, target, dispatch.Request{Flow: "trainer/" + t.Name, Weight: t.Weight, Cost: cost, Class: admit.ClassSample})
	if err != nil {
		return target.ID, err
	}
	before := p.tokens
	defer func() { grant.Finish(float64(p.tokens - before)) }()
	body, err := json.Marshal(request(s.Config.Service(t.Service).Model, job, p))
	if err != nil {
		return target.ID, fmt.Errorf("sample %q: %w", job.Sample, err)
	}
	ctx, cancel := context.WithCancelCause(o.ctx)
	defer cancel(nil)
	stall := time.AfterFunc(stallTimeout, func() { cancel(errStalled) })
	defer stall.Stop()
	stream, err := o.m.Engines.Open(ctx, target.URL, "/v1/completions", body)
	if err != nil {
		return target.ID, err
	}
	defer stream.Close()
	return target.ID, o.collect(stream, p, stall, placement{t, job, target.ID})
}

func request(model string, job sample.Job, p *progress) engine.Request {
	req := engine.Request{Model: model, Prompt: engine.Text(job.Group.Prompt), MaxTokens: job.Group.MaxTokens, Stream: true, Seed: Seed(job.Sample)}
	if p.tokens > 0 {
		req.Continue = &engine.Continuation{Text: p.text.String(), Tokens: p.tokens}
	}
	return req
}

// Seed makes a sample's generation repeatable.
func Seed(id string) int64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return int64(h.Sum64() >> 1)
}

// collect adds the stream's tokens, each with the version that the engine named.
func (o *owner) collect(stream *engine.Stream, p *progress, stall *time.Timer, at placement) error {
	for {
		payload, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		stall.Reset(stallTimeout)
		var chunk engine.Chunk
		if err := json.Unmarshal(payload, &chunk); err != nil {
			return fmt.Errorf("engine event: %w", err)
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Content() == "" {
			continue
		}
		if chunk.Version <= 0 {
			return errNoVersion
		}
		p.add(chunk.Choices[0].Content(), chunk.Version)
		if p.tokens == 1 {
			o.recordFirstToken(at.job, chunk.Version)
		}
		if p.tokens%moveCheckTokens == 0 && o.shouldMove(at, p) {
			return errMoved
		}
		if p.belowVersion(o.minVersion.Load()) {
			return errTooOld
		}
	}
}
