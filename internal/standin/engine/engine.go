// Package engine is a stand-in for a model engine with continuous batching. Its
// token rate falls with the batch size, its prefix cache has a memory limit,
// and it admits requests as they arrive.
//
// The text it generates is a pure function of prompt, seed and position, so that
// checks can tell a whole answer from a truncated or crossed one.
package engine

import (
	"hash/fnv"
	"strconv"
	"strings"
	"sync"
	"time"

	api "github.com/amaranthfold/amaranthfold/internal/engine"
)

// Config describes one engine.
type Config struct {
	Model               string
	Version             int64
	WeightStore         string        // URL; empty: swaps need no download
	StepTime            time.Duration // one step of an empty batch
	StepTimePerSequence time.Duration // added per running sequence
	PrefillPerToken     time.Duration // per uncached prompt token
	TransferPerToken    time.Duration // per token of an imported KV cache
	CacheBlocks         int           // prefix blocks kept
	LoadLag             time.Duration // age of load reports
	ChecksFencing       bool
}

// Engine is one running engine.
type Engine struct {
	cfg Config

	mu               sync.Mutex
	version          int64
	sequences        map[*sequence]struct{}
	cache            *prefixCache
	fencing          int64
	leaving          bool
	stopped          bool
	failSwaps        int
	swapLosesVersion bool
	loads            []timedLoad
	served           int64
	receivedRequests []ReceivedRequest
	recorded         []*Generation
	kv               kvStore
	nextID           int64
	abortAfter       int // cut the connection after this many tokens of the next completion
	wake             chan struct{}
}

// ReceivedRequest is a request as it reached the engine, for checks.
type ReceivedRequest struct {
	Header map[string][]string
	URL    string
	Body   string
}

// Generation is what the engine generated for one request, for checks.
type Generation struct {
	Prompt   string
	Seed     int64
	From     int       // index of the first token
	Segments []Segment // the version that each token was made with
}

// Segment is a run of tokens of one version.
type Segment struct {
	Version int64
	Tokens  int
}

func (r *Generation) add(version int64) {
	last := len(r.Segments) - 1
	if last < 0 || r.Segments[last].Version != version {
		r.Segments = append(r.Segments, Segment{Version: version})
		last++
	}
	r.Segments[last].Tokens++
}

// maxRecordedGenerations is how many of the latest runs an engine keeps.
const maxRecordedGenerations = 1 << 14

type timedLoad struct {
	at     time.Time
	report api.LoadReport
}

type token struct {
	word    string
	version int64
}

// sequence is one generation in the batch.
type sequence struct {
	prompt  string
	seed    int64
	next    int // index of the next token
	end     int // index after the last token
	readyAt time.Time
	out     chan token
	run     *Generation
}

// New returns an engine and starts its batch loop.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:       cfg,
		version:   cfg.Version,
		sequences: map[*sequence]struct{}{},
		cache:     newPrefixCache(cfg.CacheBlocks),
		kv:        newKVStore(),
		wake:      make(chan struct{}, 1),
	}
	go e.run()
	return e
}

// TokenText is the token at index i of the answer to a prompt.
func TokenText(prompt string, seed int64, i int) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt)) // never fails
	_, _ = h.Write([]byte(strconv.FormatInt(seed, 10) + "/" + strconv.Itoa(i)))
	return "w" + strconv.FormatUint(h.Sum64()%9973, 36)
}

// Text is the whole answer of n tokens.
func Text(prompt string, seed int64, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(prompt, seed, i))
		b.WriteByte(' ')
	}
	return b.String()
}

// run emits one token per sequence and step until the engine stops.
func (e *Engine) run() {
	for {
		running, stopped := e.step(time.Now())
		if stopped {
			return
		}
		if running == 0 {
			e.waitForWork()
			continue
		}
		time.Sleep(e.cfg.StepTime + time.Duration(running)*e.cfg.StepTimePerSequence)
	}
}

func (e *Engine) waitForWork() {
	timer := time.NewTimer(20 * time.Millisecond)
	defer timer.Stop()
	select {
	case <-e.wake:
	case <-timer.C:
	}
}

func (e *Engine) step(now time.Time) (running int, stopped bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		for s := range e.sequences {
			close(s.out)
		}
		clear(e.sequences)
		return 0, true
	}
	for s := range e.sequences {
		running++
		if now.Before(s.readyAt) {
			continue
		}
		s.out <- token{TokenText(s.prompt, s.seed, s.next), e.version}
		s.run.add(e.version)
		s.next++
		if s.next >= s.end {
			delete(e.sequences, s)
			close(s.out)
		}
	}
	e.recordLoad(now)
	return running, false
}

// add puts a generation into the batch; nil after the engine has stopped.
func (e *Engine) add(prompt string, seed int64, from, end int, kv string) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return nil
	}
	uncached := e.cache.admit(prompt) + from
	if e.kv.consume(kv) {
		uncached = 0
	}
	s := &sequence{
		prompt: prompt, seed: seed, next: from, end: end,
		readyAt: time.Now().Add(time.Duration(uncached) * e.cfg.PrefillPerToken),
		out:     make(chan token, max(end-from, 0)+1),
		run:     &Generation{Prompt: prompt, Seed: seed, From: from},
	}
	if e.recorded = append(e.recorded, s.run); len(e.recorded) > maxRecordedGenerations {
		e.recorded = append([]*Generation(nil), e.recorded[maxRecordedGenerations/2:]...)
	}
	e.served++
	if from >= end {
		close(s.out)
		return s
	}
	e.sequences[s] = struct{}{}
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

// cancel takes a generation out of the batch.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sequences, s)
}

// Running returns the number of generations in the batch.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sequences)
}

// Version returns the weights in use, zero if unknown.
func (e *Engine) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// ReceivedRequests returns every completion request that reached the engine.
func (e *Engine) ReceivedRequests() []ReceivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedRequest(nil), e.receivedRequests...)
}

// Generations returns what the engine generated for its latest requests.
func (e *Engine) Generations() []Generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Generation, len(e.recorded))
	for i, r := range e.recorded {
		out[i] = *r
		out[i].Segments = append([]Segment(nil), r.Segments...)
	}
	return out
}

// SetLeaving makes load reports say that the engine is leaving.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// FailWeightSwaps makes the next n weight swaps fail; half leaves the version unknown.
func (e *Engine) FailWeightSwaps(n int, half bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failSwaps, e.swapLosesVersion = n, half
}

// AbortAfterTokens cuts the connection of the next completion after n tokens.
func (e *Engine) AbortAfterTokens(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortAfter = n
}

// Stopped reports whether the engine has ended.
func (e *Engine) Stopped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped
}

// Stop ends every generation, as a crash would.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
}

// recordLoad keeps the reports that lagging readers will see.
func (e *Engine) recordLoad(now time.Time) {
	e.loads = append(e.loads, timedLoad{now, e.report()})
	for len(e.loads) > 1 && now.Sub(e.loads[1].at) >= e.cfg.LoadLag {
		e.loads = e.loads[1:]
	}
}

func (e *Engine) report() api.LoadReport {
	return api.LoadReport{
		Model: e.cfg.Model, Version: e.version, Running: len(e.sequences),
		Leaving: e.leaving, CacheBytes: e.cache.bytes(),
	}
}

func (e *Engine) delayedLoad() api.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad(time.Now())
	return e.loads[0].report
}
