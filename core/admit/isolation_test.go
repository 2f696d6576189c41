package admit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/admit"
)

// policy is a way to keep client accounts apart.
type policy struct {
	name   string
	fair   bool // weighted fair queues, else first come first served
	shard  bool // accounts on a hashed subset of the targets
	credit float64
	slices int     // entries that each dispatch with their part of the slots; zero: one queue at the owner
	limits float64 // times its share of all slots that an account may have in flight or waiting; zero: any
}

var policies = []policy{
	{name: "neither"},
	{name: "fair", fair: true},
	{name: "shard", shard: true},
	{name: "both", fair: true, shard: true},
	{name: "fair+credit16", fair: true, credit: 16},
	{name: "limits", limits: 2},
	{name: "fair+limits", fair: true, limits: 2},
	{name: "fair+limits+credit16", fair: true, limits: 2, credit: 16},
	{name: "fair+limits1.5+credit16", fair: true, limits: 1.5, credit: 16},
	{name: "shard+limits", shard: true, limits: 2},
	{name: "both+limits", fair: true, shard: true, limits: 2},
}

// site is the size of a simulated deployment.
type site struct {
	name     string
	targets  int
	weights  []float64
	duration time.Duration
}

func sites() []site {
	few := []float64{4, 4, 1, 1, 1, 1, 1, 1}
	many := make([]float64, 1000)
	for i := range many {
		many[i] = 1
		if i%50 == 0 {
			many[i] = 20
		}
	}
	return []site{
		{"12x8", 12, few, 200 * time.Second},
		{"3x8", 3, few, 400 * time.Second},
		{"12000x1000", 12_000, many, 6 * time.Second},
	}
}

const (
	slots       = 16
	meanService = time.Second
	reportEvery = 100 * time.Millisecond
	flooder     = 2 // a small account
	floodFactor = 20
	downFor     = 5 * time.Second
	poisonTries = 3
)

type event struct {
	at      time.Duration
	kind    int
	account int
	target  int
	id      uint64
	epoch   int
	entry   int
}

const (
	arrive = iota
	finish
	report
	poison
)

type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at < h[j].at }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)        { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type simTarget struct {
	queues   []*admit.Queue // one, or one for each entry
	reported int
	busy     time.Duration
	downTill time.Duration
	epoch    int
	running  map[uint64]request
}

type request struct {
	account int
	arrived time.Duration
	entry   int
	poison  int // crashes left
}

// sim is a deployment on a clock of its own.
type sim struct {
	policy
	site
	random  *rand.Rand
	now     time.Duration
	heap    events
	targets []*simTarget
	subset  [][]int
	all     []int
	open    map[uint64]request
	nextID  uint64
	waits   [][]time.Duration // by account
	hit     map[int]bool      // accounts with a request on a crashed target
	held    []int             // requests in flight or waiting, by account
	cap     []int
	refused []int
}

func newSim(p policy, s site) *sim {
	m := &sim{policy: p, site: s, random: rand.New(rand.NewPCG(1, 2)), open: map[uint64]request{}, waits: make([][]time.Duration, len(s.weights)), hit: map[int]bool{}}
	limits := admit.Limits{Concurrency: slots, Queue: 1 << 20, IdleCredit: p.credit}
	for i := range s.targets {
		t := &simTarget{running: map[uint64]request{}}
		entries := max(p.slices, 1)
		for e := range entries {
			// The rest of the division goes to other entries at each target.
			limits.Concurrency = slots / entries
			if (e+i)%entries < slots%entries {
				limits.Concurrency++
			}
			t.queues = append(t.queues, admit.New(limits))
		}
		m.targets = append(m.targets, t)
		m.all = append(m.all, i)
	}
	total := 0.0
	for _, w := range s.weights {
		total += w
	}
	m.held, m.refused = make([]int, len(s.weights)), make([]int, len(s.weights))
	for _, w := range s.weights {
		m.cap = append(m.cap, max(int(p.limits*w/total*float64(s.targets*slots)), 1))
		// Twice the account's share of the targets, and at least two.
		k := min(max(int(math.Ceil(2*w/total*float64(s.targets))), 2), s.targets)
		m.subset = append(m.subset, m.random.Perm(s.targets)[:k])
	}
	return m
}

func (m *sim) push(e event) { heap.Push(&m.heap, e) }

func (m *sim) exp(mean time.Duration) time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(mean))
}

