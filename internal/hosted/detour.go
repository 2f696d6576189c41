package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	// probeInterval and probeTimeout bound how long a recovered path stays unused. A
	// response of the log takes 4 ms, a slow one 240 ms.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	// failoverThreshold is the number of consecutive failures that take the direct path
	// out of use, unless it has served another call within recentSuccessWindow: then only
	// some partitions of the log are down, and no peer reaches them either. Runners'
	// heartbeats make reads of the log return more often than that.
	failoverThreshold   = 2
	recentSuccessWindow = 300 * time.Millisecond
	// failedPeerTTL is how long a peer that failed to reach the log is not tried again.
	failedPeerTTL = 2 * time.Second
	// maxRelayedCalls bounds the calls that an instance relays for peers at once.
	maxRelayedCalls = 64
)

// headerLogUnreachable is set in the response to a relayed call that the instance did not
// send to the log, because it cannot reach the log either or relays too many calls.
const headerLogUnreachable = "Amaranthfold-Log-Unreachable"

// logTransport sends the calls to the platform's log. While the direct path is down, it
// fails over to a peer that relays them: the platform may refuse some instances, or be
// unreachable for them, while it serves others.
//
// Appends to the control topic carry sequence numbers, so one that was sent on both paths
// takes effect once. Appends to the content topic carry none and may be duplicated, which
// is harmless (see failoverWriter).
type logTransport struct {
	instance      *Instance
	direct        http.RoundTripper
	peerTransport http.RoundTripper
	logAddress    string // of the log, IP and port

	mu              sync.Mutex
	failures        int                      // consecutive, on the direct path
	lastSuccess     time.Duration            // of a call on the direct path
	directDown      bool                     // the direct path is out of use
	peer            string                   // relays the calls while directDown, IP and port; empty: none
	failedPeers     map[string]time.Duration // until when each is not tried
	failoverStarted chan struct{}            // unblocks run
	relaySlots      chan struct{}            // holds one value for each relayed call in progress
}

func newLogTransport(in *Instance, logAddress string) *logTransport {
	return &logTransport{
		instance: in, direct: platform.NewTransport(), peerTransport: platform.NewTransport(), logAddress: logAddress,
		failedPeers: map[string]time.Duration{}, failoverStarted: make(chan struct{}, 1), relaySlots: make(chan struct{}, maxRelayedCalls),
	}
}

// RoundTrip implements http.RoundTripper.
func (t *logTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if peer := t.activePeer(); peer != "" {
		res, err := t.roundTripVia(peer, req)
		if err != nil || res.Header.Get(headerLogUnreachable) != "" {
			t.markPeerFailed(peer)
		}
		return res, err
	}
	res, err := t.direct.RoundTrip(req)
	t.trackResult(req.Context(), res, err)
	return res, err
}

// roundTripVia sends the request to a peer, which relays it to the log.
func (t *logTransport) roundTripVia(peer string, req *http.Request) (*http.Response, error) {
	clone := req.Clone(req.Context())
	clone.URL.Host, clone.Host = peer, peer
	return t.peerTransport.RoundTrip(clone)
}

// trackResult counts the failures of the direct path and starts the failover. A 429 or 503
// of a global rate limit cannot be distinguished from a refusal of this instance alone;
// the failover is harmless then.
func (t *logTransport) trackResult(ctx context.Context, res *http.Response, err error) {
	failed := err != nil && !errors.Is(context.Cause(ctx), context.Canceled) ||
		err == nil && (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case failed:
		t.failures++
		if t.failures < failoverThreshold || t.directDown || t.lastSuccess > 0 && t.instance.clock.Now()-t.lastSuccess < recentSuccessWindow {
			return
		}
		t.directDown = true
		t.instance.log("log detour", events.F("on", "true"))
		select {
		case t.failoverStarted <- struct{}{}:
		default:
		}
	case err == nil:
		t.failures, t.lastSuccess = 0, t.instance.clock.Now()
	}
}

// activePeer returns the peer that relays the calls, empty for the direct path.
func (t *logTransport) activePeer() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.directDown {
		return ""
	}
	return t.peer
}

// markPeerFailed excludes a peer for failedPeerTTL and stops using it.
func (t *logTransport) markPeerFailed(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failedPeers[peer] = t.instance.clock.Now() + failedPeerTTL
	if t.peer == peer {
		t.peer = ""
	}
}

