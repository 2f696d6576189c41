package forward

import (
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/node"
)

// plainTargets chooses the targets of requests to plain services. It is safe for
// concurrent use.
type plainTargets struct {
	mu       sync.Mutex
	health   *retry.OutlierDetector
	inFlight map[string]int // requests of this instance, by target
	// openConnections returns the number of open connections to the address of a target.
	openConnections func(address string) int
	suspects        map[string]int // requests in flight under which targets have crashed, by target
}

func newPlainTargets(l retry.EjectionLimits, openConnections func(address string) int) *plainTargets {
	return &plainTargets{health: retry.NewOutlierDetector(l), inFlight: map[string]int{}, openConnections: openConnections, suspects: map[string]int{}}
}

// choose returns a ready target of the service that is not in tried: the one with the
// fewest requests in flight per slot, with a preference for targets without a limit of
// requests, for the local data centre and for targets to which a connection is idle. Requests under which targets
// have crashed are kept apart from each other and from the rest, so that a further crash shows
// which one causes it. An ejected target is returned only if there is no other. release must
// follow.
func (p *plainTargets) choose(now time.Duration, view *node.View, service, dataCentre string, tried map[string]bool, suspected bool, random uint64) (directory.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best, fallback directory.Target
	bestRank := 0.0
	offset := int(random % uint64(max(1, len(view.Targets))))
	for i := range view.Targets {
		t := view.Targets[(i+offset)%len(view.Targets)]
		if t.Service != service || !t.Ready || tried[t.ID] {
			continue
		}
		fallback = t
		rank := 1 + float64(p.inFlight[t.ID])/float64(max(1, t.Slots))
		if t.DataCentre == dataCentre {
			rank -= localDataCentreBonus
		}
		if p.openConnections(t.Address) > p.inFlight[t.ID] {
			rank -= idleConnectionBonus
		}
		if t.Limited {
			rank += limitedPenalty
		}
		rank += suspectPenalty * float64(p.suspects[t.ID])
		if suspected {
			rank += suspectPenalty * float64(p.inFlight[t.ID])
		}
		if best.ID != "" && rank >= bestRank || !p.health.Allow(now, t.ID) {
			continue
		}
		if best.ID != "" {
			p.health.CancelProbe(best.ID)
		}
		best, bestRank = t, rank
	}
	if best.ID == "" {
		best = fallback
	}
	if best.ID == "" {
		return best, false
	}
	p.inFlight[best.ID]++
	if suspected {
		p.suspects[best.ID]++
	}
	return best, true
}

// Preferences among targets, in requests in flight per slot.
const (
	localDataCentreBonus = 0.08 // target in the local data centre: half a request at six slots
	// idleConnectionBonus keeps an instance with the targets that it has connections to until half
	// of the slots of one are in use by its own requests.
	idleConnectionBonus = 0.5
	limitedPenalty      = 1.0 // target that limits its rate: as if all its slots were in use
	suspectPenalty      = 2.0 // request that runs beside one under which targets have crashed
)

// withdraw ends a request to a target that choose returned, which was not sent.
func (p *plainTargets) withdraw(t directory.Target, suspected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endRequest(t.ID, suspected)
	p.health.CancelProbe(t.ID)
}

// endRequest is called with mu held.
func (p *plainTargets) endRequest(target string, suspected bool) {
	decrement(p.inFlight, target)
	if suspected {
		decrement(p.suspects, target)
	}
}

func decrement(counts map[string]int, target string) {
	if counts[target]--; counts[target] <= 0 {
		delete(counts, target)
	}
}

// release ends a request to a target that choose returned, and records its success or
// failure. It reports whether the failure ejects the target.
func (p *plainTargets) release(now time.Duration, t directory.Target, suspected bool, readyTargets int, ok bool, jitter float64) (ejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endRequest(t.ID, suspected)
	if ok {
		p.health.RecordSuccess(t.ID)
		return false
	}
	p.health.Prune(now)
	return p.health.RecordFailure(now, t.Service, t.ID, readyTargets, jitter)
}

// countReadyTargets returns the number of ready targets of the service.
func countReadyTargets(view *node.View, service string) int {
	count := 0
	for i := range view.Targets {
		if view.Targets[i].Service == service && view.Targets[i].Ready {
			count++
		}
	}
	return count
}
