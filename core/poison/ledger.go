package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// crashesToCondemn is the number of targets that must have crashed under a request until it
	// is condemned: one or two may have crashed for another reason, or under another request.
	crashesToCondemn = 3
	// sharedCrashesToCondemn is that number for a request that shared each of its crashes with
	// one that was not served since either.
	sharedCrashesToCondemn = 5
	// SettleTime is how long after a crash became known a request counts as not the only one: the
	// connections of the others break off one by one, and other instances report theirs.
	SettleTime = 500 * time.Millisecond
	// holdTime is how long after its last crash a condemned request is not sent. A target may
	// run another program by then: the first repeat after it is sent once.
	holdTime = 10 * time.Minute
	// forgetAfter is how long after its last crash a request is known.
	forgetAfter = time.Hour
	// maxSuspects bounds the known requests. Those whose last crash is the oldest are dropped.
	maxSuspects = 4096
	// maxCrashes bounds the crashes that are kept of a request.
	maxCrashes = 8
)

// Ledger holds which requests ran on targets that crashed. Requests that ran beside the one
// that crashed a target are suspected as well, until they are served. Times are readings of the
// caller's clock. A Ledger is not safe for concurrent use.
//
// Invariant: a crash that a condemned request was part of counts against no other request.
type Ledger struct {
	suspects  map[Digest]*suspect
	crashes   map[Target]*targetCrash
	unsettled map[Digest]bool // held until it is known whether they ran alone
}

// targetCrash is the crash of a target, with the suspects that it was running.
type targetCrash struct {
	knownAt  time.Duration
	requests []Digest
}

// suspect is a request under which targets crashed and that was not served since.
type suspect struct {
	crashes     []Target
	lastCrash   time.Duration
	condemned   bool
	announcedAt time.Duration // latest announcement of the condemned request that was read or made
}

// NewLedger returns a ledger without requests.
func NewLedger() *Ledger {
	return &Ledger{suspects: map[Digest]*suspect{}, crashes: map[Target]*targetCrash{}, unsettled: map[Digest]bool{}}
}

// Verdict is what is known of a request.
type Verdict struct {
	Crashes   int  // targets that crashed under it, up to maxCrashes, since it was last served
	Condemned bool // it must not be sent
	// HeldFor is how long a condemned request is not to be sent: at first until it is known whether
	// it ran alone.
	HeldFor time.Duration
}

// Empty reports whether no request is known.
func (l *Ledger) Empty() bool { return len(l.suspects) == 0 }

// Check returns the verdict on a request at now.
func (l *Ledger) Check(now time.Duration, d Digest) Verdict {
	s := l.suspects[d]
	if s == nil || now-s.lastCrash > forgetAfter {
		return Verdict{}
	}
	v := Verdict{Crashes: len(s.crashes)}
	if e := l.evidence(now, d, s); !s.condemned && e.isUnsettled() {
		v.Condemned, v.HeldFor = true, e.settlesIn
	}
	if held := s.lastCrash + holdTime - now; s.condemned && held > 0 {
		v.Condemned, v.HeldFor = true, held
	}
	return v
}

// Crashed records that the target crashed at now while it ran the requests. Further records of
// the same start of a target add requests to it. It returns the requests that are condemned by
// it. The caller calls Settle after SettleTime.
func (l *Ledger) Crashed(now time.Duration, t Target, requests []Digest) (condemned []Digest) {
	condemned, _ = l.Settle(now)
	for _, d := range requests {
		s := l.suspect(now, d)
		if slices.Contains(s.crashes, t) {
			continue
		}
		s.lastCrash = now
		if len(s.crashes) < maxCrashes {
			s.crashes = append(s.crashes, t)
			l.addCrash(now, t, d)
		}
	}
	return append(condemned, l.review(now, l.requestsOf(t))...)
}

func (l *Ledger) addCrash(now time.Duration, t Target, d Digest) {
	if l.crashes[t] == nil {
		l.crashes[t] = &targetCrash{knownAt: now}
	}
	l.crashes[t].requests = append(l.crashes[t].requests, d)
}

func (l *Ledger) requestsOf(t Target) []Digest {
	if c := l.crashes[t]; c != nil {
		return c.requests
	}
	return nil
}

// Settle condemns the requests of which it is known by now that they ran alone, and returns them.
// It reports whether others are still held for that.
func (l *Ledger) Settle(now time.Duration) (condemned []Digest, unsettled bool) {
	for _, d := range slices.SortedFunc(maps.Keys(l.unsettled), func(a, b Digest) int { return slices.Compare(a[:], b[:]) }) {
		delete(l.unsettled, d) // review adds it again if need be
		condemned = append(condemned, l.review(now, []Digest{d})...)
	}
	return condemned, len(l.unsettled) > 0
}

// suspect returns the entry of a request, which it adds if there is none.
func (l *Ledger) suspect(now time.Duration, d Digest) *suspect {
	if s := l.suspects[d]; s != nil {
		return s
	}
	l.prune(now)
	s := &suspect{lastCrash: now}
	l.suspects[d] = s
	return s
}

