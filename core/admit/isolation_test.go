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

// policy is a combination of mechanisms that isolate client accounts.
type policy struct {
	name   string
	fair   bool    // weighted fair queueing; otherwise FIFO
	shard  bool    // each account uses a random subset of the targets
	credit float64 // idle credit, in rounds of all slots
	// number of instances among which the slots of each target are divided, with a queue
	// at each instance; zero: one queue at the owner
	instances int
	// most requests of an account in flight or waiting, as a multiple of its share of all
	// slots; zero: unlimited
	accountLimit float64
}

var policies = []policy{
	{name: "neither"},
	{name: "fair", fair: true},
	{name: "shard", shard: true},
	{name: "both", fair: true, shard: true},
	{name: "fair+credit16", fair: true, credit: 16},
	{name: "limits", accountLimit: 2},
	{name: "fair+limits", fair: true, accountLimit: 2},
	{name: "fair+limits+credit16", fair: true, accountLimit: 2, credit: 16},
	{name: "fair+limits1.5+credit16", fair: true, accountLimit: 1.5, credit: 16},
	{name: "shard+limits", shard: true, accountLimit: 2},
	{name: "both+limits", fair: true, shard: true, accountLimit: 2},
}

// deployment is the size of a simulated deployment.
type deployment struct {
	name     string // targets x accounts
	targets  int
	weights  []float64 // by account
	duration time.Duration
}

func deployments() []deployment {
	few := []float64{4, 4, 1, 1, 1, 1, 1, 1}
	many := make([]float64, 1000)
	for i := range many {
		many[i] = 1
		if i%50 == 0 {
			many[i] = 20
		}
	}
	return []deployment{
		{"12x8", 12, few, 200 * time.Second},
		{"3x8", 3, few, 400 * time.Second},
		{"12000x1000", 12_000, many, 6 * time.Second},
	}
}

const (
	slots              = 16 // per target
	meanServiceTime    = time.Second
	loadReportInterval = 100 * time.Millisecond
	flooder            = 2  // index of an account with a small weight
	floodFactor        = 20 // rate of the flooder as a multiple of its normal rate
	downTime           = 5 * time.Second
	poisonCrashes      = 3 // targets that a poisoned request crashes
)

type event struct {
	at       time.Duration
	kind     int
	account  int
	target   int
	id       uint64
	epoch    int
	instance int
}

const (
	arrive = iota // an account submits a request
	finish        // a request finishes
	report        // all targets report their loads
	poison        // the flooder submits a poisoned request
)

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type simTarget struct {
	queues       []*admit.Queue // one, or one per instance
	reportedLoad int
	busy         time.Duration
	downUntil    time.Duration
	epoch        int
	running      map[uint64]request
}

type request struct {
	account     int
	arrived     time.Duration
	instance    int
	crashesLeft int // targets that the request still crashes; zero: none
}

// sim simulates a deployment with a virtual clock.
type sim struct {
	policy
	deployment
	random         *rand.Rand
	now            time.Duration
	heap           eventHeap
	targets        []*simTarget
	accountTargets [][]int // by account: targets that it uses if they are sharded
	allTargets     []int
	undecided      map[uint64]request // by id: submitted and not decided yet
	nextID         uint64
	waits          [][]time.Duration // by account
	affected       map[int]bool      // accounts with a request on a crashed target
	outstanding    []int             // requests in flight or waiting, by account
	maxOutstanding []int             // by account, if the policy limits it
	refused        []int             // by account
}

func newSim(p policy, s deployment) *sim {
	m := &sim{policy: p, deployment: s, random: rand.New(rand.NewPCG(1, 2)), undecided: map[uint64]request{}, waits: make([][]time.Duration, len(s.weights)), affected: map[int]bool{}}
	limits := admit.Limits{Concurrency: slots, Queue: 1 << 20, IdleCredit: p.credit}
	for i := range s.targets {
		t := &simTarget{running: map[uint64]request{}}
		instances := max(p.instances, 1)
		for instance := range instances {
			// The remainder of the division goes to different instances at each target.
			limits.Concurrency = slots / instances
			if (instance+i)%instances < slots%instances {
				limits.Concurrency++
			}
			t.queues = append(t.queues, admit.New(limits))
		}
		m.targets = append(m.targets, t)
		m.allTargets = append(m.allTargets, i)
	}
	total := 0.0
	for _, w := range s.weights {
		total += w
	}
	m.outstanding, m.refused = make([]int, len(s.weights)), make([]int, len(s.weights))
	for _, w := range s.weights {
		m.maxOutstanding = append(m.maxOutstanding, max(int(p.accountLimit*w/total*float64(s.targets*slots)), 1))
		// Twice the account's share of the targets, at least two.
		k := min(max(int(math.Ceil(2*w/total*float64(s.targets))), 2), s.targets)
		m.accountTargets = append(m.accountTargets, m.random.Perm(s.targets)[:k])
	}
	return m
}

