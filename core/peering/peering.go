// Package peering decides which processes an instance takes for other instances, from the
// announcements that the instances append to the log.
//
// The load: instances restart one after another or all at once, are removed, join, and run an
// old and a new build side by side during an upgrade, while the log may be away for minutes and
// strangers can reach the port between the instances. An instance is known by the fingerprint
// of the key in its latest announcement. An announcement of a build without keys allows plain
// connections from and to its address until the instance announces a key.
//
// The package has no clock and no I/O. All times are readings of the reader's clock when it
// read a record: the clocks of other machines do not matter.
package peering

import (
	"net/netip"
	"time"
)

const (
	// AnnounceInterval is the time between two announcements of an instance. A log that retains
	// none of some instances has them repeated for one that starts.
	AnnounceInterval = time.Minute
	// lapseAfter is how long an entry is kept without an announcement.
	lapseAfter = 3 * AnnounceInterval
	// logAwayAfter is the time without an own announcement after which the log counts as away.
	// An entry whose announcements came at their interval until then is no older than
	// logAwayAfter and one interval, which is less than lapseAfter.
	logAwayAfter = AnnounceInterval * 3 / 2
	// slowDelay is the delay of a log that is slow: well above that of a sound one, below the interval
	// of the heartbeats that announcements would hold up.
	slowDelay = 200 * time.Millisecond
	// maxAnnouncementAge leaves an interval for the append until the entry lapses.
	maxAnnouncementAge = 2 * AnnounceInterval
	// putOffSpread spreads the announcements that were put off: hundreds may come due in one outage.
	putOffSpread = AnnounceInterval / 4
)

// PutOff returns how long an announcement that is due waits until it is due again, zero if it is to
// be appended now. The appends of hundreds of instances, several a second, hold up everything else
// in a log that is slow, and can wait. age is the time since the latest announcement, logDelay how
// long records take into the log, random from 0 to below 1.
func PutOff(age, logDelay time.Duration, random float64) time.Duration {
	if logDelay < slowDelay || age >= maxAnnouncementAge {
		return 0
	}
	return min(time.Duration((0.5+random)*float64(putOffSpread)), maxAnnouncementAge-age)
}

// Peer is an instance as the log announces it.
type Peer struct {
	Name        string
	Address     string // listener for other instances, IP and port; empty: none
	Fingerprint string // of its key; empty: its build has none
	// AnnouncedAt is when its latest announcement was read, and Offset its place in the log.
	AnnouncedAt time.Duration
	Offset      int64
}

// Renewals tells which entries have lapsed. Entries age only while the log is followed and takes
// appends, which the own announcements show: those are read back at their interval then.
type Renewals struct {
	since, last time.Duration // of the own announcements that were read without a gap
	announced   bool
}

// OwnRead notes that an own announcement was read at now.
func (r *Renewals) OwnRead(now time.Duration) {
	if !r.announced || now-r.last > logAwayAfter {
		r.since = now
	}
	r.last, r.announced = now, true
}

// Lapsed reports whether the entry was not renewed for three intervals during which the log was
// there.
func (r *Renewals) Lapsed(now time.Duration, p Peer) bool {
	if !r.announced || now-r.last > logAwayAfter {
		return false
	}
	return now-max(p.AnnouncedAt, r.since) > lapseAfter
}

// Current returns the entries that have not lapsed and whose address no later announcement of
// another instance has taken over.
func (r *Renewals) Current(now time.Duration, peers []Peer) []Peer {
	latest := make(map[string]int64, len(peers)) // offset by address
	for _, p := range peers {
		latest[p.Address] = max(latest[p.Address], p.Offset)
	}
	var out []Peer
	for _, p := range peers {
		if (p.Address == "" || latest[p.Address] == p.Offset) && !r.Lapsed(now, p) {
			out = append(out, p)
		}
	}
	return out
}

// Set answers who is accepted. It is immutable.
type Set struct {
	byFingerprint map[string]string // name
	byAddress     map[string]Peer
	known         map[netip.Addr]bool // addresses of instances; true: one of them speaks plain
}

// NewSet returns the set of the peers. Those without a valid address can call, but nothing is
// sent to them.
func NewSet(peers []Peer) *Set {
	s := &Set{byFingerprint: make(map[string]string, len(peers)), byAddress: make(map[string]Peer, len(peers)), known: map[netip.Addr]bool{}}
	for _, p := range peers {
		if p.Fingerprint != "" {
			s.byFingerprint[p.Fingerprint] = p.Name
		}
		address, err := netip.ParseAddrPort(p.Address)
		if err != nil {
			continue
		}
		s.byAddress[p.Address] = p
		ip := address.Addr().Unmap()
		s.known[ip] = s.known[ip] || p.Fingerprint == ""
	}
	return s
}

// AcceptsKey returns the name of the instance that has the key. found is false for a key of
// none.
func (s *Set) AcceptsKey(fingerprint string) (name string, found bool) {
	name, found = s.byFingerprint[fingerprint]
	return name, found
}

// AcceptsPlain reports whether a connection without TLS from the IP address is accepted.
func (s *Set) AcceptsPlain(ip netip.Addr) bool { return s.known[ip.Unmap()] }

// Knows reports whether an instance has the IP address.
func (s *Set) Knows(ip netip.Addr) bool {
	_, found := s.known[ip.Unmap()]
	return found
}

// At returns the instance whose listener has the address. Connections to it are plain if it has
// no fingerprint.
func (s *Set) At(address string) (p Peer, found bool) {
	p, found = s.byAddress[address]
	return p, found
}
