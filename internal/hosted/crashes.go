package hosted

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/poison"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	// maxCrashDelay is the longest run of a request that counts as crashing its target: such a
	// request does so as it begins to run.
	maxCrashDelay = 2 * time.Second
	// crashCheckTimeout bounds a connection attempt of a check. A target in the region accepts
	// or refuses a connection within milliseconds.
	crashCheckTimeout = 300 * time.Millisecond
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
	instance *Instance

	mu     sync.Mutex
	checks map[poison.Target]*crashCheck // in progress
}

// crashCheck is a check of one target.
type crashCheck struct {
	requests []lostRequest
	settled  chan struct{} // closed after the first round
}

// lostRequest is a request whose connection to a target broke off.
type lostRequest struct {
	id     string
	digest poison.Digest
}

func newCrashDetector(in *Instance) *crashDetector {
	return &crashDetector{instance: in, checks: map[poison.Target]*crashCheck{}}
}

// requestLost checks whether the target has crashed under the request, sent at sentAt, whose
// connection broke off. It returns after the first round of the check.
func (d *crashDetector) requestLost(ctx context.Context, t directory.Target, r lostRequest, sentAt time.Duration) {
	if d.instance.clock.Now()-sentAt > maxCrashDelay {
		return
	}
	key := poison.Target{ID: t.ID, StartedAt: t.StartedAt}
	d.mu.Lock()
	check := d.checks[key]
	if check == nil {
		if len(d.checks) >= maxCrashChecks {
			d.mu.Unlock()
			d.instance.log("crash check left out", events.F("request", r.id), events.F("target", t.ID), events.F("reason", "too many at once"))
			return
		}
		check = &crashCheck{settled: make(chan struct{})}
		d.checks[key] = check
		go d.run(context.WithoutCancel(ctx), t, key, check) // goes on if the caller disconnects
	}
	check.requests = append(check.requests, r)
	d.mu.Unlock()
	select {
	case <-check.settled:
	case <-ctx.Done():
	}
}

// run checks the target until it is known whether it has crashed.
func (d *crashDetector) run(ctx context.Context, t directory.Target, key poison.Target, check *crashCheck) {
	crashed, known := d.probe(ctx, t)
	for round := 1; !known && round < crashCheckRounds; round++ {
		if round == 1 {
			close(check.settled)
		}
		clock.Sleep(ctx, crashCheckInterval)
		crashed, known = d.probe(ctx, t)
	}
	d.mu.Lock()
	delete(d.checks, key)
	requests := check.requests
	d.mu.Unlock()
	if crashed && known {
		d.instance.poisonGuard.targetCrashed(t, requests)
	}
	select {
	case <-check.settled:
	default:
		close(check.settled)
	}
}

// probe reports whether the target has crashed, and whether that is known: not if no other
// target accepts a connection.
func (d *crashDetector) probe(ctx context.Context, t directory.Target) (crashed, known bool) {
	if err := d.connect(ctx, t.Address); !errors.Is(err, syscall.ECONNREFUSED) {
		return false, true // it accepts connections, or its machine is down or cut off
	}
	return true, d.anyAccepts(ctx, d.witnesses(t))
}

// witnesses returns the addresses of some other targets, chosen at random.
func (d *crashDetector) witnesses(t directory.Target) []string {
	targets := d.instance.stateLoop.view.Load().Targets
	if len(targets) == 0 {
		return nil
	}
	var addresses []string
	offset := int(d.instance.rand64() % uint64(len(targets)))
	for i := range targets {
		other := targets[(i+offset)%len(targets)]
		if other.Ready && other.Address != t.Address && len(addresses) < crashWitnesses {
			addresses = append(addresses, other.Address)
		}
	}
	return addresses
}

// anyAccepts reports whether one of the addresses accepts a connection.
func (d *crashDetector) anyAccepts(ctx context.Context, addresses []string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { results <- d.connect(ctx, address) }()
	}
	for range addresses {
		if <-results == nil {
			return true
		}
	}
	return false
}

// connect opens and closes a connection to the address.
func (d *crashDetector) connect(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	_ = connection.Close() // nothing was sent
	return nil
}
