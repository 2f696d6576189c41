package node

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
	// probeInterval and probeTimeout bound how long the direct path stays unused after it
	// has recovered. The log responds in 4 ms, if it is slow in 240 ms.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	// failoverThreshold is the number of consecutive failures after which the calls fail
	// over to a peer. They do not if a call has succeeded on the direct path within
	// recentSuccessWindow: then only some partitions of the log are down, for the peers too.
	// While the direct path works, calls succeed more often than that and the pause between
	// reads, as the records of runners' heartbeats end the long polls.
	failoverThreshold   = 2
	recentSuccessWindow = 300 * time.Millisecond
	// failedPeerTTL is how long a peer is not tried again after a call or probe through it
	// failed.
	failedPeerTTL = 2 * time.Second
	// maxRelayedCalls bounds the calls that an instance relays for its peers concurrently.
	maxRelayedCalls = 64
)

// headerLogUnreachable is set in the response to a relayed call that the relaying
// instance has not sent to the log, because it cannot reach the log either or has no free
// relay slot.
const headerLogUnreachable = "Amaranthfold-Log-Unreachable"

// LogTransport sends the calls to the platform's log. While the direct path is down, it
// sends them to a peer that relays them: the log may refuse or be unreachable for some
// instances while it serves others.
//
// Appends to the control topic carry sequence numbers, so one that was sent both directly
// and through a peer takes effect once. Appends to the content topic carry none and may
// be duplicated, which is harmless (see failoverWriter).
type LogTransport struct {
	node          *Node
	direct        http.RoundTripper
	peerTransport http.RoundTripper
	logAddress    string // IP and port

	mu              sync.Mutex
	failures        int                      // consecutive failures of the direct path
	lastSuccess     time.Duration            // of a call on the direct path
	directDown      bool                     // the direct path has failed and is not used
	peer            string                   // address of the relay in use while directDown, IP and port; empty: none
	failedPeers     map[string]time.Duration // by address: when it may be tried again
	directReads     map[*directRead]struct{} // without a response so far
	failoverStarted chan struct{}            // unblocks run
	relaySlots      chan struct{}            // holds one value for each relayed call in progress
}

func newLogTransport(n *Node, logAddress string) *LogTransport {
	return &LogTransport{
		node: n, direct: platform.NewTransport(), peerTransport: platform.NewTransportThrough(n.Peers.Dial), logAddress: logAddress,
		failedPeers: map[string]time.Duration{}, directReads: map[*directRead]struct{}{},
		failoverStarted: make(chan struct{}, 1), relaySlots: make(chan struct{}, maxRelayedCalls),
	}
}

// RoundTrip implements http.RoundTripper.
func (t *LogTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	direct := req
	if req.Method == http.MethodGet {
		read, done := t.startRead(req.Context())
		defer done()
		direct = req.WithContext(read)
	}
	if peer := t.activePeer(); peer != "" {
		return t.roundTripVia(peer, req)
	}
	res, err := t.direct.RoundTrip(direct)
	if err != nil && errors.Is(context.Cause(direct.Context()), errPeerFound) {
		return t.RoundTrip(req)
	}
	t.trackResult(req.Context(), res, err)
	return res, err
}

// errPeerFound ends a read on the direct path that is repeated through a peer.
var errPeerFound = errors.New("a peer relays the calls to the log")

// directRead is a read on the direct path that has no response so far.
type directRead struct{ repeat context.CancelCauseFunc }

// startRead returns the context of a read, which ends with errPeerFound when a peer is found before
// done is called: a direct path that has fallen silent would hold the read until its timeout.
func (t *LogTransport) startRead(ctx context.Context) (read context.Context, done func()) {
	read, cancel := context.WithCancelCause(ctx)
	r := &directRead{cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.directReads[r] = struct{}{}
	return read, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.directReads, r)
	}
}

// usePeer sends the calls to a peer, the reads on the direct path that have no response included.
func (t *LogTransport) usePeer(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peer = peer
	for r := range t.directReads {
		r.repeat(errPeerFound)
	}
}

// roundTripVia sends the request to a peer, which relays it to the log.
func (t *LogTransport) roundTripVia(peer string, req *http.Request) (*http.Response, error) {
	clone := req.Clone(req.Context())
	clone.URL.Host, clone.Host = peer, peer
	res, err := t.peerTransport.RoundTrip(clone)
	if err != nil || res.Header.Get(headerLogUnreachable) != "" {
		t.markPeerFailed(peer)
	}
	return res, err
}

