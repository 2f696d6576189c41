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
	// probeInterval and probeTimeout bound how long a path that works again is not
	// used: the usual answer takes 4 ms, a slow one 240.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	// failoverThreshold in a row take the direct path out of use, unless it has served
	// another call within pathFresh: then single partitions of the log are down, and no
	// peer reaches them either. Runners' beats make reads end more often than that.
	failoverThreshold   = 2
	recentSuccessWindow = 300 * time.Millisecond
	// failedPeerTTL is how long a peer's word that it cannot reach the log holds.
	failedPeerTTL = 2 * time.Second
	// maxRelayedCalls bounds the calls that an instance makes for others at once.
	maxRelayedCalls = 64
)

// headerLogUnreachable is the header by which an instance says that it cannot reach the log
// either; it answers a peer's call in place of the log.
const headerLogUnreachable = "Amaranthfold-Log-Unreachable"

// logTransport sends the calls to the platform's log. While the direct path does not
// work, they go through another instance: the platform may refuse some machines,
// or be cut off from them, while it serves the others. Appends carry numbers, so
// one that went out on both paths takes effect once.
type logTransport struct {
	node          *Instance
	direct        http.RoundTripper
	peerTransport http.RoundTripper
	store         string // IP and port

	mu              sync.Mutex
	failures        int                      // in a row, on the direct path
	lastSuccess     time.Duration            // when the direct path served a call last
	directDown      bool                     // the direct path is out of use
	peer            string                   // that helps, IP and port
	failedPeers     map[string]time.Duration // peers that did not help, and until when that holds
	failoverStarted chan struct{}
	relaySlots      chan struct{} // a token for each call made for others
}

func newLogTransport(n *Instance, store string) *logTransport {
	return &logTransport{
		node: n, direct: platform.NewTransport(), peerTransport: platform.NewTransport(), store: store,
		failedPeers: map[string]time.Duration{}, failoverStarted: make(chan struct{}, 1), relaySlots: make(chan struct{}, maxRelayedCalls),
	}
}

// RoundTrip implements http.RoundTripper.
func (d *logTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if peer := d.activePeer(); peer != "" {
		res, err := d.roundTripVia(peer, req)
		if err != nil || res.Header.Get(headerLogUnreachable) != "" {
			d.markPeerFailed(peer)
		}
		return res, err
	}
	res, err := d.direct.RoundTrip(req)
	d.trackResult(req.Context(), res, err)
	return res, err
}

// roundTripVia sends the request to a peer, which sends it to the log.
func (d *logTransport) roundTripVia(peer string, req *http.Request) (*http.Response, error) {
	copied := req.Clone(req.Context())
	copied.URL.Host, copied.Host = peer, peer
	return d.peerTransport.RoundTrip(copied)
}

// trackResult counts the failures of the direct path. Answers of the log's rate limit for
// all machines look like a refusal of this one; a detour does no harm then.
func (d *logTransport) trackResult(ctx context.Context, res *http.Response, err error) {
	failed := err != nil && !errors.Is(context.Cause(ctx), context.Canceled) ||
		err == nil && (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case failed:
		d.failures++
		if d.failures < failoverThreshold || d.directDown || d.lastSuccess > 0 && d.node.clock.Now()-d.lastSuccess < recentSuccessWindow {
			return
		}
		d.directDown = true
		d.node.log("log detour", events.F("on", "true"))
		select {
		case d.failoverStarted <- struct{}{}:
		default:
		}
	case err == nil:
		d.failures, d.lastSuccess = 0, d.node.clock.Now()
	}
}

// activePeer returns the peer through which calls go, empty for the direct path.
func (d *logTransport) activePeer() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.directDown {
		return ""
	}
	return d.peer
}

// markPeerFailed notes that a peer did not help, and chooses another one.
func (d *logTransport) markPeerFailed(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failedPeers[peer] = d.node.clock.Now() + failedPeerTTL
	if d.peer == peer {
		d.peer = ""
	}
}