func (m *sim) push(e event) { heap.Push(&m.heap, e) }

func (m *sim) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(mean))
}

// run submits requests at a rate of load times each account's share of all slots, and
// of floodFactor times that for the flooder.
func (m *sim) run(load float64, flood, poisoned bool) {
	total := 0.0
	for _, w := range m.weights {
		total += w
	}
	interarrival := make([]time.Duration, len(m.weights))
	for i, w := range m.weights {
		rate := load * w / total * float64(m.deployment.targets*slots) / meanServiceTime.Seconds()
		if flood && i == flooder {
			rate *= floodFactor
		}
		interarrival[i] = time.Duration(float64(time.Second) / rate)
		m.push(event{at: m.exponential(interarrival[i]), kind: arrive, account: i})
	}
	m.push(event{at: loadReportInterval, kind: report})
	if poisoned {
		m.push(event{at: m.duration / 2, kind: poison})
	}
	for m.now < m.duration {
		e := heap.Pop(&m.heap).(event)
		m.now = e.at
		switch e.kind {
		case arrive:
			m.submit(request{account: e.account, arrived: m.now})
			m.push(event{at: m.now + m.exponential(interarrival[e.account]), kind: arrive, account: e.account})
		case finish:
			t := m.targets[e.target]
			if e.epoch == t.epoch {
				m.outstanding[t.running[e.id].account]--
				delete(t.running, e.id)
				m.applyDecisions(e.target, t.queues[e.instance].Finish(m.now, e.id, 1))
			}
		case report:
			for _, t := range m.targets {
				t.reportedLoad = 0
				for _, q := range t.queues {
					granted, waiting := q.Load()
					t.reportedLoad += granted + waiting
				}
			}
			m.push(event{at: m.now + loadReportInterval, kind: report})
		case poison:
			m.submit(request{account: flooder, arrived: m.now, crashesLeft: poisonCrashes})
		}
	}
}

// submit sends a request to the less loaded of two random targets, unless its account
// is at its limit. A target that is down is avoided if the other is up.
func (m *sim) submit(r request) {
	if m.accountLimit > 0 && m.outstanding[r.account] >= m.maxOutstanding[r.account] {
		m.refused[r.account]++
		return
	}
	m.outstanding[r.account]++
	candidates := m.allTargets
	if m.shard {
		candidates = m.accountTargets[r.account]
	}
	if m.instances > 0 {
		r.instance = m.random.IntN(m.instances)
	}
	best := -1
	for range 2 {
		c := candidates[m.random.IntN(len(candidates))]
		if m.targets[c].downUntil > m.now && best >= 0 {
			continue
		}
		if best < 0 || m.targets[best].downUntil > m.now || m.load(c, r.instance) < m.load(best, r.instance) {
			best = c
		}
	}
	m.nextID++
	m.undecided[m.nextID] = r
	req := admit.Request{ID: m.nextID, Weight: 1, Cost: 1}
	if m.fair {
		req.Flow, req.Weight = fmt.Sprint(r.account), m.weights[r.account]
	}
	m.applyDecisions(best, m.targets[best].queues[r.instance].Submit(m.now, req))
}

// load returns a target's load as the instance observes it. With a queue at each
// instance that is the present load of its own queue per slot of it, otherwise the last
// reported load of the target.
func (m *sim) load(target, instance int) float64 {
	t := m.targets[target]
	if m.instances == 0 {
		return float64(t.reportedLoad)
	}
	granted, waiting := t.queues[instance].Load()
	instanceSlots := slots / m.instances
	if (instance+target)%m.instances < slots%m.instances {
		instanceSlots++
	}
	return float64(granted+waiting) / float64(instanceSlots)
}

