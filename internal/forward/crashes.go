package forward

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/poison"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/node"
)

const (
	// maxCrashDelay is the longest run of a request that counts as crashing its target: such a
	// request does so as it begins to run.
	maxCrashDelay = 2 * time.Second
	// crashSettleTime is how long a request waits for the check before it is sent again: a target
	// that has crashed refuses a connection within milliseconds.
	crashSettleTime = 50 * time.Millisecond
	// crashCheckInterval and crashCheckRounds bound how long a check goes on while no other
	// target accepts a connection either: targets that crash are back after some seconds.
	crashCheckInterval = 500 * time.Millisecond
	crashCheckRounds   = 8
	// crashWitnesses is the number of other targets that a check connects to.
	crashWitnesses = 3
	// maxCrashChecks bounds the concurrent checks. Requests beyond it count as not involved.
	maxCrashChecks = 64
)

// crashDetector finds out whether a target has crashed when the connection of a request to it
// breaks off: the target then refuses connections while other targets accept them. An instance
// that no target accepts has lost its own links and learns nothing. It is safe for concurrent
// use.
type crashDetector struct {
	forwarder *Forwarder

	mu     sync.Mutex
	checks map[poison.Target]*crashCheck // in progress
}

// crashCheck is a check of one target.
type crashCheck struct {
	requests []lostRequest
	settled  chan struct{} // closed when it is known whether the target has crashed
}

// lostRequest is a request whose connection to a target broke off.
type lostRequest struct {
	id     string
	digest poison.Digest
}

func newCrashDetector(f *Forwarder) *crashDetector {
	return &crashDetector{forwarder: f, checks: map[poison.Target]*crashCheck{}}
}

// requestLost checks whether the target has crashed under the request, sent at sentAt, whose
// connection broke off. It returns when that is known, or after crashSettleTime.
func (d *crashDetector) requestLost(ctx context.Context, t directory.Target, r lostRequest, sentAt time.Duration) {
	if d.forwarder.Clock.Now()-sentAt > maxCrashDelay {
		return
	}
	key := poison.Target{ID: t.ID, StartedAt: t.StartedAt}
	d.mu.Lock()
	check := d.checks[key]
	if check == nil {
		if len(d.checks) >= maxCrashChecks {
			d.mu.Unlock()
			d.forwarder.Log("crash check left out", events.F("request", r.id), events.F("target", t.ID), events.F("reason", "too many at once"))
			return
		}
		check = &crashCheck{settled: make(chan struct{})}
		d.checks[key] = check
		go d.run(context.WithoutCancel(ctx), t, key, check) // goes on if the caller disconnects
	}
	check.requests = append(check.requests, r)
	d.mu.Unlock()
	settle := time.NewTimer(crashSettleTime)
	defer settle.Stop()
	select {
	case <-check.settled:
	case <-settle.C:
	case <-ctx.Done():
	}
}

// run checks the target until it is known whether it has crashed.
func (d *crashDetector) run(ctx context.Context, t directory.Target, key poison.Target, check *crashCheck) {
	crashed, known := d.probe(ctx, t)
	for round := 1; !known && round < crashCheckRounds; round++ {
		clock.Sleep(ctx, crashCheckInterval)
		crashed, known = d.probe(ctx, t)
	}
	d.mu.Lock()
	delete(d.checks, key)
	requests := check.requests
	d.mu.Unlock()
	if crashed && known {
		d.forwarder.poisonGuard.targetCrashed(t, requests)
	}
	close(check.settled)
}

// probe reports whether the target has crashed, and whether that is known: not if no other
// target accepts a connection.
func (d *crashDetector) probe(ctx context.Context, t directory.Target) (crashed, known bool) {
	links := d.forwarder.Links
	ctx, cancel := context.WithTimeout(ctx, node.LinkCheckTimeout)
	defer cancel()
	if err := links.Connect(ctx, t.Address); !errors.Is(err, syscall.ECONNREFUSED) {
		return false, true // it accepts connections, or its machine is down or cut off
	}
	return true, links.AnyAccepts(ctx, links.Witnesses(t.Address, crashWitnesses), node.LinkCheckTimeout)
}