// prune drops the requests that have been known for too long, and makes room for one more.
func (l *Ledger) prune(now time.Duration) {
	for d, s := range l.suspects {
		if now-s.lastCrash > forgetAfter {
			l.remove(d, s)
		}
	}
	if len(l.suspects) < maxSuspects {
		return
	}
	var oldest Digest
	for d, s := range l.suspects {
		if o := l.suspects[oldest]; o == nil || cmp.Or(boolCompare(s.condemned, o.condemned), cmp.Compare(s.lastCrash, o.lastCrash), slices.Compare(d[:], oldest[:])) < 0 {
			oldest = d
		}
	}
	l.remove(oldest, l.suspects[oldest])
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// remove drops a request.
func (l *Ledger) remove(d Digest, s *suspect) {
	delete(l.suspects, d)
	delete(l.unsettled, d)
	for _, t := range s.crashes {
		c := l.crashes[t]
		c.requests = slices.DeleteFunc(c.requests, func(other Digest) bool { return other == d })
		if len(c.requests) == 0 {
			delete(l.crashes, t)
		}
	}
}

// Served records that a target has served the request, which therefore crashes none. It reports
// whether the request was known, and returns the requests that are condemned because they alone
// can have crashed the targets.
func (l *Ledger) Served(now time.Duration, d Digest) (known bool, condemned []Digest) {
	s := l.suspects[d]
	if s == nil {
		return false, nil
	}
	l.remove(d, s)
	for _, t := range s.crashes {
		condemned = append(condemned, l.review(now, l.requestsOf(t))...)
	}
	return true, condemned
}

// review condemns those of the requests that must be, and returns them: first those with the
// most evidence, as the crashes that they explain no longer count against the others.
func (l *Ledger) review(now time.Duration, requests []Digest) (condemned []Digest) {
	for {
		var worst []Digest
		most := 0
		for _, d := range requests {
			s := l.suspects[d]
			if s == nil || s.condemned {
				continue
			}
			e := l.evidence(now, d, s)
			if e.isUnsettled() {
				l.unsettled[d] = true
			}
			if !e.condemns() || e.crashes < most {
				continue
			}
			if e.crashes > most {
				worst, most = nil, e.crashes
			}
			worst = append(worst, d)
		}
		if len(worst) == 0 {
			return condemned
		}
		for _, d := range worst {
			l.suspects[d].condemned = true
			delete(l.unsettled, d)
		}
		condemned = append(condemned, worst...)
	}
}

// evidence is what there is against a request.
type evidence struct {
	crashes   int           // targets that crashed under it and under no condemned one
	alone     int           // of these, targets that ran no other request that may have crashed them
	settled   int           // of these, targets of which that is certain
	settlesIn time.Duration // until that is certain of the next one; zero if there is none
}

func (e evidence) condemns() bool {
	return e.crashes >= sharedCrashesToCondemn || e.crashes >= crashesToCondemn && e.settled > 0
}

// isUnsettled reports whether the request is condemned if it turns out to have run alone.
func (e evidence) isUnsettled() bool {
	return !e.condemns() && e.crashes >= crashesToCondemn && e.alone > 0
}

func (l *Ledger) evidence(now time.Duration, d Digest, s *suspect) (e evidence) {
	for _, t := range s.crashes {
		c := l.crashes[t]
		if slices.ContainsFunc(c.requests, func(other Digest) bool { return other != d && l.suspects[other].condemned }) {
			continue
		}
		e.crashes++
		if len(c.requests) > 1 {
			continue
		}
		e.alone++
		if left := c.knownAt + SettleTime - now; left <= 0 {
			e.settled++
		} else if e.settlesIn == 0 || left < e.settlesIn {
			e.settlesIn = left
		}
	}
	return e
}

// Announcement tells instances that start later of a condemned request.
type Announcement struct {
	Request        Digest
	SinceLastCrash time.Duration
}

// Announced records an announcement that was read at now. It reports whether the request was
// not condemned before.
func (l *Ledger) Announced(now time.Duration, a Announcement) (added bool) {
	if a.SinceLastCrash > holdTime {
		return false
	}
	s := l.suspect(now, a.Request)
	added = !s.condemned
	if len(s.crashes) == 0 {
		s.lastCrash = now - a.SinceLastCrash
	}
	s.condemned, s.announcedAt = true, now
	delete(l.unsettled, a.Request)
	return added
}

// Due returns the announcements of the condemned requests that no instance has announced for
// interval, and counts them as announced at now. pending reports whether there are condemned
// requests.
func (l *Ledger) Due(now, interval time.Duration) (due []Announcement, pending bool) {
	l.Settle(now)
	for d, s := range l.suspects {
		if !s.condemned || !l.Check(now, d).Condemned {
			continue
		}
		pending = true
		if now-s.announcedAt >= interval {
			s.announcedAt = now
			due = append(due, Announcement{d, now - s.lastCrash})
		}
	}
	slices.SortFunc(due, func(a, b Announcement) int { return slices.Compare(a.Request[:], b.Request[:]) })
	return due, pending
}