func (m *sim) applyDecisions(target int, decisions []admit.Decision) {
	t := m.targets[target]
	for _, d := range decisions {
		r := m.undecided[d.ID]
		delete(m.undecided, d.ID)
		if d.Reason != 0 {
			continue
		}
		if r.crashesLeft > 0 {
			m.crash(target, d.ID, r)
			return
		}
		m.waits[r.account] = append(m.waits[r.account], m.now-r.arrived)
		serviceTime := max(m.exponential(meanServiceTime), t.downUntil-m.now)
		t.busy += serviceTime
		t.running[d.ID] = r
		m.push(event{at: m.now + serviceTime, kind: finish, target: target, id: d.ID, epoch: t.epoch, instance: r.instance})
	}
}

// crash ends the requests running at the target, which is down for downTime, and
// submits the poisoned request again until it has crashed poisonCrashes targets.
func (m *sim) crash(target int, id uint64, r request) {
	t := m.targets[target]
	t.epoch++
	t.downUntil = m.now + downTime
	for otherID, failed := range t.running {
		m.affected[failed.account] = true
		m.outstanding[failed.account]--
		delete(t.running, otherID)
		m.applyDecisions(target, t.queues[failed.instance].Finish(m.now, otherID, 0))
	}
	m.applyDecisions(target, t.queues[r.instance].Finish(m.now, id, 0))
	m.outstanding[r.account]--
	if r.crashesLeft--; r.crashesLeft > 0 {
		m.submit(r)
	}
}

// worstP99 returns the largest p99 wait among the accounts other than the flooder that
// have enough requests for a p99.
func (m *sim) worstP99() time.Duration {
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

// othersRefused returns the percentage of the other accounts' requests that was refused.
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

// imbalance returns the busiest target's busy time divided by the mean.
func (m *sim) imbalance() float64 {
	var busiest, sum time.Duration
	for _, t := range m.targets {
		busiest = max(busiest, t.busy)
		sum += t.busy
	}
	return float64(busiest) * float64(len(m.targets)) / float64(sum)
}

// BenchmarkIsolation reports, for each policy, deployment and load: the largest p99
// wait of the other accounts with and without one account at 20 times its share, how
// many accounts a poisoned request affects, and the load imbalance.
func BenchmarkIsolation(b *testing.B) {
	for _, s := range deployments() {
		for _, load := range []float64{0.7, 0.9} {
			for _, p := range policies {
				b.Run(fmt.Sprintf("%s/load=%g/%s", s.name, load, p.name), func(b *testing.B) {
					for range b.N {
						baseline, flooded, poisoned := newSim(p, s), newSim(p, s), newSim(p, s)
						baseline.run(load, false, false)
						flooded.run(load, true, false)
						poisoned.run(load, false, true)
						b.ReportMetric(baseline.worstP99().Seconds()*1000, "calm-p99-ms")
						b.ReportMetric(flooded.worstP99().Seconds()*1000, "flood-p99-ms")
						b.ReportMetric(flooded.worstP99().Seconds()/max(baseline.worstP99().Seconds(), 1e-3), "flood/calm")
						b.ReportMetric(float64(len(poisoned.affected)), "accounts-hit")
						b.ReportMetric(baseline.imbalance(), "imbalance")
						b.ReportMetric(flooded.othersRefused(), "others-refused-%")
					}
				})
			}
		}
	}
}

// BenchmarkOwnership compares one queue per target at its owner with a division of the
// target's slots among twelve instances, each with a queue of its own.
func BenchmarkOwnership(b *testing.B) {
	for _, load := range []float64{0.7, 0.9, 1.2} {
		for _, p := range []policy{
			{name: "owner", fair: true, credit: 16},
			{name: "slices", fair: true, credit: 16, instances: 12},
		} {
			b.Run(fmt.Sprintf("load=%g/%s", load, p.name), func(b *testing.B) {
				for range b.N {
					m := newSim(p, deployments()[0])
					m.run(load, false, false)
					served := 0
					for _, waits := range m.waits {
						served += len(waits)
					}
					b.ReportMetric(m.worstP99().Seconds()*1000, "worst-p99-ms")
					b.ReportMetric(float64(served)/m.duration.Seconds(), "served/s")
				}
			})
		}
	}
}
