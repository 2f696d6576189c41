package sample_test

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/sample"
)

// The model simulates engines with continuous batching, whose time for a token grows with
// the number of sequences that they run, and one trainer that alternates between waiting for
// a batch and training. A few samples, the stragglers, are much longer than the others. The
// unit of time is that of one token on an engine without other sequences.
const (
	modelSteps          = 70
	warmUp              = 10 // steps that are not counted
	groupsPerStep       = 32
	samplesPerGroup     = 8
	meanOrdinaryTokens  = 200  // mean length of an ordinary sample
	stragglerShare      = 0.02 // share of the samples that are stragglers
	stragglerFactor     = 20   // length of a straggler, relative to an ordinary sample
	slowdownPerSequence = 0.02 // share added to a token's time by each other sequence
	slotsPerEngine      = 16
	modelMaxStaleness   = 2    // weight versions
	moveCostPerToken    = 0.01 // time, in tokens, to rebuild the KV cache of one token on the other engine
	maxMoveTimeRatio    = 0.85 // a move must shorten a token's time to this share or less
	maxMoves            = 2
	starvedSteps        = 10 // a group submitted more steps ago than this counts as never delivered
)

// policy is a combination of ways to handle stragglers. The zero value waits for all groups
// of a step.
type policy struct {
	name            string
	predictedShare  float64 // share of the groups whose length is known in advance
	groupsAhead     int     // groups submitted beyond the step that the trainer waits for
	carryOver       bool    // fill the batch with any complete groups
	waitForExpiring bool    // sets Request.WaitForExpiring
	resume          bool    // move long-running samples to the fastest engine, where they resume
	hedge           bool    // run a long sample on a second engine too
}

// sampleRun is the generation of one sample on an engine.
type sampleRun struct {
	job          sample.GenerationRequest
	remaining    float64 // tokens
	length       float64
	firstVersion int64 // version of the first token
	moves        int
	hedge        *sampleRun // the other run of the same sample
	cancelled    bool
}

type modelEngine struct {
	tokenTimeFactor float64 // time of a token, relative to the average engine
	runs            []*sampleRun
}

func (e *modelEngine) tokenTime() float64 { return e.tokenTimeInBatch(len(e.runs)) }

// tokenTimeInBatch returns the time of a token while n sequences run.
func (e *modelEngine) tokenTimeInBatch(n int) float64 {
	return e.tokenTimeFactor * (1 + slowdownPerSequence*float64(n-1))
}

// model is the state of one simulation.
type model struct {
	policy
	rng          *rand.Rand
	owner        *sample.Owner
	log          *fold.State
	term         record.Offset
	lastRecordID int
	engines      []*modelEngine
	lengths      map[string]float64 // tokens by sample id
	now          float64
	version      int64 // weight version of the trainer and of all engines

	submitted, step                  int            // groups submitted; current step
	stepOf                           map[string]int // by group id
	finishedInStep                   map[int]int    // samples, by step
	generatedTokens, deliveredTokens float64
	firstVersion                     map[string]int64 // by id of a finished sample
	stalenessSum                     float64
	deliveredSamples                 float64
}

func newModel(p policy, engines int) *model {
	m := &model{
		policy: p, rng: rand.New(rand.NewPCG(1, 2)), version: 1, lengths: map[string]float64{},
		stepOf: map[string]int{}, finishedInStep: map[int]int{}, firstVersion: map[string]int64{},
		owner: sample.NewOwner(sample.Limits{
			MaxStaleness: modelMaxStaleness, MaxRunning: engines * slotsPerEngine,
			MaxBuffered: (modelMaxStaleness + 1) * groupsPerStep * samplesPerGroup, MaxGroups: 1 << 20,
		}, fold.DeliveryState{Trainer: trainerName}),
	}
	m.log = fold.New()
	data, err := record.Encode(record.ID{0, 0, 0, 1}, "x", 0, record.Lease{Name: record.TrainerLease(trainerName), Holder: "x"})
	if err != nil {
		panic(err)
	}
	res, err := m.log.Apply(1, data)
	if err != nil {
		panic(err)
	}
	m.term = res.Offset
	for i := range engines {
		m.engines = append(m.engines, &modelEngine{tokenTimeFactor: 0.9 + 0.2*float64(i%5)/4})
	}
	return m
}

