// Package engine is a stand-in for a model engine with continuous batching. Its
// token rate per sequence decreases with the batch size, its prefix cache has a
// limited number of blocks, and it admits every request on arrival. Timing, cache
// and fencing are set by Config; fault switches abort responses and make weight
// swaps fail.
//
// The generated text is a pure function of prompt, seed and position, so that
// tests can distinguish a complete response from a truncated one or from that of
// another request.
package engine

import (
	"hash/fnv"
	"net/http"
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
	WeightStore         string        // URL; empty: weight swaps download nothing
	StepTime            time.Duration // duration of a step with no running sequence
	StepTimePerSequence time.Duration // added to StepTime per running sequence
	PrefillPerToken     time.Duration // per uncached prompt token
	TransferPerToken    time.Duration // per token of an imported KV cache
	CacheBlocks         int           // capacity of the prefix cache, in blocks; zero: no cache
	LoadLag             time.Duration // age of load reports
	ChecksFencing       bool
}

// Engine is one running engine. It generates until Stop is called.
type Engine struct {
	cfg Config

	mu               sync.Mutex
	version          int64
	sequences        map[*sequence]struct{}
	cache            *prefixCache
	highestFencing   int64
	leaving          bool
	stopped          bool
	failSwaps        int
	swapLosesVersion bool
	loadReports      []timedLoad
	served           int64
	receivedRequests []ReceivedRequest
	generations      []*Generation
	kv               kvStore
	lastID           int64
	abortAfter       int               // tokens of the next completion after which its connection is aborted; zero: never
	handler          CompletionHandler // nil: none
	workAdded        chan struct{}
}

// ReceivedRequest is a completion request as the engine received it.
type ReceivedRequest struct {
	Header map[string][]string
	URL    string
	Body   string
}

// Generation is what the engine generated for one request.
type Generation struct {
	Prompt   string
	Seed     int64
	From     int       // index of the first token
	Segments []Segment // weight versions of the generated tokens, in order
}

// Segment is a number of consecutive tokens generated with one weight version.
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

// maxRecordedGenerations is the limit of recorded generations. When it is exceeded,
// the older half is evicted.
const maxRecordedGenerations = 1 << 14

// timedLoad is a load report and the time when it was taken.
type timedLoad struct {
	at     time.Time
	report api.LoadReport
}

type token struct {
	text    string
	version int64
}

// sequence is the state of one request whose tokens the engine generates, as part
// of the batch until it is complete or cancelled.
type sequence struct {
	prompt     string
	seed       int64
	next       int        // index of the next token
	end        int        // index after the last token
	readyAt    time.Time  // end of the prefill
	out        chan token // buffers all tokens, so that sends do not block
	generation *Generation
}

// New returns an engine and starts its batch loop.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:       cfg,
		version:   cfg.Version,
		sequences: map[*sequence]struct{}{},
		cache:     newPrefixCache(cfg.CacheBlocks),
		kv:        newKVStore(),
		workAdded: make(chan struct{}, 1),
	}
	go e.run()
	return e
}

// TokenText returns the token at index i of the text generated for a prompt.
func TokenText(prompt string, seed int64, i int) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt)) // never fails
	_, _ = h.Write([]byte(strconv.FormatInt(seed, 10) + "/" + strconv.Itoa(i)))
	return "w" + strconv.FormatUint(h.Sum64()%9973, 36)
}

// Text returns the complete generated text of n tokens.
func Text(prompt string, seed int64, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(prompt, seed, i))
		b.WriteByte(' ')
	}
	return b.String()
}

// run generates one token per sequence and step until the engine stops. A sequence
// in its prefill generates none.
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
	case <-e.workAdded:
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
		s.generation.add(e.version)
		s.next++
		if s.next >= s.end {
			delete(e.sequences, s)
			close(s.out)
		}
	}
	e.recordLoad(now)
	return running, false
}

// add adds a sequence to the batch. It returns nil if the engine has stopped.
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
		readyAt:    time.Now().Add(time.Duration(uncached) * e.cfg.PrefillPerToken),
		out:        make(chan token, max(end-from, 0)+1),
		generation: &Generation{Prompt: prompt, Seed: seed, From: from},
	}
	if e.generations = append(e.generations, s.generation); len(e.generations) > maxRecordedGenerations {
		e.generations = append([]*Generation(nil), e.generations[maxRecordedGenerations/2:]...)
	}
	e.served++
	if from >= end {
		close(s.out)
		return s
	}
	e.sequences[s] = struct{}{}
	select {
	case e.workAdded <- struct{}{}:
	default:
	}
	return s
}

// cancel removes a sequence from the batch.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sequences, s)
}

// Running returns the number of sequences in the batch.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sequences)
}

// Version returns the weight version in use; zero if it is unknown.
func (e *Engine) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// ReceivedRequests returns every completion request that the engine received.
func (e *Engine) ReceivedRequests() []ReceivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedRequest(nil), e.receivedRequests...)
}

// Generations returns what the engine generated for its latest requests, at most
// maxRecordedGenerations.
func (e *Engine) Generations() []Generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Generation, len(e.generations))
	for i, r := range e.generations {
		out[i] = *r
		out[i].Segments = append([]Segment(nil), r.Segments...)
	}
	return out
}

// SetLeaving makes load reports mark the engine as leaving, that is, about to
// terminate.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// FailWeightSwaps makes the next n weight swaps fail. With loseVersion, a failed
// swap leaves the version unknown, as one that fails midway does.
func (e *Engine) FailWeightSwaps(n int, loseVersion bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failSwaps, e.swapLosesVersion = n, loseVersion
}

// AbortAfterTokens aborts the connection of the next completion after n tokens.
func (e *Engine) AbortAfterTokens(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortAfter = n
}

// CompletionHandler responds to a completion, which may continue a stream, unless it returns false.
type CompletionHandler func(w http.ResponseWriter, r *http.Request, continues bool) bool

// HandleCompletions makes h respond to completions, which are then not recorded. nil: the engine
// responds itself.
func (e *Engine) HandleCompletions(h CompletionHandler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handler = h
}

func (e *Engine) handlerResponds(w http.ResponseWriter, r *http.Request, continues bool) bool {
	e.mu.Lock()
	h := e.handler
	e.mu.Unlock()
	return h != nil && h(w, r, continues)
}

// Stopped reports whether the engine has been stopped.
func (e *Engine) Stopped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped
}

// Stop stops the engine and ends every sequence before it is complete, as a crash
// would.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
}

// recordLoad adds a load report and evicts those that delayedLoad no longer needs. The
// first report that it keeps is the newest that is at least LoadLag old, if there is one.
func (e *Engine) recordLoad(now time.Time) {
	e.loadReports = append(e.loadReports, timedLoad{now, e.report()})
	for len(e.loadReports) > 1 && now.Sub(e.loadReports[1].at) >= e.cfg.LoadLag {
		e.loadReports = e.loadReports[1:]
	}
}

func (e *Engine) report() api.LoadReport {
	return api.LoadReport{
		Model: e.cfg.Model, Version: e.version, Running: len(e.sequences),
		Leaving: e.leaving, CacheBytes: e.cache.bytes(),
	}
}

// delayedLoad returns the newest load report that is at least LoadLag old, or the oldest
// one if there is none.
func (e *Engine) delayedLoad() api.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad(time.Now())
	return e.loadReports[0].report
}