// noPeerReachesLog reports whether the log seems to be down for everyone: of the peers
// that were asked of late none reaches it.
func (d *logTransport) noPeerReachesLog() bool {
	now := d.node.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	asked := false
	for _, until := range d.failedPeers {
		asked = asked || now < until
	}
	return d.directDown && d.peer == "" && asked
}

// run tries the direct path, and looks for a peer, while calls need a detour.
func (d *logTransport) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.failoverStarted:
		}
		reached := false
		for !reached && clock.Sleep(ctx, d.node.jitter(probeInterval)) {
			var group sync.WaitGroup // a silent path costs the whole timeout of its probe
			group.Go(func() { d.findPeer(ctx) })
			reached = d.probe(ctx, d.direct, d.store)
			group.Wait()
			if !reached {
				clock.Sleep(ctx, probeInterval)
			}
		}
		if !reached { // the instance has been stopped
			return nil
		}
		d.mu.Lock()
		d.directDown, d.failures, d.peer, d.lastSuccess = false, 0, "", d.node.clock.Now()
		clear(d.failedPeers)
		d.mu.Unlock()
		d.node.log("log detour", events.F("on", "false"))
	}
}

// probe reports whether the log answers at the address.
func (d *logTransport) probe(ctx context.Context, by http.RoundTripper, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	store := platform.NewStore(address, relayErrorTransport{by})
	_, err := store.Read(ctx, controlTopic, 0, d.node.stateLoop.foldedOffset.Load(), 1, 0)
	return err == nil
}

// relayErrorTransport turns a peer's word that it cannot reach the log into an error.
type relayErrorTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (r relayErrorTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := r.RoundTripper.RoundTrip(req)
	if err == nil && res.Header.Get(headerLogUnreachable) != "" {
		_ = res.Body.Close() // nothing in it is needed
		return nil, fmt.Errorf("peer %s cannot reach the log", req.URL.Host)
	}
	return res, err
}

// findPeer looks for a peer that reaches the log, unless one is known.
func (d *logTransport) findPeer(ctx context.Context) {
	if d.activePeer() != "" {
		return
	}
	var peers []string
	d.node.stateLoop.do(ctx, func() {
		for name, i := range d.node.stateLoop.state.Instances {
			if name != d.node.cfg.Settings.Instance && i.PeerAddress != "" {
				peers = append(peers, i.PeerAddress)
			}
		}
	})
	slices.Sort(peers)
	now := d.node.clock.Now()
	d.mu.Lock()
	peers = slices.DeleteFunc(peers, func(p string) bool { return now < d.failedPeers[p] })
	d.mu.Unlock()
	if len(peers) == 0 {
		return
	}
	peer := peers[d.node.rand64()%uint64(len(peers))]
	if !d.probe(ctx, d.peerTransport, peer) {
		d.markPeerFailed(peer)
		return
	}
	d.mu.Lock()
	d.peer = peer
	d.mu.Unlock()
	d.node.log("log through peer", events.F("peer", peer))
}

// servePeers makes calls to the log for instances that cannot reach it.
func (n *Instance) servePeers(ctx context.Context) error {
	if n.cfg.Settings.Peers == "" {
		return nil
	}
	return n.serve(ctx, n.cfg.Settings.Peers, http.HandlerFunc(n.logTransport.relay), nil)
}

func (d *logTransport) relay(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	broken := d.directDown
	d.mu.Unlock()
	select {
	case d.relaySlots <- struct{}{}:
		defer func() { <-d.relaySlots }()
	default:
		broken = true
	}
	if broken {
		w.Header().Set(headerLogUnreachable, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	req := r.Clone(r.Context())
	req.URL.Scheme, req.URL.Host, req.Host = "http", d.store, d.store
	req.RequestURI = ""
	res, err := d.direct.RoundTrip(req)
	d.trackResult(r.Context(), res, err)
	if err != nil {
		panic(http.ErrAbortHandler) // the caller knows as little of the outcome as this instance
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
