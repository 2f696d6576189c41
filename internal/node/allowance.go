package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/allowance"
	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/httpclient"
)

// AllowancePath is the path of requests for allowances on the listener for other instances.
const AllowancePath = "/allowance"

const (
	// allowanceTimeout bounds a call to another instance for an allowance, which takes some
	// milliseconds. A second call must fit into the latency that callers expect.
	allowanceTimeout = 100 * time.Millisecond
	// allowanceCalls is how many instances are asked for one allowance.
	allowanceCalls       = 2
	maxAllowanceBytes    = 4 << 10 // limit of a call's body
	allowanceIdleConns   = 2       // to each instance
	allowanceIdleTimeout = 30 * time.Second
)

// Allowances obtains allowances for requests to targets that limit their rate, and grants
// those for the targets that this instance owns; see core/allowance. It is safe for
// concurrent use.
type Allowances struct {
	node   *Node
	client *http.Client
	peers  atomic.Pointer[peerSet]

	mu      sync.Mutex
	granter *allowance.Granter
	owners  *allowance.Owners
}

// peerSet holds the known instances, this one included.
type peerSet struct {
	names     []string          // sorted
	others    []string          // names without this instance
	addresses map[string]string // listeners for other instances, by name
}

func newAllowances(n *Node) *Allowances {
	a := &Allowances{
		node: n, granter: allowance.NewGranter(), owners: allowance.NewOwners(),
		client: &http.Client{Transport: httpclient.New(&http.Transport{
			DialContext:         n.Peers.DialWithin(allowanceTimeout),
			MaxIdleConnsPerHost: allowanceIdleConns, IdleConnTimeout: allowanceIdleTimeout, DisableCompression: true,
		})},
	}
	a.peers.Store(&peerSet{names: []string{n.Settings.Instance}})
	return a
}

// updatePeers replaces the known instances, if a batch of the log has changed them. It runs on
// the state goroutine.
func (a *Allowances) updatePeers(now time.Duration) {
	known, changed := a.node.Peers.update(now, a.node.StateLoop.State.Instances)
	if !changed {
		return
	}
	addresses := map[string]string{a.node.Settings.Instance: ""}
	for _, p := range known {
		if p.Address != "" {
			addresses[p.Name] = p.Address
		}
	}
	names := slices.Sorted(maps.Keys(addresses))
	others := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == a.node.Settings.Instance })
	a.peers.Store(&peerSet{names, others, addresses})
}

// OtherInstances returns the names of the other known instances, sorted, and the addresses of their
// listeners for other instances, by name.
func (a *Allowances) OtherInstances() (names []string, addresses map[string]string) {
	peers := a.peers.Load()
	return peers.others, peers.addresses
}

var errNoOwner = errors.New("no instance that grants requests to the target can be reached")

// Take obtains an allowance of the target's owner for count requests. maxDelay is the longest
// wait to accept. It fails with errNoOwner.
func (a *Allowances) Take(ctx context.Context, t directory.Target, count int, maxDelay time.Duration) (allowance.Grant, error) {
	r := a.requestFor(t, count)
	r.MaxDelay = maxDelay
	return a.ask(ctx, r)
}

// Spend counts a request that is sent to the target in any case, if the target is limited. It
// does not wait for the owner.
func (a *Allowances) Spend(ctx context.Context, t directory.Target) {
	if !t.Limited {
		return
	}
	go func() {
		r := a.requestFor(t, 1)
		r.Must = true
		if _, err := a.ask(ctx, r); err != nil {
			a.node.Log("allowance not counted", events.F("target", t.ID), events.F("error", err.Error()))
		}
	}()
}

// Knows reports whether an instance with the name has announced itself.
func (a *Allowances) Knows(name string) bool { return a.peers.Load().addresses[name] != "" }

