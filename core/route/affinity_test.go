package route_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/route"
)

// affinityMode is how a session is routed to a target that has its prefix cached. A
// session is a sequence of requests (turns), each of which extends the prompt. An engine
// emits a cache event when it has cached the prefix of a session.
type affinityMode int

const (
	byLoad        affinityMode = iota // the less loaded of two random targets, no affinity
	byOwnHistory                      // each instance prefers the target that it last chose for the session
	byCacheEvents                     // instances prefer the target of the last cache event
	byPrefixHash                      // consistent hashing, as in package route
)

const (
	simTargets          = 12
	simInstances        = 12
	simSessions         = 1000
	maxCachedSessions   = 125 // sessions per target whose prefixes are cached
	simSlots            = 16  // per target
	simTurns            = 60_000
	tokensPerTurn       = 300
	maxPromptTokens     = 6000
	prefillTimePerToken = 150 * time.Microsecond
	meanGenerationTime  = 800 * time.Millisecond
	eventDelay          = 2 * time.Second // from the first token to the receipt of the cache event
	lostEventDivisor    = 7               // one in this many cache events is lost
	loadReportInterval  = time.Second
)

type simEvent struct {
	at         time.Duration
	session    int
	target     int  // of a finished request or a cache event
	end        bool // a request finishes
	loadReport bool // all targets report their loads
	cacheEvent bool // a cache event is received
}

type eventHeap []simEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

type simEngine struct {
	slotFreeAt []time.Duration // by slot
	cache      []int           // sessions, most recently used last
	load       int
}

// simulate returns the fraction of prompt tokens found in the caches and the p99 time
// to the first token.
func simulate(mode affinityMode) (cached float64, p99 time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	list := targets(simTargets)
	for i := range list {
		list[i].Version = 0
	}
	table := route.NewTable(list)
	indexByID := map[string]int{}
	engines := make([]*simEngine, simTargets)
	for i := range engines {
		engines[i] = &simEngine{slotFreeAt: make([]time.Duration, simSlots)}
		indexByID[list[i].ID] = i
	}
	lengths := make([]int, simSessions)
	history := make([]map[int]int, simInstances) // by instance: session to target
	for i := range history {
		history[i] = map[int]int{}
	}
	eventTargets := map[int]int{}
	var h eventHeap
	for i := range lengths {
		lengths[i] = tokensPerTurn
		heap.Push(&h, simEvent{at: time.Duration(random.IntN(10_000)) * time.Millisecond, session: i})
	}
	heap.Push(&h, simEvent{loadReport: true})
	var cachedTokens, totalTokens int
	var waits []time.Duration
	for len(waits) < simTurns {
		e := heap.Pop(&h).(simEvent)
		switch {
		case e.loadReport:
			loaded := slices.Clone(list)
			for i, g := range engines {
				loaded[i].Load = g.load
			}
			table = table.Rebuild(loaded)
			heap.Push(&h, simEvent{at: e.at + loadReportInterval, loadReport: true})
			continue
		case e.cacheEvent:
			eventTargets[e.session] = e.target
			continue
		case e.end:
			engines[e.target].load--
			continue
		}
		instance := random.IntN(simInstances)
		q := route.Query{Service: "s", Random: random.Uint64()}
		if mode == byPrefixHash {
			q.Prefix = route.ExtendPrefix(0, fmt.Sprint(e.session))
		}
		chosen, err := table.Choose(q)
		if err != nil {
			panic(err)
		}
		target := indexByID[chosen.ID]
		lastTargets := eventTargets
		if mode == byOwnHistory {
			lastTargets = history[instance]
		}
		if lastTarget, ok := lastTargets[e.session]; ok && (mode == byOwnHistory || mode == byCacheEvents) {
			// The same slack as for consistent hashing.
			if table.Targets("s")[lastTarget].Load <= chosen.Load+simSlots/4 {
				target = lastTarget
			}
		}
		history[instance][e.session] = target
		g := engines[target]
		uncached := lengths[e.session]
		totalTokens += uncached
		if i := slices.Index(g.cache, e.session); i >= 0 {
			g.cache = slices.Delete(g.cache, i, i+1)
			cachedTokens += lengths[e.session] - tokensPerTurn
			uncached = tokensPerTurn
		}
		if g.cache = append(g.cache, e.session); len(g.cache) > maxCachedSessions {
			g.cache = g.cache[1:]
		}
		slot := slices.Index(g.slotFreeAt, slices.Min(g.slotFreeAt))
		start := max(g.slotFreeAt[slot], e.at)
		firstToken := start + time.Duration(uncached)*prefillTimePerToken
		done := firstToken + time.Duration(random.ExpFloat64()*float64(meanGenerationTime))
		g.slotFreeAt[slot] = done
		g.load++
		waits = append(waits, firstToken-e.at)
		heap.Push(&h, simEvent{at: done, target: target, end: true})
		if random.IntN(lostEventDivisor) > 0 {
			heap.Push(&h, simEvent{at: firstToken + eventDelay, session: e.session, target: target, cacheEvent: true})
		}
		if lengths[e.session] += tokensPerTurn; lengths[e.session] > maxPromptTokens {
			lengths[e.session] = tokensPerTurn
		}
		heap.Push(&h, simEvent{at: done + time.Duration(random.ExpFloat64()*8*float64(time.Second)), session: e.session})
	}
	slices.Sort(waits)
	return float64(cachedTokens) / float64(totalTokens), waits[len(waits)*99/100]
}

// BenchmarkAffinity reports, for each mode, the percentage of prompt tokens found in the
// caches and the p99 time to the first token.
func BenchmarkAffinity(b *testing.B) {
	for _, c := range []struct {
		name string
		mode affinityMode
	}{{"load only", byLoad}, {"own history", byOwnHistory}, {"cache events", byCacheEvents}, {"hash ring", byPrefixHash}} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				cached, p99 := simulate(c.mode)
				b.ReportMetric(100*cached, "cached-%")
				b.ReportMetric(p99.Seconds()*1000, "first-token-p99-ms")
			}
		})
	}
}