// submit submits n groups. Their lengths do not depend on the policy.
func (m *model) submit(n int) {
	for range n {
		step := 1 + m.submitted/groupsPerStep
		g := sample.Group{ID: fmt.Sprintf("g%d", m.submitted), Size: samplesPerGroup, MaxTokens: 2 * meanOrdinaryTokens}
		longest := 0.0
		lengthKnown := m.rng.Float64() < m.predictedShare
		for n := range samplesPerGroup {
			length := meanOrdinaryTokens * (0.5 + m.rng.Float64())
			if m.rng.Float64() < stragglerShare {
				length *= stragglerFactor
			}
			m.lengths[sample.ID(g.ID, n)] = math.Ceil(length)
			longest = max(longest, length)
		}
		if lengthKnown {
			g.MaxTokens = int(longest)
		}
		m.submitted++
		m.stepOf[g.ID] = step
		if err := m.owner.Submit(g); err != nil {
			panic(err)
		}
	}
	m.start()
}

// start starts the samples that the owner allows.
func (m *model) start() {
	for _, j := range m.owner.StartJobs() {
		length := m.lengths[j.Sample]
		m.startOnLeastLoaded(&sampleRun{job: j, remaining: length, length: length})
	}
}

// startOnLeastLoaded starts a run on the engine with the fewest runs.
func (m *model) startOnLeastLoaded(r *sampleRun) {
	best := m.engines[0]
	for _, e := range m.engines[1:] {
		if len(e.runs) < len(best.runs) {
			best = e
		}
	}
	best.runs = append(best.runs, r)
}

// advance runs the engines until the next sample ends, or until limit, and reports whether
// one ended.
func (m *model) advance(limit float64) bool {
	next, span := -1, limit-m.now
	for i, e := range m.engines {
		for _, r := range e.runs {
			if t := r.remaining * e.tokenTime(); t < span {
				next, span = i, t
			}
		}
	}
	if math.IsInf(span, 1) {
		panic(m.name + ": no sample runs and the trainer waits for a batch")
	}
	m.now += span
	for _, e := range m.engines {
		tokens := span / max(e.tokenTime(), 1e-9)
		for _, r := range e.runs {
			r.remaining -= tokens
			m.generatedTokens += tokens
			if r.firstVersion == 0 && tokens > 0 {
				r.firstVersion = m.version
				m.owner.RecordFirstVersion(r.job, m.version)
			}
		}
	}
	if next < 0 {
		return false
	}
	m.finishEnded(m.engines[next])
	return true
}

// finishEnded finishes the engine's ended runs and removes the cancelled ones.
func (m *model) finishEnded(e *modelEngine) {
	kept := e.runs[:0]
	var ended []*sampleRun
	for _, r := range e.runs {
		if r.cancelled {
			continue
		}
		if r.remaining > 1e-6 {
			kept = append(kept, r)
			continue
		}
		ended = append(ended, r)
	}
	e.runs = kept
	for _, r := range ended {
		m.finish(r)
	}
	m.start()
	if m.resume || m.hedge {
		m.rebalance()
	}
}

func (m *model) finish(r *sampleRun) {
	if r.hedge != nil {
		r.hedge.cancelled, r.hedge.remaining = true, 0
	}
	s := sample.Sample{ID: r.job.Sample, Group: r.job.Group.ID, Segments: []sample.Segment{{Version: max(r.firstVersion, 1), Tokens: int(r.length)}}}
	if err := m.owner.Finish(r.job.Index, s); err != nil {
		return // the group was delivered and removed
	}
	m.firstVersion[s.ID] = max(r.firstVersion, 1)
	m.finishedInStep[m.stepOf[r.job.Group.ID]]++
}

// rebalance moves or hedges samples that run longer than ordinary ones.
func (m *model) rebalance() {
	for _, e := range m.engines {
		for i := 0; i < len(e.runs); i++ {
			r := e.runs[i]
			if r.length-r.remaining < 2*meanOrdinaryTokens || r.hedge != nil || r.moves >= maxMoves {
				continue
			}
			best := m.fastest()
			if best.tokenTimeInBatch(len(best.runs)+1) > maxMoveTimeRatio*e.tokenTime() {
				continue
			}
			if m.hedge {
				hedge := *r
				r.hedge, hedge.hedge = &hedge, r
				hedge.remaining = hedge.length // the hedge starts at the first token
				best.runs = append(best.runs, &hedge)
				continue
			}
			e.runs = append(e.runs[:i:i], e.runs[i+1:]...)
			i--
			r.moves++
			r.remaining += moveCostPerToken * (r.length - r.remaining)
			best.runs = append(best.runs, r)
		}
	}
}