// requestFor returns the request for allowances of a target. That of a cold target keeps to the
// bound in the settings.
func (a *Allowances) requestFor(t directory.Target, count int) allowance.Request {
	r := allowance.Request{Target: t.ID, PerSecond: t.RequestLimit, Count: count}
	if s := a.node.Settings; t.Cold && s.ColdFactor > 0 {
		r.PerSecond, r.Burst = allowance.BurstFor(t.RequestLimit, t.RequestLimit*s.ColdFactor+s.ColdExtra, assign.PermitValidity)
	}
	return r
}

// ask sends the request to the target's owner, and to the next instance if that one does not
// answer.
func (a *Allowances) ask(ctx context.Context, r allowance.Request) (allowance.Grant, error) {
	n := a.node
	if !n.StateLoop.caughtUp.Load() { // the other instances are not known yet
		n.Metrics.allowancesUnanswered.Inc()
		return allowance.Grant{}, errNoOwner
	}
	peers := a.peers.Load()
	err := errNoOwner
	for range allowanceCalls {
		a.mu.Lock()
		owner, found := a.owners.For(n.Clock.Now(), r.Target, peers.names)
		a.mu.Unlock()
		if !found {
			break
		}
		r.Share = owner.Share
		var grant allowance.Grant
		if owner.Instance == n.Settings.Instance {
			grant = a.grant(r)
		} else {
			var callErr error
			if grant, callErr = a.call(ctx, peers.addresses[owner.Instance], r); callErr != nil {
				if ctx.Err() != nil {
					return allowance.Grant{}, ctx.Err()
				}
				a.ownerFailed(owner.Instance, callErr)
				err = fmt.Errorf("%w: %s: %w", errNoOwner, owner.Instance, callErr)
				continue
			}
			a.ownerAnswered(owner.Instance)
		}
		n.Metrics.allowancesGranted.Add(grant.Count)
		n.Metrics.allowancesDenied.Add(r.Count - grant.Count)
		return grant, nil
	}
	n.Metrics.allowancesUnanswered.Inc()
	return allowance.Grant{}, err
}

func (a *Allowances) ownerFailed(name string, err error) {
	a.mu.Lock()
	a.owners.Failed(a.node.Clock.Now(), name)
	a.mu.Unlock()
	a.node.DependencyLost("allowance."+name, err)
}

func (a *Allowances) ownerAnswered(name string) {
	a.mu.Lock()
	failedBefore := a.owners.Answered(name)
	a.mu.Unlock()
	if failedBefore {
		a.node.dependencyRegained("allowance." + name)
	}
}

// grant grants a request as the target's owner.
func (a *Allowances) grant(r allowance.Request) allowance.Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.granter.Take(a.node.Clock.Now(), r)
}

// call sends the request to the instance with the peer address.
func (a *Allowances) call(ctx context.Context, address string, r allowance.Request) (allowance.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, allowanceTimeout)
	defer cancel()
	data, err := json.Marshal(r)
	if err != nil {
		return allowance.Grant{}, fmt.Errorf("encode a request for an allowance: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+AllowancePath, bytes.NewReader(data))
	if err != nil {
		return allowance.Grant{}, err
	}
	req.GetBody = nil // a repeated request would be granted twice
	res, err := a.client.Do(req)
	if err != nil {
		return allowance.Grant{}, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return allowance.Grant{}, fmt.Errorf("status %d", res.StatusCode)
	}
	var grant allowance.Grant
	body, hold, err := httpclient.ReadBody(res.Body, maxAllowanceBytes)
	defer hold.Close()
	if err != nil {
		return allowance.Grant{}, err
	}
	if err := json.Unmarshal(body, &grant); err != nil {
		return allowance.Grant{}, fmt.Errorf("decode an allowance: %w", err)
	}
	return grant, nil
}

// Serve answers another instance's request for an allowance.
func (a *Allowances) Serve(w http.ResponseWriter, r *http.Request) {
	var request allowance.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAllowanceBytes)).Decode(&request); err != nil || request.Check() != nil {
		http.Error(w, allowance.ErrInvalid.Error(), http.StatusBadRequest)
		return
	}
	data, err := json.Marshal(a.grant(request))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // an instance that has disconnected asks another one
}
