// Package catalog holds a deployment's routes, services and client accounts as one version
// of its configuration.
//
// The caller fills a Catalog, indexes it once and does not change it afterwards; it is then
// safe for concurrent use. The catalog finds the route of a request by host and path prefix,
// the service by weight, and the account by the digest of its key. It holds no keys in plain
// text. It does not validate the configuration.
package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"
	"time"
)

// Kind states how the requests of a route run and whether they may be retried.
type Kind uint8

// The kinds of routes.
const (
	NonIdempotent Kind = iota // runs at most once for each attempt of the client
	Idempotent                // may be retried
	Stream                    // server-sent events; may be retried only if Resumable is set
	Batch                     // jobs of many tasks, whose results are listed
)

// Share is a service's share of a route's traffic, in proportion to its weight.
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
	Timeout        time.Duration // longest wait for a response; zero: none
	TargetLatency  time.Duration // a response within it is worth most
	Priority       int           // 0 is the highest
	MaxAttempts    int           // targets that one attempt of the client may be sent to
	Public         bool          // needs no key
	Resumable      bool
	SingleVersion  bool          // all of a result must come from one weight version
	Retention      time.Duration // a task may be given up this long after its submission
	ResultDeadline time.Duration // time from the submission
	Split          []Share
}

// Pick returns the service for a request. Uniform values of random spread the requests over
// the services by weight. It returns the first service if all weights are zero, and an empty
// name if the route has none.
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

// Scaling limits how many targets a service may have in each data centre.
type Scaling struct {
	Min, Max int
	Prices   map[string]float64 // price of a target per second, by data centre
}

// Service is a group of interchangeable targets.
type Service struct {
	Name    string
	Models  []string // empty: a plain service
	Scaling *Scaling // nil: fixed size
}

// Account is a client account with the digests of its API keys.
type Account struct {
	Name     string
	Priority int
	Keys     [][sha256.Size]byte
}

// Limits limit the requests of callers.
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

	hosts map[string][]*Route
	keys  map[[sha256.Size]byte]*Account
}

// Index builds the indexes for Match, HasRouteKind and AccountByKey, and returns c.
func (c *Catalog) Index() *Catalog {
	c.hosts = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	c.keys = map[[sha256.Size]byte]*Account{}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			c.keys[k] = &c.Accounts[i]
		}
	}
	return c
}

// Match returns the host's route with the longest prefix of path.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	var best *Route
	for _, r := range c.hosts[Hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// HasRouteKind reports whether the host has routes of the kind.
func (c *Catalog) HasRouteKind(host string, kind Kind) bool {
	for _, r := range c.hosts[Hostname(host)] {
		if r.Kind == kind {
			return true
		}
	}
	return false
}

// RouteByName returns the route with the name.
func (c *Catalog) RouteByName(name string) (*Route, bool) {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i], true
		}
	}
	return nil, false
}

// AccountByKey returns the account that has the key. It looks the key up by its digest and
// compares only digests, in constant time.
func (c *Catalog) AccountByKey(key string) (*Account, bool) {
	digest := Digest(key)
	a := c.keys[digest]
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

// Digest returns the digest by which a catalog stores a key.
func Digest(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

// Hostname returns the host of a Host header in lower case and without the port.
func Hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
