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

// affinity is a way to send a session where its prefix is cached.
type affinity int

const (
	byLoad    affinity = iota // the better of two random targets
	ownMemory                 // each entry sends a session where it last sent it
	byEvents                  // each entry follows the engines' cache events
	byHash                    // the ring
)

const (
	simTargets   = 12
	simEntries   = 12
	simSessions  = 1000
	simCached    = 125 // sessions whose prefixes a target keeps
	simSlots     = 16
	simTurns     = 60_000
	turnTokens   = 300
	maxPrompt    = 6000
	prefillToken = 150 * time.Microsecond
	generation   = 800 * time.Millisecond
	eventLag     = 2 * time.Second
	eventLoss    = 7 // one event in this many is lost
	loadLag      = time.Second
)

type turn struct {
	at      time.Duration
	session int
	target  int // of an end
	end     bool
	refresh bool
	learn   bool // a cache event arrives
}

type turns []turn

func (h turns) Len() int           { return len(h) }
func (h turns) Less(i, j int) bool { return h[i].at < h[j].at }
func (h turns) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *turns) Push(x any)        { *h = append(*h, x.(turn)) }
func (h *turns) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

type simEngine struct {
	free  []time.Duration // when each slot is free
	cache []int           // sessions, the latest last
	load  int
}

// simulate returns the part of prompt tokens that was cached, and the p99 time
// to the first token.
func simulate(how affinity) (cached float64, p99 time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	list := targets(simTargets)
	for i := range list {
		list[i].Version = 0
	}
	table := route.NewTable(list)
	index := map[string]int{}
	engines := make([]*simEngine, simTargets)
	for i := range engines {
		engines[i] = &simEngine{free: make([]time.Duration, simSlots)}
		index[list[i].ID] = i
	}
	lengths := make([]int, simSessions)
	known := make([]map[int]int, simEntries) // session to target
	for i := range known {
		known[i] = map[int]int{}
	}
	shared := map[int]int{}
	var h turns
	for i := range lengths {
		lengths[i] = turnTokens
		heap.Push(&h, turn{at: time.Duration(random.IntN(10_000)) * time.Millisecond, session: i})
	}
	heap.Push(&h, turn{refresh: true})
	var hits, total int
	var waits []time.Duration
	for len(waits) < simTurns {
		e := heap.Pop(&h).(turn)
		switch {
		case e.refresh:
			loaded := slices.Clone(list)
			for i, g := range engines {
				loaded[i].Load = g.load
			}
			table = table.Rebuild(loaded)
			heap.Push(&h, turn{at: e.at + loadLag, refresh: true})
			continue
		case e.learn:
			shared[e.session] = e.target
			continue
		case e.end:
			engines[e.target].load--
			continue
		}
		entry := random.IntN(simEntries)
		q := route.Query{Service: "s", Random: random.Uint64()}
		if how == byHash {
			q.Prefix = route.ExtendPrefix(0, fmt.Sprint(e.session))
		}
		chosen, err := table.Choose(q)
		if err != nil {
			panic(err)
		}
		at := index[chosen.ID]
		memory := shared
		if how == ownMemory {
			memory = known[entry]
		}
		if home, ok := memory[e.session]; ok && (how == ownMemory || how == byEvents) {
			// The same slack as the ring's.
			if table.Targets("s")[home].Load <= chosen.Load+simSlots/4 {
				at = home
			}
		}
		known[entry][e.session] = at
		g := engines[at]
		fresh := lengths[e.session]
		total += fresh
		if i := slices.Index(g.cache, e.session); i >= 0 {
			g.cache = slices.Delete(g.cache, i, i+1)
			hits += lengths[e.session] - turnTokens
			fresh = turnTokens
		}
		if g.cache = append(g.cache, e.session); len(g.cache) > simCached {
			g.cache = g.cache[1:]
		}
		slot := slices.Index(g.free, slices.Min(g.free))
		start := max(g.free[slot], e.at)
		first := start + time.Duration(fresh)*prefillToken
		done := first + time.Duration(random.ExpFloat64()*float64(generation))
		g.free[slot] = done
		g.load++
		waits = append(waits, first-e.at)
		heap.Push(&h, turn{at: done, target: at, end: true})
		if random.IntN(eventLoss) > 0 {
			heap.Push(&h, turn{at: first + eventLag, session: e.session, target: at, learn: true})
		}
		if lengths[e.session] += turnTokens; lengths[e.session] > maxPrompt {
			lengths[e.session] = turnTokens
		}
		heap.Push(&h, turn{at: done + time.Duration(random.ExpFloat64()*8*float64(time.Second)), session: e.session})
	}
	slices.Sort(waits)
	return float64(hits) / float64(total), waits[len(waits)*99/100]
}

// BenchmarkAffinity reports, for each way, the part of prompt tokens found in
// the caches and the p99 time to the first token.
func BenchmarkAffinity(b *testing.B) {
	for _, c := range []struct {
		name string
		how  affinity
	}{{"load only", byLoad}, {"own memory", ownMemory}, {"cache events", byEvents}, {"hash ring", byHash}} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				cached, p99 := simulate(c.how)
				b.ReportMetric(100*cached, "cached-%")
				b.ReportMetric(p99.Seconds()*1000, "first-token-p99-ms")
			}
		})
	}
}