// noPeerReachesLog reports whether the log seems to be down for everyone: the direct path
// is down, no peer relays, and at least one peer failed within failedPeerTTL.
func (t *logTransport) noPeerReachesLog() bool {
	now := t.instance.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	anyFailed := false
	for _, until := range t.failedPeers {
		anyFailed = anyFailed || now < until
	}
	return t.directDown && t.peer == "" && anyFailed
}

// run probes the direct path and looks for a peer during a failover, and ends the failover
// when the direct path works again.
func (t *logTransport) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.failoverStarted:
		}
		directUp := false
		for !directUp && clock.Sleep(ctx, t.instance.jitter(probeInterval)) {
			var group sync.WaitGroup // in parallel: an unresponsive path takes the full probeTimeout
			group.Go(func() { t.findPeer(ctx) })
			directUp = t.probe(ctx, t.direct, t.logAddress)
			group.Wait()
			if !directUp {
				clock.Sleep(ctx, probeInterval)
			}
		}
		if !directUp { // ctx has ended
			return nil
		}
		t.mu.Lock()
		t.directDown, t.failures, t.peer, t.lastSuccess = false, 0, "", t.instance.clock.Now()
		clear(t.failedPeers)
		t.mu.Unlock()
		t.instance.log("log detour", events.F("on", "false"))
	}
}

// probe reports whether a read of the log at the address succeeds.
func (t *logTransport) probe(ctx context.Context, transport http.RoundTripper, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	store := platform.NewStore(address, relayErrorTransport{transport})
	_, err := store.Read(ctx, controlTopic, 0, t.instance.stateLoop.foldedOffset.Load(), 1, 0)
	return err == nil
}

// relayErrorTransport turns responses with headerLogUnreachable into errors.
type relayErrorTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (r relayErrorTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := r.RoundTripper.RoundTrip(req)
	if err == nil && res.Header.Get(headerLogUnreachable) != "" {
		_ = res.Body.Close() // the body is not used
		return nil, fmt.Errorf("peer %s cannot reach the log", req.URL.Host)
	}
	return res, err
}

// findPeer probes one random peer that has not failed recently, and uses it as relay if it
// reaches the log. It does nothing while a peer is in use.
func (t *logTransport) findPeer(ctx context.Context) {
	if t.activePeer() != "" {
		return
	}
	var peers []string
	t.instance.stateLoop.do(ctx, func() {
		for name, known := range t.instance.stateLoop.state.Instances {
			if name != t.instance.cfg.Settings.Instance && known.PeerAddress != "" {
				peers = append(peers, known.PeerAddress)
			}
		}
	})
	slices.Sort(peers)
	now := t.instance.clock.Now()
	t.mu.Lock()
	peers = slices.DeleteFunc(peers, func(p string) bool { return now < t.failedPeers[p] })
	t.mu.Unlock()
	if len(peers) == 0 {
		return
	}
	peer := peers[t.instance.rand64()%uint64(len(peers))]
	if !t.probe(ctx, t.peerTransport, peer) {
		t.markPeerFailed(peer)
		return
	}
	t.mu.Lock()
	t.peer = peer
	t.mu.Unlock()
	t.instance.log("log through peer", events.F("peer", peer))
}

// servePeers relays calls to the log for instances that cannot reach it.
func (in *Instance) servePeers(ctx context.Context) error {
	if in.cfg.Settings.Peers == "" {
		return nil
	}
	return in.serve(ctx, in.cfg.Settings.Peers, http.HandlerFunc(in.logTransport.relay), nil)
}

func (t *logTransport) relay(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	unavailable := t.directDown
	t.mu.Unlock()
	select {
	case t.relaySlots <- struct{}{}:
		defer func() { <-t.relaySlots }()
	default:
		unavailable = true
	}
	if unavailable {
		w.Header().Set(headerLogUnreachable, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	req := r.Clone(r.Context())
	req.URL.Scheme, req.URL.Host, req.Host = "http", t.logAddress, t.logAddress
	req.RequestURI = ""
	res, err := t.direct.RoundTrip(req)
	t.trackResult(r.Context(), res, err)
	if err != nil {
		panic(http.ErrAbortHandler) // leaves the outcome unknown at the peer too
	}
	defer res.Body.Close()
	for name, values := range res.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(res.StatusCode)
	if _, err := io.Copy(w, res.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
