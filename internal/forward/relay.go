package forward

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
	"github.com/amaranthfold/amaranthfold/internal/httpclient"
	"github.com/amaranthfold/amaranthfold/internal/node"
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
	// HeaderRelayed marks a request that another instance relays. It holds the version of that
	// instance's configuration.
	HeaderRelayed = "Amaranthfold-Relayed-Config"
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
	forwarder *Forwarder
	client    *http.Client
	slots     chan struct{} // holds one value for each request of another instance in progress

	mu    sync.Mutex
	peers *relay.Peers
}

func newRelays(f *Forwarder) *relays {
	return &relays{
		forwarder: f, peers: relay.NewPeers(), slots: make(chan struct{}, maxRelayedPending),
		client: &http.Client{
			CheckRedirect: node.NoRedirect,
			Transport: httpclient.NewWithin(f.Responses, &http.Transport{
				DialContext:         f.Peers.DialWithin(relayDialTimeout),
				MaxIdleConnsPerHost: relayIdleConns, IdleConnTimeout: relayIdleTimeout, DisableCompression: true,
			}),
		},
	}
}

// choose returns the instance for the next try of a request, and its address. tried holds the
// instances that it was sent to.
func (r *relays) choose(tried map[string]bool) (name, address string, found bool) {
	others, addresses := r.forwarder.Allowances.OtherInstances()
	r.mu.Lock()
	defer r.mu.Unlock()
	name, found = r.peers.Choose(r.forwarder.Clock.Now(), others, tried, r.forwarder.Rand64())
	return name, addresses[name], found
}

// noteResult notes whether the instance serves requests.
func (r *relays) noteResult(name string, served bool) {
	now := r.forwarder.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if served {
		r.peers.Served(now, name)
		return
	}
	r.peers.Failed(now, name)
}

// send sends the request through the instance with the name and address.
func (r *relays) send(ctx context.Context, p *PlainRequest, name, address string, deadline time.Duration) *AttemptResult {
	f := r.forwarder
	result := &AttemptResult{Target: directory.Target{ID: "through " + name}, Outcome: retry.NotRun, relayed: true}
	connected := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	header := platform.ForwardedHeader(p.Header, "", p.account, deadline-f.Clock.Now())
	header.Set(HeaderRelayed, fmt.Sprint(p.configVersion))
	req := &http.Request{
		Method: p.Method, URL: p.URL(address), Host: p.Host, Header: header,
		Body: NonReplayableBody(p.Method, p.Header, p.Body), ContentLength: int64(len(p.Body)),
	}
	result.sentAt = f.Clock.Now()
	res, err := r.client.Do(req.WithContext(traced))
	switch {
	case err != nil:
		result.Err = err
	case res.Header.Get(headerOwnResponse) != "":
		_ = res.Body.Close() // the reason is in the other instance's log
		result.Err = fmt.Errorf("instance %s answered with status %d", name, res.StatusCode)
		connected = res.StatusCode != http.StatusServiceUnavailable // which means that it was not run
		result.refused = !connected && res.Header.Get(headerOwnResponse) == ownFinal
		result.retryAfter = platform.RetryAfter(res.Header)
	default:
		f.readResponse(p, result, res)
	}
	switch {
	case result.Err == nil:
		result.Outcome = retry.Ran
		r.noteResult(name, true)
	case connected:
		result.Outcome = retry.Unknown
	}
	if result.Err != nil {
		if ctx.Err() == nil && !result.refused {
			r.noteResult(name, false)
		}
		f.Log("request attempt failed", events.F("request", p.ID), events.F("target", result.Target.ID),
			events.F("outcome", result.Outcome.String()), events.F("status", fmt.Sprint(result.Status)), events.F("error", result.Err.Error()))
	}
	return result
}

// serve serves a request that another instance relays. That instance has checked the caller's
// key: the account that it states is trusted because the connection is checked. The responses
// that this instance generates are marked, so that they cannot be taken for a target's.
func (r *relays) serve(w http.ResponseWriter, req *http.Request) {
	f := r.forwarder
	c := f.NewRequest(w, req)
	c.relayed = true
	c.Account = platform.ForwardedAccount(req)
	c.ownResponse = ownTryAnother
	version := req.Header.Get(HeaderRelayed)
	req.Header.Del(HeaderRelayed)
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		f.Refuse(c, "too many requests of other instances")
		return
	}
	if f.IsStopping() || !f.Links.Confirm(req.Context()) {
		f.Refuse(c, "this instance cannot relay requests")
		return
	}
	if !f.awaitConfigurationVersion(c, version) {
		f.Refuse(c, "the other instance has a newer configuration: "+version)
		return
	}
	c.ownResponse = ownFinal
	route, found := c.View.Catalog.Match(req.Host, req.URL.Path)
	if !found || route.Kind == catalog.Batch {
		f.Refuse(c, "no route of plain requests matches the host and path")
		return
	}
	c.Route = route
	if f.ReadBody(c) {
		f.Metrics.Relayed.Inc()
		f.ForwardRequest(c)
	}
}

// awaitConfigurationVersion waits until this instance has the version of the configuration or a
// newer one, for relayConfigWait at most.
func (f *Forwarder) awaitConfigurationVersion(c *CallerRequest, version string) bool {
	var wanted int64
	if _, err := fmt.Sscan(version, &wanted); err != nil {
		return false
	}
	ctx, cancel := f.withDeadline(c, c.Started+relayConfigWait)
	defer cancel()
	for {
		changed := f.StateLoop.NextChange()
		c.View = f.CurrentView()
		if c.View.Catalog != nil && c.View.Catalog.Version >= wanted {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
