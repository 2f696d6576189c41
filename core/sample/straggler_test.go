package sample_test

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/sample"
)

// The model: engines with continuous batching, whose time for a token grows
// with the batch, and one trainer that alternates between waiting for a batch
// and training. The unit of time is a token of an otherwise empty engine.
const (
	modelSteps      = 70
	warmUp          = 10 // steps not counted
	groupsPerStep   = 32
	samplesPerGroup = 8
	baseTokens      = 200 // mean of an ordinary sample
	stragglerShare  = 0.02
	stragglerFactor = 20
	tokenPerSeq     = 0.02 // added to a token's time by each other sequence
	slotsPerEngine  = 16
	modelBound      = 2
	moveCost        = 0.01 // tokens of time to rebuild the KV cache of one token elsewhere
	moveGain        = 0.85 // a move must shorten a token's time to this share
	maxMoves        = 2
	starvedSteps    = 10 // a group that old is taken for never delivered
)

// policy is one way to deal with stragglers.
type policy struct {
	name      string
	predicted float64 // share of the groups whose length is known beforehand
	ahead     int     // groups submitted beyond the step that the trainer waits for
	carryOver bool    // take whichever groups are complete
	hold      bool
	resume    bool // move long-running samples to the least loaded engine
	hedge     bool // run a long sample twice
}

type running struct {
	job       sample.Job
	left      float64 // tokens
	length    float64
	first     int64 // version of the first token
	moves     int
	twin      *running
	cancelled bool
}

type modelEngine struct {
	speed float64 // of a token, against the others
	jobs  []*running
}

func (e *modelEngine) tokenTime() float64 { return e.tokenTimeOf(len(e.jobs)) }

// tokenTimeOf returns the time of a token in a batch of n.
func (e *modelEngine) tokenTimeOf(n int) float64 {
	return e.speed * (1 + tokenPerSeq*float64(n-1))
}

// model is the state of one run.
type model struct {
	policy
	rng     *rand.Rand
	owner   *sample.Owner
	log     *fold.State
	term    record.Offset
	ids     int
	engines []*modelEngine
	lengths map[string]float64
	now     float64
	version int64

	submitted, step   int
	stepOf            map[string]int
	doneInStep        map[int]int
	generated, useful float64
	firstVersion      map[string]int64
	staleness         float64
	delivered         float64
}