// fastest returns the engine that would generate one more sample fastest.
func (m *model) fastest() *modelEngine {
	best := m.engines[0]
	for _, e := range m.engines[1:] {
		if e.tokenTimeInBatch(len(e.runs)+1) < best.tokenTimeInBatch(len(best.runs)+1) {
			best = e
		}
	}
	return best
}

// deliverNext delivers the step's batch if the policy's condition for it is met, and reports
// whether it did.
func (m *model) deliverNext() bool {
	if !m.carryOver && m.finishedInStep[m.step] < groupsPerStep*samplesPerGroup {
		return false
	}
	b, ok := m.owner.Propose(sample.Request{Version: m.version, MaxGroups: groupsPerStep, MinGroups: groupsPerStep, WaitForExpiring: m.waitForExpiring})
	if !ok || len(b.Groups) < groupsPerStep {
		return false
	}
	for _, g := range b.Groups {
		for i := range g.Size {
			id := sample.ID(g.ID, i)
			m.deliveredTokens += m.lengths[id]
			m.stalenessSum += float64(m.version - m.firstVersion[id])
			m.deliveredSamples++
		}
	}
	m.recordDelivery(b.Number, b.Groups)
	return true
}

// result holds the measures of one simulation.
type result struct {
	idle      float64 // trainer's waiting time per step, as a multiple of the training time
	staleness float64 // mean staleness of the delivered samples, in versions
	waste     float64 // tokens generated but not delivered, as a share of those delivered
	starved   int     // groups submitted over starvedSteps ago and never delivered
}

// run simulates modelSteps steps and returns the result of those after warmUp.
func (p policy) run(engines int, trainingTime float64) result {
	m := newModel(p, engines)
	m.submit(groupsPerStep + p.groupsAhead)
	idle := 0.0
	for m.step = 1; m.step <= modelSteps; m.step++ {
		requestedAt := m.now
		for !m.deliverNext() {
			m.advance(math.Inf(1))
		}
		if m.step > warmUp {
			idle += m.now - requestedAt
		} else {
			m.generatedTokens, m.deliveredTokens, m.stalenessSum, m.deliveredSamples = 0, 0, 0, 0
		}
		m.submit(groupsPerStep)
		for end := m.now + trainingTime; m.now < end; {
			m.advance(end)
		}
		m.version++
	}
	return result{idle: idle / trainingTime / (modelSteps - warmUp), staleness: m.stalenessSum / m.deliveredSamples, waste: m.generatedTokens/m.deliveredTokens - 1, starved: m.starved()}
}

// recordDelivery records the batch and its acknowledgement in the log.
func (m *model) recordDelivery(number int64, groups []record.BatchGroup) {
	for i, body := range []record.Body{
		record.Batch{Trainer: trainerName, Number: number, Term: m.term, Groups: groups},
		record.BatchAck{Trainer: trainerName, Number: number},
	} {
		m.lastRecordID++
		data, err := record.Encode(record.ID{byte(m.lastRecordID), byte(m.lastRecordID >> 8), byte(m.lastRecordID >> 16)}, "x", m.log.Deliveries[trainerName].LastOffset*record.Offset(1-i), body)
		if err != nil {
			panic(err)
		}
		if res, err := m.log.Apply(m.log.Applied+1, data); err != nil || res.Verdict != fold.Accepted {
			panic(fmt.Sprint(m.name, ": ", res.Err, err))
		}
	}
	m.owner.SetDeliveryState(m.log.Deliveries[trainerName])
}

// starved returns the number of groups that count as never delivered.
func (m *model) starved() int {
	n := 0
	for _, g := range m.owner.Snapshot().Groups {
		if m.stepOf[g.ID] < modelSteps-starvedSteps {
			n++
		}
	}
	return n
}
