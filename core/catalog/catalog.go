// Package catalog holds a deployment's routes, services and client accounts as one version
// of its configuration.
//
// The caller fills a Catalog, calls Index once and does not change the catalog afterwards; it
// is then safe for concurrent use. The catalog finds the route of a request by host and path
// prefix, the service by weight, and the account by the digest of its API key. It holds no
// keys in plain text. It does not validate the configuration.
package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a route's requests: how they run and whether they may be retried.
type Kind uint8

// The kinds of routes.
const (
	NonIdempotent Kind = iota // runs at most once for each attempt of the client
	Idempotent                // may be retried
	Stream                    // server-sent events; may be retried only if Resumable is set
	Batch                     // jobs of many tasks; their results are listed
)

// Share is a service's share of a route's traffic: its weight over the sum of all weights.
type Share struct {
	Service string
	Weight  int
}

// Route configures the requests of a host and path prefix and the services that they go to.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Timeout        time.Duration // longest wait for a response; zero: not set
	TargetLatency  time.Duration // responses within it are worth most
	Priority       int           // 0 is the highest
	MaxAttempts    int           // targets that one attempt of the client may be sent to
	Public         bool          // requests need no API key
	Resumable      bool          // a stream may be retried
	SingleVersion  bool          // all of a result must come from one weight version
	Retention      time.Duration // from the submission until a task may be given up
	ResultDeadline time.Duration // from the submission
	Split          []Share       // traffic of the route by service
}

// Pick returns the name of the service for a request. Uniformly distributed values of random
// distribute the requests by weight. Pick returns the first service if all weights are zero,
// and an empty name if the route has no service.
func (r *Route) Pick(random uint64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		if len(r.Split) > 0 {
			return r.Split[0].Service
		}
		return ""
	}
	remaining := int(random % uint64(total))
	for _, s := range r.Split {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return r.Split[0].Service
}

// Serves reports whether Pick may return the service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 }) || r.Pick(0) == service
}

// Scaling limits how many targets a service may have in each data centre, and holds their
// prices.
type Scaling struct {
	Min, Max int
	Prices   map[string]float64 // price of a target per second, by data centre
	Boot     time.Duration      // from an order to the registration of the target; zero: not stated
}

// Service is a group of interchangeable targets.
type Service struct {
	Name    string
	Models  []string // empty: a plain service
	Scaling *Scaling // nil: the number of targets is fixed
	// ColdDuration is how long a target is cold after its start. ColdPerSecond is how many
	// requests a second it tolerates then; zero: it is never cold.
	ColdDuration  time.Duration
	ColdPerSecond float64
}

// Account is a client account.
type Account struct {
	Name     string
	Priority int
	Keys     [][sha256.Size]byte // digests of its API keys
}

// Limits apply to each request of a caller.
type Limits struct {
	BodyBytes int64 // largest request body
}

// Catalog is one version of the configuration. It must not change after Index.
type Catalog struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Accounts []Account
	Limits   Limits

	routesByHost    map[string][]*Route
	accountByDigest map[[sha256.Size]byte]*Account
}

// Index builds the indexes for Match, HasRouteKind and AccountByKey, and returns c.
func (c *Catalog) Index() *Catalog {
	c.routesByHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	c.accountByDigest = map[[sha256.Size]byte]*Account{}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			c.accountByDigest[k] = &c.Accounts[i]
		}
	}
	return c
}

// Match returns the host's route with the longest prefix of path.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	var best *Route
	for _, r := range c.routesByHost[Hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// HasRouteKind reports whether the host has routes of the kind.
func (c *Catalog) HasRouteKind(host string, kind Kind) bool {
	for _, r := range c.routesByHost[Hostname(host)] {
		if r.Kind == kind {
			return true
		}
	}
	return false
}

// HasPublicRoute reports whether requests of the kind may come without a key, at any host.
func (c *Catalog) HasPublicRoute(kind Kind) bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Kind == kind && r.Public })
}

// HasAccounts reports whether there are client accounts. Without them requests carry no keys.
func (c *Catalog) HasAccounts() bool { return len(c.Accounts) > 0 }

// RouteByName returns the first route with the name. A nil catalog has none.
func (c *Catalog) RouteByName(name string) (*Route, bool) {
	if c == nil {
		return nil, false
	}
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i], true
		}
	}
	return nil, false
}

// AccountByKey returns the account that has the API key. It looks up the key's digest and
// compares digests in constant time, never keys.
func (c *Catalog) AccountByKey(key string) (*Account, bool) {
	digest := Digest(key)
	a := c.accountByDigest[digest]
	if a == nil {
		return nil, false
	}
	for _, k := range a.Keys {
		if subtle.ConstantTimeCompare(k[:], digest[:]) == 1 {
			return a, true
		}
	}
	return nil, false
}

// Digest returns the digest that a catalog stores in place of the API key.
func Digest(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

// Hostname returns the host of a Host header in lower case and without the port.
func Hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
