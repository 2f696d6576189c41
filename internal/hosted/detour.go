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
	// failuresToDetour in a row take the direct path out of use, unless it has served
	// another call within pathFresh: then single partitions of the log are down, and no
	// peer reaches them either. Runners' beats make reads end more often than that.
	failuresToDetour = 2
	pathFresh        = 300 * time.Millisecond
	// helpWindow is how long a peer's word that it cannot reach the log holds.
	helpWindow = 2 * time.Second
	// maxHelped bounds the calls that an instance makes for others at once.
	maxHelped = 64
)

// unreachable is the header by which an instance says that it cannot reach the log
// either; it answers a peer's call in place of the log.
const unreachable = "Amaranthfold-Log-Unreachable"

// detour sends the calls to the platform's log. While the direct path does not
// work, they go through another instance: the platform may refuse some machines,
// or be cut off from them, while it serves the others. Appends carry numbers, so
// one that went out on both paths takes effect once.
type detour struct {
	node   *Node
	direct http.RoundTripper
	peers  http.RoundTripper
	store  string // IP and port

	mu       sync.Mutex
	failures int                      // in a row, on the direct path
	served   time.Duration            // when the direct path served a call last
	broken   bool                     // the direct path is out of use
	peer     string                   // that helps, IP and port
	cannot   map[string]time.Duration // peers that did not help, and until when that holds
	wake     chan struct{}
	helped   chan struct{} // a token for each call made for others
}

func newDetour(n *Node, store string) *detour {
	return &detour{
		node: n, direct: platform.NewTransport(), peers: platform.NewTransport(), store: store,
		cannot: map[string]time.Duration{}, wake: make(chan struct{}, 1), helped: make(chan struct{}, maxHelped),
	}
}

// RoundTrip implements http.RoundTripper.
func (d *detour) RoundTrip(req *http.Request) (*http.Response, error) {
	if peer := d.helper(); peer != "" {
		res, err := d.through(peer, req)
		if err != nil || res.Header.Get(unreachable) != "" {
			d.useless(peer)
		}
		return res, err
	}
	res, err := d.direct.RoundTrip(req)
	d.note(req.Context(), res, err)
	return res, err
}

// through sends the request to a peer, which sends it to the log.
func (d *detour) through(peer string, req *http.Request) (*http.Response, error) {
	copied := req.Clone(req.Context())
	copied.URL.Host, copied.Host = peer, peer
	return d.peers.RoundTrip(copied)
}

// note counts the failures of the direct path. Answers of the log's rate limit for
// all machines look like a refusal of this one; a detour does no harm then.
func (d *detour) note(ctx context.Context, res *http.Response, err error) {
	failed := err != nil && !errors.Is(context.Cause(ctx), context.Canceled) ||
		err == nil && (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case failed:
		d.failures++
		if d.failures < failuresToDetour || d.broken || d.served > 0 && d.node.clock.Now()-d.served < pathFresh {
			return
		}
		d.broken = true
		d.node.log("log detour", events.F("on", "true"))
		select {
		case d.wake <- struct{}{}:
		default:
		}
	case err == nil:
		d.failures, d.served = 0, d.node.clock.Now()
	}
}

// helper returns the peer through which calls go, empty for the direct path.
func (d *detour) helper() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.broken {
		return ""
	}
	return d.peer
}

// useless notes that a peer did not help, and chooses another one.
func (d *detour) useless(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cannot[peer] = d.node.clock.Now() + helpWindow
	if d.peer == peer {
		d.peer = ""
	}
}

// downForAll reports whether the log seems to be down for everyone: of the peers
// that were asked of late none reaches it.
func (d *detour) downForAll() bool {
	now := d.node.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	asked := false
	for _, until := range d.cannot {
		asked = asked || now < until
	}
	return d.broken && d.peer == "" && asked
}

// run tries the direct path, and looks for a peer, while calls need a detour.
func (d *detour) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
		}
		reached := false
		for !reached && clock.Pause(ctx, d.node.jitter(probeInterval)) {
			var group sync.WaitGroup // a silent path costs the whole timeout of its probe
			group.Go(func() { d.findPeer(ctx) })
			reached = d.probe(ctx, d.direct, d.store)
			group.Wait()
			if !reached {
				clock.Pause(ctx, probeInterval)
			}
		}
		if !reached { // the instance has been stopped
			return nil
		}
		d.mu.Lock()
		d.broken, d.failures, d.peer, d.served = false, 0, "", d.node.clock.Now()
		clear(d.cannot)
		d.mu.Unlock()
		d.node.log("log detour", events.F("on", "false"))
	}
}

// probe reports whether the log answers at the address.
func (d *detour) probe(ctx context.Context, by http.RoundTripper, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	store := platform.NewStore(address, refusing{by})
	_, err := store.Read(ctx, controlTopic, 0, d.node.board.foldedTo.Load(), 1, 0)
	return err == nil
}

// refusing turns a peer's word that it cannot reach the log into an error.
type refusing struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (r refusing) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := r.RoundTripper.RoundTrip(req)
	if err == nil && res.Header.Get(unreachable) != "" {
		_ = res.Body.Close() // nothing in it is needed
		return nil, fmt.Errorf("peer %s cannot reach the log", req.URL.Host)
	}
	return res, err
}

// findPeer looks for a peer that reaches the log, unless one is known.
func (d *detour) findPeer(ctx context.Context) {
	if d.helper() != "" {
		return
	}
	var peers []string
	d.node.board.do(ctx, func() {
		for name, i := range d.node.board.state.Instances {
			if name != d.node.cfg.Settings.Instance && i.Peers != "" {
				peers = append(peers, i.Peers)
			}
		}
	})
	slices.Sort(peers)
	now := d.node.clock.Now()
	d.mu.Lock()
	peers = slices.DeleteFunc(peers, func(p string) bool { return now < d.cannot[p] })
	d.mu.Unlock()
	if len(peers) == 0 {
		return
	}
	peer := peers[d.node.rand64()%uint64(len(peers))]
	if !d.probe(ctx, d.peers, peer) {
		d.useless(peer)
		return
	}
	d.mu.Lock()
	d.peer = peer
	d.mu.Unlock()
	d.node.log("log through peer", events.F("peer", peer))
}

// servePeers makes calls to the log for instances that cannot reach it.
func (n *Node) servePeers(ctx context.Context) error {
	if n.cfg.Settings.Peers == "" {
		return nil
	}
	return n.serve(ctx, n.cfg.Settings.Peers, http.HandlerFunc(n.detour.help), nil)
}

func (d *detour) help(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	broken := d.broken
	d.mu.Unlock()
	select {
	case d.helped <- struct{}{}:
		defer func() { <-d.helped }()
	default:
		broken = true
	}
	if broken {
		w.Header().Set(unreachable, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	req := r.Clone(r.Context())
	req.URL.Scheme, req.URL.Host, req.Host = "http", d.store, d.store
	req.RequestURI = ""
	res, err := d.direct.RoundTrip(req)
	d.note(r.Context(), res, err)
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