func newModel(p policy, engines int) *model {
	m := &model{
		policy: p, rng: rand.New(rand.NewPCG(1, 2)), version: 1, lengths: map[string]float64{},
		stepOf: map[string]int{}, doneInStep: map[int]int{}, firstVersion: map[string]int64{},
		owner: sample.NewOwner(sample.Limits{
			MaxStaleness: modelBound, MaxRunning: engines * slotsPerEngine,
			MaxBuffered: (modelBound + 1) * groupsPerStep * samplesPerGroup, MaxGroups: 1 << 20,
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
		m.engines = append(m.engines, &modelEngine{speed: 0.9 + 0.2*float64(i%5)/4})
	}
	return m
}

// submit adds n groups, with lengths that do not depend on the policy.
func (m *model) submit(n int) {
	for range n {
		step := 1 + m.submitted/groupsPerStep
		g := sample.Group{ID: fmt.Sprintf("g%d", m.submitted), Size: samplesPerGroup, MaxTokens: 2 * baseTokens}
		longest := 0.0
		known := m.rng.Float64() < m.predicted
		for n := range samplesPerGroup {
			length := baseTokens * (0.5 + m.rng.Float64())
			if m.rng.Float64() < stragglerShare {
				length *= stragglerFactor
			}
			m.lengths[sample.ID(g.ID, n)] = math.Ceil(length)
			longest = max(longest, length)
		}
		if known {
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

func (m *model) start() {
	for _, j := range m.owner.StartJobs() {
		length := m.lengths[j.Sample]
		m.place(&running{job: j, left: length, length: length})
	}
}

// place puts a sample on the least loaded engine.
func (m *model) place(r *running) {
	best := m.engines[0]
	for _, e := range m.engines[1:] {
		if len(e.jobs) < len(best.jobs) {
			best = e
		}
	}
	best.jobs = append(best.jobs, r)
}

// advance runs the engines until the next sample ends, but not past limit, and
// reports whether one ended.
func (m *model) advance(limit float64) bool {
	first, span := -1, limit-m.now
	for i, e := range m.engines {
		for _, r := range e.jobs {
			if t := r.left * e.tokenTime(); t < span {
				first, span = i, t
			}
		}
	}
	if math.IsInf(span, 1) {
		panic(m.name + ": nothing runs and the trainer waits")
	}
	m.now += span
	for _, e := range m.engines {
		tokens := span / max(e.tokenTime(), 1e-9)
		for _, r := range e.jobs {
			r.left -= tokens
			m.generated += tokens
			if r.first == 0 && tokens > 0 {
				r.first = m.version
				m.owner.RecordFirstVersion(r.job, m.version)
			}
		}
	}
	if first < 0 {
		return false
	}
	m.finishEnded(m.engines[first])
	return true
}

func (m *model) finishEnded(e *modelEngine) {
	kept := e.jobs[:0]
	var ended []*running
	for _, r := range e.jobs {
		if r.cancelled {
			continue
		}
		if r.left > 1e-6 {
			kept = append(kept, r)
			continue
		}
		ended = append(ended, r)
	}
	e.jobs = kept
	for _, r := range ended {
		m.finish(r)
	}
	m.start()
	if m.resume || m.hedge {
		m.rebalance()
	}
}

func (m *model) finish(r *running) {
	if r.twin != nil {
		r.twin.cancelled, r.twin.left = true, 0
	}
	s := sample.Sample{ID: r.job.Sample, Group: r.job.Group.ID, Segments: []sample.Segment{{Version: max(r.first, 1), Tokens: int(r.length)}}}
	if err := m.owner.Finish(r.job.Index, s); err != nil {
		return // its group is gone
	}
	m.firstVersion[s.ID] = max(r.first, 1)
	m.doneInStep[m.stepOf[r.job.Group.ID]]++
}

// rebalance moves or doubles samples that run longer than ordinary ones do.
func (m *model) rebalance() {
	for _, e := range m.engines {
		for i := 0; i < len(e.jobs); i++ {
			r := e.jobs[i]
			if r.length-r.left < 2*baseTokens || r.twin != nil || r.moves >= maxMoves {
				continue
			}
			best := m.fastest()
			if best.tokenTimeOf(len(best.jobs)+1) > moveGain*e.tokenTime() {
				continue
			}
			if m.hedge {
				twin := *r
				r.twin, twin.twin = &twin, r
				twin.left = twin.length // the hedge starts at the first token
				best.jobs = append(best.jobs, &twin)
				continue
			}
			e.jobs = append(e.jobs[:i:i], e.jobs[i+1:]...)
			i--
			r.moves++
			r.left += moveCost * (r.length - r.left)
			best.jobs = append(best.jobs, r)
		}
	}
}

// fastest returns the engine that would generate one more sample fastest.
func (m *model) fastest() *modelEngine {
	best := m.engines[0]
	for _, e := range m.engines[1:] {
		if e.tokenTimeOf(len(e.jobs)+1) < best.tokenTimeOf(len(best.jobs)+1) {
			best = e
		}
	}
	return best
}

// batch returns the step's groups once the policy has them.
func (m *model) batch() bool {
	if !m.carryOver && m.doneInStep[m.step] < groupsPerStep*samplesPerGroup {
		return false
	}
	b, ok := m.owner.Propose(sample.Request{Version: m.version, MaxGroups: groupsPerStep, MinGroups: groupsPerStep, WaitForExpiring: m.hold})
	if !ok || len(b.Groups) < groupsPerStep {
		return false
	}
	for _, g := range b.Groups {
		for i := range g.Size {
			id := sample.ID(g.ID, i)
			m.useful += m.lengths[id]
			m.staleness += float64(m.version - m.firstVersion[id])
			m.delivered++
		}
	}
	m.deliver(b.Number, b.Groups)
	return true
}

// result is what a run shows.
type result struct {
	idle  float64 // trainer's waiting time per step, in units of the training time
	stale float64 // mean staleness of the delivered samples, in versions
	waste float64 // tokens generated beyond those delivered, as a share of these
	// starved are the groups that were submitted long ago and never delivered.
	starved int
}

// run returns the trainer's idle share over the counted steps.
func (p policy) run(engines int, train float64) result {
	m := newModel(p, engines)
	m.submit(groupsPerStep + p.ahead)
	idle := 0.0
	for m.step = 1; m.step <= modelSteps; m.step++ {
		asked := m.now
		for !m.batch() {
			m.advance(math.Inf(1))
		}
		if m.step > warmUp {
			idle += m.now - asked
		} else {
			m.generated, m.useful, m.staleness, m.delivered = 0, 0, 0, 0
		}
		m.submit(groupsPerStep)
		for end := m.now + train; m.now < end; {
			m.advance(end)
		}
		m.version++
	}
	return result{idle: idle / train / (modelSteps - warmUp), stale: m.staleness / m.delivered, waste: m.generated/m.useful - 1, starved: m.starved()}
}

// deliver acknowledges the batch, as the log would fold it.
func (m *model) deliver(number int64, groups []record.BatchGroup) {
	for i, body := range []record.Body{
		record.Batch{Trainer: trainerName, Number: number, Term: m.term, Groups: groups},
		record.BatchAck{Trainer: trainerName, Number: number},
	} {
		m.ids++
		data, err := record.Encode(record.ID{byte(m.ids), byte(m.ids >> 8), byte(m.ids >> 16)}, "x", m.log.Deliveries[trainerName].LastOffset*record.Offset(1-i), body)
		if err != nil {
			panic(err)
		}
		if res, err := m.log.Apply(m.log.Applied+1, data); err != nil || res.Verdict != fold.Accepted {
			panic(fmt.Sprint(m.name, ": ", res.Err, err))
		}
	}
	m.owner.SetDeliveryState(m.log.Deliveries[trainerName])
}

func (m *model) starved() int {
	n := 0
	for _, g := range m.owner.Snapshot().Groups {
		if m.stepOf[g.ID] < modelSteps-starvedSteps {
			n++
		}
	}
	return n
}
