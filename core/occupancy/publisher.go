package occupancy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Publisher decides which messages about the loads of its runner are sent, and when. Its caller
// reports the result of each message with Delivered or Failed. It is not safe for
// concurrent use.
type Publisher struct {
	self        string
	incarnation int64
	tokenStep   int64
	sequence    uint64
	look        uint64            // number of calls of Next
	engines     map[string]*entry // published loads; empty ones until all receivers have them
	runs        int               // sum of the published runs
	peakRuns    int               // its largest value of late
	occupied    int               // number of engines whose published load is not empty
	receivers   map[string]*receiver

	publishedAt, refreshedAt time.Duration // latest change and latest full state that were published
	burstUntil, nextBurstAt  time.Duration
	wakeAt                   time.Duration
}

// entry is the load of an engine.
type entry struct {
	published Load
	sequence  uint64 // of the message that published it
	current   Load
	look      uint64 // the call of Next that set current
}

// receiver is another runner.
type receiver struct {
	sequence  uint64 // of the latest message sent
	pending   bool   // the result of a message is not known yet
	needsFull bool
	failures  int // consecutive ones
	retryAt   time.Duration
	// holdsUntil is until when the receiver may hold loads of this runner, unless it gets a
	// further message.
	holdsUntil time.Duration
}

// never is a time that is not reached.
const never = time.Duration(math.MaxInt64)

// longAgo lies before every reading of a clock by more than any interval.
const longAgo = -time.Hour

// NewPublisher returns the publisher of the runner self. The incarnation is the start of its
// process in Unix milliseconds. A change of at least tokenStep tokens on an engine is sent before
// the next full message; zero means a default.
func NewPublisher(self string, incarnation, tokenStep int64) *Publisher {
	if tokenStep <= 0 {
		tokenStep = defaultTokenStep
	}
	return &Publisher{
		self: self, incarnation: incarnation, tokenStep: tokenStep,
		engines: map[string]*entry{}, receivers: map[string]*receiver{},
		publishedAt: longAgo, refreshedAt: longAgo, wakeAt: never,
	}
}

// Next returns the messages to send now. own holds the runner's loads and runners the names of
// the other runners. It returns no message for a runner whose previous one is pending. A runner
// without runs sends nothing once the others have received that.
func (p *Publisher) Next(now time.Duration, own []Load, runners []string) []Message {
	p.setReceivers(runners)
	changed, moved := p.compare(own)
	interval := p.interval(now, moved)
	p.wakeAt = never
	switch {
	case now-p.refreshedAt >= fullInterval && (p.occupied > 0 || len(changed) > 0 || p.anyHolds(now)):
		p.publish(now, p.all())
		p.refreshedAt, p.peakRuns = now, p.peakRuns-p.peakRuns/peakDecay
		for _, r := range p.receivers {
			r.needsFull = true
		}
	case len(changed) > 0 && now-p.publishedAt >= interval:
		p.publish(now, changed)
	case len(changed) > 0:
		p.wakeAt = p.publishedAt + interval
	}
	if p.occupied > 0 || p.anyHolds(now) { // tokens change without a call; the full state is due
		p.wakeAt = min(p.wakeAt, now+steadyInterval)
	}
	return p.messages(now)
}

// WakeAt returns when Next is to be called again if no load changes before.
func (p *Publisher) WakeAt() time.Duration { return p.wakeAt }

// Delivered records that the pending message to a runner was applied. It reports whether the
// runner was lost before.
func (p *Publisher) Delivered(name string) (regained bool) {
	r := p.receivers[name]
	if r == nil {
		return false
	}
	regained = r.failures >= lostAfter
	r.pending, r.failures = false, 0
	if p.occupied == 0 && r.sequence == p.sequence {
		r.holdsUntil = longAgo
	}
	return regained
}

// lostAfter is the number of consecutive failures after which a runner counts as lost. A single
// message may be lost on a link that works.
const lostAfter = 2

// Failed records that the pending message to a runner failed. The next one is a full one, which
// is sent at once, and after further failures every second. It reports whether the runner is lost
// since now.
func (p *Publisher) Failed(now time.Duration, name string) (lost bool) {
	r := p.receivers[name]
	if r == nil {
		return false
	}
	r.pending, r.needsFull = false, true
	r.failures++
	if r.failures >= lostAfter {
		r.retryAt = now + failureBackoff
	}
	return r.failures == lostAfter
}

func (p *Publisher) setReceivers(runners []string) {
	for _, name := range runners {
		if p.receivers[name] == nil && name != p.self && name != "" {
			p.receivers[name] = &receiver{needsFull: true, holdsUntil: longAgo}
		}
	}
	for name := range p.receivers {
		if !slices.Contains(runners, name) {
			delete(p.receivers, name)
		}
	}
}

