// Package relay chooses the instances through which an instance that reaches no target sends its
// callers' requests.
//
// It answers the load of a partition: some instances, also most of them, are cut off from all
// targets at once, and each looks for one that is not, without knowing which these are. An
// instance that is cut off refuses at once, so that a few tries are cheap; instances that served
// a request are preferred, so that they are rarely needed. Each instance chooses at random among
// those, which spreads the load.
//
// The package has no clock, no randomness and no I/O: the caller passes them in.
package relay

import "time"

const (
	// MaxTries is the number of instances that one request is sent to. Before any is known to
	// reach targets, eight in a row fail in one of sixty cases if six of ten instances are cut off.
	MaxTries = 8
	// retryAfter is how long an instance that failed is not chosen.
	retryAfter = 2 * time.Second
	// trustedFor is how long an instance that served a request is preferred.
	trustedFor = 5 * time.Second
)

// Peers holds what an instance knows of the others. It is not safe for concurrent use.
type Peers struct {
	failed  map[string]time.Duration // by instance: when it may be chosen again
	trusted map[string]time.Duration // by instance: until when it is preferred
}

// NewPeers returns Peers that know nothing.
func NewPeers() *Peers {
	return &Peers{failed: map[string]time.Duration{}, trusted: map[string]time.Duration{}}
}

// Choose returns the instance for the next try of a request: one of names that is not in tried.
// Uniformly distributed values of random choose uniformly. It reports false if there is none, or
// the request was tried MaxTries times.
func (p *Peers) Choose(now time.Duration, names []string, tried map[string]bool, random uint64) (chosen string, found bool) {
	if len(names) == 0 || len(tried) >= MaxTries {
		return "", false
	}
	offset := int(random % uint64(len(names)))
	for i := range names {
		name := names[(i+offset)%len(names)]
		if tried[name] || now < p.failed[name] {
			continue
		}
		if now < p.trusted[name] {
			return name, true
		}
		if !found {
			chosen, found = name, true
		}
	}
	return chosen, found
}

// Served records that the instance served a request.
func (p *Peers) Served(now time.Duration, name string) {
	expire(now, p.trusted)
	p.trusted[name] = now + trustedFor
}

// Failed records that the instance failed, or refused because it serves no request now.
func (p *Peers) Failed(now time.Duration, name string) {
	expire(now, p.failed)
	p.failed[name] = now + retryAfter
	delete(p.trusted, name)
}

// expire drops the entries that have no effect any more, among them those of instances that are
// gone.
func expire(now time.Duration, entries map[string]time.Duration) {
	for name, until := range entries {
		if now >= until {
			delete(entries, name)
		}
	}
}
