package hosted

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/relay"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	relayDialTimeout  = 100 * time.Millisecond // another instance accepts a connection within milliseconds
	relayIdleConns    = 8                      // to each instance
	relayIdleTimeout  = 30 * time.Second       // shorter than the idle timeout of the listener
	relayConfigWait   = 300 * time.Millisecond // for the configuration that the other instance has
	maxRelayedPending = 256                    // requests of other instances served at once
)

// Headers between instances. Callers cannot set them: the listener for callers does not read
// them, and the one for other instances accepts instances only.
const (
	// headerRelayed marks a request that another instance relays. It holds the version of that
	// instance's configuration.
	headerRelayed = "Amaranthfold-Relayed-Config"
	// headerOwnResponse marks a response that the relaying instance has generated itself. It
	// holds ownTryAnother if that instance cannot serve any request now, else ownFinal: every other one
	// would answer the same.
	headerOwnResponse = "Amaranthfold-Own-Response"
	ownTryAnother     = "try another instance"
	ownFinal          = "final"
)

// relays sends callers' requests through other instances while this one reaches no target. The
// other instance chooses the target; a relayed request is one attempt. It is safe for concurrent
// use.
type relays struct {
	instance *Instance
	client   *http.Client
	slots    chan struct{} // holds one value for each request of another instance in progress

	mu    sync.Mutex
	peers *relay.Peers
}

func newRelays(in *Instance) *relays {
	return &relays{
		instance: in, peers: relay.NewPeers(), slots: make(chan struct{}, maxRelayedPending),
		client: &http.Client{
			CheckRedirect: noRedirect,
			Transport: &http.Transport{
				DialContext:         in.instanceLinks.DialWithin(relayDialTimeout),
				MaxIdleConnsPerHost: relayIdleConns, IdleConnTimeout: relayIdleTimeout, DisableCompression: true,
			},
		},
	}
}

// choose returns the instance for the next try of a request, and its address. tried holds the
// instances that it was sent to.
func (r *relays) choose(tried map[string]bool) (name, address string, found bool) {
	known := r.instance.allowances.peers.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	name, found = r.peers.Choose(r.instance.clock.Now(), known.others, tried, r.instance.rand64())
	return name, known.addresses[name], found
}

// noteResult notes whether the instance serves requests.
func (r *relays) noteResult(name string, served bool) {
	now := r.instance.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if served {
		r.peers.Served(now, name)
		return
	}
	r.peers.Failed(now, name)
}

// send sends the request through the instance with the name and address.
func (r *relays) send(ctx context.Context, p *plainRequest, name, address string, deadline time.Duration) *attemptResult {
	in := r.instance
	result := &attemptResult{target: directory.Target{ID: "through " + name}, outcome: retry.NotRun, relayed: true}
	connected := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	header := platform.ForwardedHeader(p.header, "", p.account, deadline-in.clock.Now())
	header.Set(headerRelayed, fmt.Sprint(p.configVersion))
	req := &http.Request{
		Method: p.method, URL: p.url(address), Host: p.host, Header: header,
		Body: nonReplayableBody(p.method, p.header, p.body), ContentLength: int64(len(p.body)),
	}
	result.sentAt = in.clock.Now()
	res, err := r.client.Do(req.WithContext(traced))
	switch {
	case err != nil:
		result.err = err
	case res.Header.Get(headerOwnResponse) != "":
		_ = res.Body.Close() // the reason is in the other instance's log
		result.err = fmt.Errorf("instance %s answered with status %d", name, res.StatusCode)
		connected = res.StatusCode != http.StatusServiceUnavailable // which means that it was not run
		result.refused = !connected && res.Header.Get(headerOwnResponse) == ownFinal
		result.retryAfter = platform.RetryAfter(res.Header)
	default:
		in.readResponse(p, result, res)
	}
	switch {
	case result.err == nil:
		result.outcome = retry.Ran
		r.noteResult(name, true)
	case connected:
		result.outcome = retry.Unknown
	}
	if result.err != nil {
		if ctx.Err() == nil && !result.refused {
			r.noteResult(name, false)
		}
		in.log("request attempt failed", events.F("request", p.id), events.F("target", result.target.ID),
			events.F("outcome", result.outcome.String()), events.F("status", fmt.Sprint(result.status)), events.F("error", result.err.Error()))
	}
	return result
}

// serve serves a request that another instance relays. That instance has checked the caller's
// key: the account that it states is trusted because the connection is checked. The responses that this instance generates are marked, so that they cannot be taken for
// a target's.
func (r *relays) serve(w http.ResponseWriter, req *http.Request) {
	in := r.instance
	c := &callerRequest{RequestHeader: platform.DecodeRequestHeader(req), w: w, r: req, view: in.stateLoop.view.Load(), started: in.clock.Now(), relayed: true}
	c.account = platform.ForwardedAccount(req)
	c.ownResponse = ownTryAnother
	version := req.Header.Get(headerRelayed)
	req.Header.Del(headerRelayed)
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		in.refuse(c, "too many requests of other instances")
		return
	}
	if in.isStopping() || !in.links.confirm(req.Context()) {
		in.refuse(c, "this instance cannot relay requests")
		return
	}
	if !in.awaitConfigurationVersion(c, version) {
		in.refuse(c, "the other instance has a newer configuration: "+version)
		return
	}
	c.ownResponse = ownFinal
	route, found := c.view.Catalog.Match(req.Host, req.URL.Path)
	if !found || route.Kind == catalog.Batch {
		in.refuse(c, "no route of plain requests matches the host and path")
		return
	}
	c.route = route
	if in.readBody(c) {
		in.metrics.relayed.Inc()
		in.forwardRequest(c)
	}
}

// awaitConfigurationVersion waits until this instance has the version of the configuration or a
// newer one, for relayConfigWait at most.
func (in *Instance) awaitConfigurationVersion(c *callerRequest, version string) bool {
	var wanted int64
	if _, err := fmt.Sscan(version, &wanted); err != nil {
		return false
	}
	ctx, cancel := in.withDeadline(c, c.started+relayConfigWait)
	defer cancel()
	for {
		changed := in.stateLoop.nextChange()
		c.view = in.stateLoop.view.Load()
		if c.view.Catalog != nil && c.view.Catalog.Version >= wanted {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
