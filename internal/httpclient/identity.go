package httpclient

import (
	"hash/maphash"
	"net/http"
	"slices"
	"sync"
)

const (
	poolCount  = 4   // pools that keep connections
	maxCarried = 256 // latest requests of a connection that are remembered
)

// identities keeps requests off the connections that have carried a request of the same id.
//
// A faulty server may send a second copy of a response, late: where the response to a later request on the
// connection is expected. The id in the copy tells it from that response, unless the later request is the
// first one, sent again. So a connection carries each id once.
//
// net/http selects connections by their address only. The Transport therefore has several pools, and a
// request goes to the first one of which no connection to its address has carried its id: what is sent
// again finds a kept connection in the next pool. Only after poolCount sends is a connection opened for
// one request.
//
// Of a request without an id, whose response has none either, the path is the identity: the reader of a
// response has to tell by its content that it is one to the path. A connection may carry it again once a
// response with an id has come: a copy would have been found in the place of that one.
type identities struct {
	header string // with the id, in requests and responses
	seed   maphash.Seed

	mu sync.Mutex
	// carried counts, by identity, the open connections of each pool that have carried it and the
	// requests in progress that will be sent on one.
	carried map[identity]*[poolCount]uint16
}

// identity is the digest of an address and a request's id, or its path if it has no id.
type identity uint64

func newIdentities(header string) *identities {
	return &identities{header: header, seed: maphash.MakeSeed(), carried: map[identity]*[poolCount]uint16{}}
}

func (s *identities) of(req *http.Request) (key identity, id string) {
	if id = req.Header.Get(s.header); id == "" {
		return identity(maphash.Comparable(s.seed, [3]string{req.URL.Host, "", req.URL.Path})), ""
	}
	return identity(maphash.Comparable(s.seed, [3]string{req.URL.Host, id})), id
}

// reserve returns the pool for a request, and counts it there until release. It returns poolCount if
// the request needs a connection of its own.
func (s *identities) reserve(key identity) (pool int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.carried[key]
	if counts == nil {
		counts = new([poolCount]uint16)
		s.carried[key] = counts
	}
	if pool = slices.Index(counts[:], 0); pool < 0 {
		return poolCount
	}
	counts[pool]++
	return pool
}

// add counts a connection of the pool that carries the identity, until release.
func (s *identities) add(key identity, pool int) {
	if pool == poolCount {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.carried[key] == nil {
		s.carried[key] = new([poolCount]uint16)
	}
	s.carried[key][pool]++
}

func (s *identities) release(pool int, keys ...identity) {
	if pool == poolCount {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		counts := s.carried[key]
		if counts[pool]--; *counts == [poolCount]uint16{} {
			delete(s.carried, key)
		}
	}
}

// carriage is what a connection has carried.
type carriage struct {
	identities *identities
	pool       int
	latest     []identity // of the latest requests with an id, oldest first
	anonymous  []identity // of the requests without an id since the last response with one
}

// carry notes that the connection, which is open, carries a request. id is empty if it has none.
func (c *carriage) carry(s *identities, pool int, key identity, id string) {
	c.identities, c.pool = s, pool
	if id == "" {
		s.add(key, pool)
		c.anonymous = append(c.anonymous, key)
		return
	}
	if len(c.latest) == maxCarried {
		s.release(pool, c.latest[0])
		c.latest = slices.Delete(c.latest, 0, 1)
	}
	s.add(key, pool)
	c.latest = append(c.latest, key)
}

// identified notes that a response with the id of its request has come.
func (c *carriage) identified() {
	if len(c.anonymous) > 0 {
		c.identities.release(c.pool, c.anonymous...)
		c.anonymous = nil
	}
}

// close forgets everything, as the connection is closed.
func (c *carriage) close() {
	c.identified()
	if len(c.latest) > 0 {
		c.identities.release(c.pool, c.latest...)
		c.latest = nil
	}
}

// pools returns transports with the settings of base: poolCount with a pool each, base among them, and
// one that opens a connection for each request.
func pools(base *http.Transport) []*http.Transport {
	out := []*http.Transport{base}
	for range poolCount {
		out = append(out, base.Clone())
	}
	out[poolCount].DisableKeepAlives = true
	return out
}