// run offers each account load times its share of all slots, and the flooder
// floodFactor times that.
func (m *sim) run(load float64, flood, poisoned bool) {
	total := 0.0
	for _, w := range m.weights {
		total += w
	}
	gaps := make([]time.Duration, len(m.weights))
	for i, w := range m.weights {
		rate := load * w / total * float64(m.site.targets*slots) / meanService.Seconds()
		if flood && i == flooder {
			rate *= floodFactor
		}
		gaps[i] = time.Duration(float64(time.Second) / rate)
		m.push(event{at: m.exp(gaps[i]), kind: arrive, account: i})
	}
	m.push(event{at: reportEvery, kind: report})
	if poisoned {
		m.push(event{at: m.duration / 2, kind: poison})
	}
	for m.now < m.duration {
		e := heap.Pop(&m.heap).(event)
		m.now = e.at
		switch e.kind {
		case arrive:
			m.submit(request{account: e.account, arrived: m.now})
			m.push(event{at: m.now + m.exp(gaps[e.account]), kind: arrive, account: e.account})
		case finish:
			t := m.targets[e.target]
			if e.epoch == t.epoch {
				m.held[t.running[e.id].account]--
				delete(t.running, e.id)
				m.take(e.target, t.queues[e.entry].Finish(m.now, e.id, 1))
			}
		case report:
			for _, t := range m.targets {
				t.reported = 0
				for _, q := range t.queues {
					granted, waiting := q.Load()
					t.reported += granted + waiting
				}
			}
			m.push(event{at: m.now + reportEvery, kind: report})
		case poison:
			m.submit(request{account: flooder, arrived: m.now, poison: poisonTries})
		}
	}
}

// submit routes to the better of two random targets by reported load.
func (m *sim) submit(r request) {
	if m.limits > 0 && m.held[r.account] >= m.cap[r.account] {
		m.refused[r.account]++
		return
	}
	m.held[r.account]++
	list := m.all
	if m.shard {
		list = m.subset[r.account]
	}
	if m.slices > 0 {
		r.entry = m.random.IntN(m.slices)
	}
	best := -1
	for range 2 {
		c := list[m.random.IntN(len(list))]
		if m.targets[c].downTill > m.now && best >= 0 {
			continue
		}
		if best < 0 || m.targets[best].downTill > m.now || m.load(c, r.entry) < m.load(best, r.entry) {
			best = c
		}
	}
	m.nextID++
	m.open[m.nextID] = r
	ask := admit.Request{ID: m.nextID, Weight: 1, Cost: 1}
	if m.fair {
		ask.Flow, ask.Weight = fmt.Sprint(r.account), m.weights[r.account]
	}
	m.take(best, m.targets[best].queues[r.entry].Submit(m.now, ask))
}

// load is what the entry knows of a target's load: its own part of the target as
// it is now, or all of it as last reported.
func (m *sim) load(target, entry int) float64 {
	t := m.targets[target]
	if m.slices == 0 {
		return float64(t.reported)
	}
	granted, waiting := t.queues[entry].Load()
	part := slots / m.slices
	if (entry+target)%m.slices < slots%m.slices {
		part++
	}
	return float64(granted+waiting) / float64(part)
}

func (m *sim) take(target int, verdicts []admit.Decision) {
	t := m.targets[target]
	for _, v := range verdicts {
		r := m.open[v.ID]
		delete(m.open, v.ID)
		if v.Reason != 0 {
			continue
		}
		if r.poison > 0 {
			m.crash(target, v.ID, r)
			return
		}
		m.waits[r.account] = append(m.waits[r.account], m.now-r.arrived)
		served := max(m.exp(meanService), t.downTill-m.now)
		t.busy += served
		t.running[v.ID] = r
		m.push(event{at: m.now + served, kind: finish, target: target, id: v.ID, epoch: t.epoch, entry: r.entry})
	}
}

