// Package catalog holds a deployment's routes, services and client accounts as
// one immutable version of its configuration.
package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"
	"time"
)

// Kind tells what may be repeated of a route's requests.
type Kind uint8

// The kinds of routes.
const (
	NonIdempotent Kind = iota // at most once for each attempt of the client
	Idempotent
	Stream // server-sent events; repeatable only where Resumable is set
	Batch  // jobs of many tasks, whose results are listed
)

// Share is a service's part of a route's traffic.
type Share struct {
	Service string
	Weight  int
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Timeout        time.Duration // longest wait for an answer; zero: none
	TargetLatency  time.Duration // an answer within it is worth most
	Priority       int           // 0 is the highest
	MaxAttempts    int           // targets that one attempt of the client may be sent to
	Public         bool          // needs no key
	Resumable      bool
	SingleVersion  bool          // a result may come from one weight version only
	Retention      time.Duration // a task may be given up this long after its submission
	ResultDeadline time.Duration // after the submission
	Split          []Share
}

// Pick returns the service for a request; random spreads them by weight.
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
	at := int(random % uint64(total))
	for _, s := range r.Split {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Split[0].Service
}

// Scaling bounds how many targets a service may have in each data centre.
type Scaling struct {
	Min, Max int
	Prices   map[string]float64 // a target's price a second, by data centre
}

// Service is a group of interchangeable targets.
type Service struct {
	Name    string
	Models  []string // empty: a plain service
	Scaling *Scaling // nil: fixed size
}

// Account is a client account with the digests of its keys.
type Account struct {
	Name     string
	Priority int
	Keys     [][sha256.Size]byte
}

// Limits bound what a caller may send.
type Limits struct {
	BodyBytes int64
}

// Catalog is one version of the configuration. It is immutable once indexed.
type Catalog struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Accounts []Account
	Limits   Limits

	hosts map[string][]*Route
	keys  map[[sha256.Size]byte]*Account
}

// Index prepares the look-ups and returns c.
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

// RouteByName returns the route of a name.
func (c *Catalog) RouteByName(name string) (*Route, bool) {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i], true
		}
	}
	return nil, false
}

// AccountByKey returns the account that holds the key. Only digests are compared, and
// in constant time.
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

// Digest returns what a catalog keeps of a key.
func Digest(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

// Hostname strips the port and the case from a Host header.
func Hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