// compare sets the current loads. It returns the engines whose load differs from the published
// one by at least a run or tokenStep, and how many runs these differ by in all. It removes
// entries that no receiver needs any more.
func (p *Publisher) compare(own []Load) (changed []*entry, moved int) {
	p.look++
	bytes := 0
	for _, l := range own {
		l.Runs, l.Tokens = max(0, l.Runs), max(0, l.Tokens)
		if l.empty() || l.Engine == "" || len(l.Engine) > maxNameBytes {
			continue
		}
		e := p.engines[l.Engine]
		if e == nil || e.look != p.look {
			// Keeps a full message within its limits.
			if bytes += len(l.Engine) + maxRowBytes; bytes > MaxMessageBytes-2*maxNameBytes {
				break
			}
		}
		if e == nil {
			e = &entry{published: Load{Engine: l.Engine}}
			p.engines[l.Engine] = e
		}
		if e.look != p.look {
			e.current, e.look = Load{Engine: l.Engine}, p.look
		}
		e.current.Runs = min(maxRuns, e.current.Runs+min(maxRuns, l.Runs))
		e.current.Tokens = min(maxTokens, e.current.Tokens+min(maxTokens, l.Tokens))
	}
	oldest := p.oldestSequence()
	for name, e := range p.engines {
		if e.look != p.look {
			e.current = Load{Engine: name}
			if e.published.empty() && e.sequence <= oldest {
				delete(p.engines, name)
				continue
			}
		}
		runs, tokens := abs(e.current.Runs-e.published.Runs), abs(e.current.Tokens-e.published.Tokens)
		if runs > 0 || tokens >= p.tokenStep || tokens > 0 && e.current.empty() {
			changed = append(changed, e)
			moved += runs
		}
	}
	return changed, moved
}

// maxRowBytes is the largest encoded size of a load without the name of its engine: the length
// of the name, a number of runs and a number of tokens. With it, fewer than maxEngines fit.
const maxRowBytes = 32

// interval returns the shortest time between two changes now. A sudden change starts a burst, in
// which the first message does not wait for the interval.
func (p *Publisher) interval(now time.Duration, moved int) time.Duration {
	sudden := moved > 0 && (now-p.publishedAt >= quietPeriod || moved*burstFraction >= p.peakRuns)
	switch {
	case sudden && now >= p.nextBurstAt:
		p.burstUntil, p.nextBurstAt = now+burstDuration, now+burstDuration+burstPause
		return 0
	case now < p.burstUntil:
		return burstInterval
	default:
		return steadyInterval
	}
}

// anyHolds reports whether a receiver may hold loads of this runner.
func (p *Publisher) anyHolds(now time.Duration) bool {
	for _, r := range p.receivers {
		if now < r.holdsUntil {
			return true
		}
	}
	return false
}

// oldestSequence returns the lowest sequence number that an incremental message may build on.
func (p *Publisher) oldestSequence() uint64 {
	oldest := uint64(math.MaxUint64)
	for _, r := range p.receivers {
		if !r.needsFull {
			oldest = min(oldest, r.sequence)
		}
	}
	return oldest
}

func (p *Publisher) all() []*entry {
	all := make([]*entry, 0, len(p.engines))
	for _, e := range p.engines {
		all = append(all, e)
	}
	return all
}

// publish makes the current loads of the entries the published ones.
func (p *Publisher) publish(now time.Duration, entries []*entry) {
	p.sequence++
	for _, e := range entries {
		if e.current == e.published {
			continue
		}
		p.publishedAt = now
		p.runs += e.current.Runs - e.published.Runs
		if !e.published.empty() {
			p.occupied--
		}
		if !e.current.empty() {
			p.occupied++
		}
		e.published, e.sequence = e.current, p.sequence
	}
	p.peakRuns = max(p.peakRuns, p.runs)
}

// messages returns a message for each receiver that does not have the published state. Receivers
// with the same Base share one.
func (p *Publisher) messages(now time.Duration) []Message {
	byBase := map[uint64][]string{} // fullBase: full messages
	for name, r := range p.receivers {
		outdated := r.sequence < p.sequence
		if r.needsFull {
			outdated = p.occupied > 0 || now < r.holdsUntil
		}
		switch {
		case !outdated || r.pending:
			continue
		case now < r.retryAt:
			p.wakeAt = min(p.wakeAt, r.retryAt)
			continue
		}
		base := r.sequence
		if r.needsFull {
			base = fullBase
		}
		byBase[base] = append(byBase[base], name)
		r.sequence, r.pending, r.needsFull = p.sequence, true, false
		if p.occupied > 0 {
			r.holdsUntil = now + entryLifetime + failureBackoff // the message may take some time
		}
	}
	var out []Message
	for base, to := range byBase {
		slices.Sort(to)
		m := Message{To: to, From: p.self, Incarnation: p.incarnation, Sequence: p.sequence, Base: base}
		if base == fullBase {
			m.Base, m.Full = 0, true
		}
		for _, e := range p.engines {
			if m.Full && !e.published.empty() || !m.Full && e.sequence > base {
				m.Loads = append(m.Loads, e.published)
			}
		}
		slices.SortFunc(m.Loads, func(a, b Load) int { return cmp.Compare(a.Engine, b.Engine) })
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Message) int { return cmp.Compare(a.To[0], b.To[0]) })
	return out
}

// fullBase stands for a full message where sequence numbers are expected.
const fullBase = math.MaxUint64

func abs[T int | int64](n T) T { return max(n, -n) }