// crash ends what runs at the target, which starts again empty, and sends the
// poisoned request to another.
func (m *sim) crash(target int, id uint64, r request) {
	t := m.targets[target]
	t.epoch++
	t.downTill = m.now + downFor
	for other, lost := range t.running {
		m.hit[lost.account] = true
		m.held[lost.account]--
		delete(t.running, other)
		m.take(target, t.queues[lost.entry].Finish(m.now, other, 0))
	}
	m.take(target, t.queues[r.entry].Finish(m.now, id, 0))
	m.held[r.account]--
	if r.poison--; r.poison > 0 {
		m.submit(r)
	}
}

// worst is the largest p99 wait of the accounts that do not flood, of those
// with enough requests for a p99.
func (m *sim) worst() time.Duration {
	var worst time.Duration
	for i, waits := range m.waits {
		if i == flooder || len(waits) < 100 {
			continue
		}
		slices.Sort(waits)
		worst = max(worst, waits[len(waits)*99/100])
	}
	return worst
}

// othersRefused is the part of the other accounts' requests that was refused.
func (m *sim) othersRefused() float64 {
	refused, served := 0, 0
	for i := range m.refused {
		if i != flooder {
			refused += m.refused[i]
			served += len(m.waits[i])
		}
	}
	return 100 * float64(refused) / float64(refused+served)
}

// imbalance is the most loaded target's work for the mean.
func (m *sim) imbalance() float64 {
	var most, sum time.Duration
	for _, t := range m.targets {
		most = max(most, t.busy)
		sum += t.busy
	}
	return float64(most) * float64(len(m.targets)) / float64(sum)
}

// BenchmarkIsolation reports, for each policy and size, the worst other
// account's p99 wait with one account at 20 times its share and without, the
// accounts that one poisoned request hits, and the load imbalance.
func BenchmarkIsolation(b *testing.B) {
	for _, s := range sites() {
		for _, load := range []float64{0.7, 0.9} {
			for _, p := range policies {
				b.Run(fmt.Sprintf("%s/load=%g/%s", s.name, load, p.name), func(b *testing.B) {
					for range b.N {
						calm, flooded, poisoned := newSim(p, s), newSim(p, s), newSim(p, s)
						calm.run(load, false, false)
						flooded.run(load, true, false)
						poisoned.run(load, false, true)
						b.ReportMetric(calm.worst().Seconds()*1000, "calm-p99-ms")
						b.ReportMetric(flooded.worst().Seconds()*1000, "flood-p99-ms")
						b.ReportMetric(flooded.worst().Seconds()/max(calm.worst().Seconds(), 1e-3), "flood/calm")
						b.ReportMetric(float64(len(poisoned.hit)), "accounts-hit")
						b.ReportMetric(calm.imbalance(), "imbalance")
						b.ReportMetric(flooded.othersRefused(), "others-refused-%")
					}
				})
			}
		}
	}
}

// BenchmarkOwnership compares one queue for each target at its owner with twelve
// entries that each dispatch with their part of the target's slots.
func BenchmarkOwnership(b *testing.B) {
	for _, load := range []float64{0.7, 0.9, 1.2} {
		for _, p := range []policy{
			{name: "owner", fair: true, credit: 16},
			{name: "slices", fair: true, credit: 16, slices: 12},
		} {
			b.Run(fmt.Sprintf("load=%g/%s", load, p.name), func(b *testing.B) {
				for range b.N {
					m := newSim(p, sites()[0])
					m.run(load, false, false)
					served := 0
					for _, waits := range m.waits {
						served += len(waits)
					}
					b.ReportMetric(m.worst().Seconds()*1000, "worst-p99-ms")
					b.ReportMetric(float64(served)/m.duration.Seconds(), "served/s")
				}
			})
		}
	}
}