// trackResult counts the failures of the direct path and starts the failover. Status 429
// or 503 may come from a rate limit that applies to all instances or from a refusal of
// this one alone: they cannot be distinguished. In the first case the failover is
// harmless.
func (t *LogTransport) trackResult(ctx context.Context, res *http.Response, err error) {
	failed := err != nil && !errors.Is(context.Cause(ctx), context.Canceled) ||
		err == nil && (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case failed:
		t.failures++
		if t.failures < failoverThreshold || t.directDown || t.lastSuccess > 0 && t.node.Clock.Now()-t.lastSuccess < recentSuccessWindow+t.node.followPause() {
			return
		}
		t.directDown = true
		t.node.Log("log detour", events.F("on", "true"))
		select {
		case t.failoverStarted <- struct{}{}:
		default:
		}
	case err == nil:
		t.failures, t.lastSuccess = 0, t.node.Clock.Now()
	}
}

// activePeer returns the peer to send calls to, empty for the direct path.
func (t *LogTransport) activePeer() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.directDown {
		return ""
	}
	return t.peer
}

// markPeerFailed excludes a peer for failedPeerTTL and stops using it.
func (t *LogTransport) markPeerFailed(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failedPeers[peer] = t.node.Clock.Now() + failedPeerTTL
	if t.peer == peer {
		t.peer = ""
	}
}

// NoPeerReachesLog reports whether the log seems to be down for all instances: the direct
// path is down, no peer is in use, and at least one failed within failedPeerTTL.
func (t *LogTransport) NoPeerReachesLog() bool {
	now := t.node.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	anyFailed := false
	for _, until := range t.failedPeers {
		anyFailed = anyFailed || now < until
	}
	return t.directDown && t.peer == "" && anyFailed
}

// run waits for a failover. During it, run probes the direct path and looks for a peer,
// until the direct path works again.
func (t *LogTransport) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.failoverStarted:
		}
		directUp := false
		for !directUp && clock.Sleep(ctx, t.node.Jitter(probeInterval)) {
			var group sync.WaitGroup // concurrently, as an unresponsive path takes the full probeTimeout
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
		t.directDown, t.failures, t.peer, t.lastSuccess = false, 0, "", t.node.Clock.Now()
		clear(t.failedPeers)
		t.mu.Unlock()
		t.node.Log("log detour", events.F("on", "false"))
	}
}

// probe reports whether a read of the log at the address succeeds.
func (t *LogTransport) probe(ctx context.Context, transport http.RoundTripper, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	store := platform.NewStore(address, relayErrorTransport{transport})
	_, err := store.Read(ctx, controlTopic, 0, t.node.StateLoop.sharedNextOffset.Load(), 1, 0)
	return err == nil
}

// relayErrorTransport returns an error for a response with headerLogUnreachable.
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

// findPeer probes one random peer that has not failed within failedPeerTTL, and makes it
// the peer in use if it reaches the log. It does nothing while a peer is in use.
func (t *LogTransport) findPeer(ctx context.Context) {
	if t.activePeer() != "" {
		return
	}
	var peers []string
	names, addresses := t.node.Allowances.OtherInstances()
	for _, name := range names {
		peers = append(peers, addresses[name])
	}
	now := t.node.Clock.Now()
	t.mu.Lock()
	peers = slices.DeleteFunc(peers, func(p string) bool { return now < t.failedPeers[p] })
	t.mu.Unlock()
	if len(peers) == 0 {
		return
	}
	peer := peers[t.node.Rand64()%uint64(len(peers))]
	if !t.probe(ctx, t.peerTransport, peer) {
		t.markPeerFailed(peer)
		return
	}
	t.usePeer(peer)
	t.node.Log("log through peer", events.F("peer", peer))
}

// Relay sends a peer's call to the log on the direct path, and the log's response to the
// peer.
func (t *LogTransport) Relay(w http.ResponseWriter, r *http.Request) {
	if t.node.Peers.refuseLogCall(w, r) {
		return
	}
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
	req.RequestURI, req.Header = "", http.Header{} // a store sends none
	res, err := t.direct.RoundTrip(req)
	t.trackResult(r.Context(), res, err)
	if err != nil {
		panic(http.ErrAbortHandler) // the outcome is unknown: cut the peer's connection too
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
