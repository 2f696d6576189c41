// Package claim decides which attempt to run a non-idempotent request is the first.
//
// Instances append claims and cancellations to the log. Every reader applies them in the
// order of the log to a Table, so that all agree on the one attempt that may run. A table is
// bounded: it evicts the oldest claims and reports the time of the newest evicted one as its
// horizon. A request whose id contains a time at or before the horizon cannot be proven new:
// the caller must not run it.
package claim

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/google/uuid"
)

const (
	// Capacity is how many of the latest claims are kept.
	Capacity = 1 << 15
	// maxCancellations is how many cancellations of claims that were not read yet are kept.
	maxCancellations = 1 << 12
)

// Key identifies a request over all attempts to run it.
type Key [16]byte

// ID identifies one attempt to claim a request.
type ID [16]byte

// KeyOf returns the key of a client account's request id. The length of the account is part
// of the digest, so that different pairs of account and id have different keys.
func KeyOf(account, request string) Key {
	h := sha256.New()
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(account)))
	h.Write(size[:])
	h.Write([]byte(account))
	h.Write([]byte(request))
	return Key(h.Sum(nil)[:len(Key{})])
}

// TimeOf returns when the request's id was generated, in Unix milliseconds. It returns false
// if the id is not a UUID of version 7, which contains the time.
func TimeOf(request string) (int64, bool) {
	id, err := uuid.Parse(request)
	if err != nil || id.Version() != 7 {
		return 0, false
	}
	return int64(binary.BigEndian.Uint64(id[:8]) >> 16), true
}

// Claim is one attempt to acquire the right to run a request.
type Claim struct {
	Key    Key    `cbor:"1,keyasint"`
	ID     ID     `cbor:"2,keyasint"`
	Digest uint64 `cbor:"3,keyasint"` // of the request's content
}

// Entry is a stored claim.
type Entry struct {
	Claim    Claim  `cbor:"1,keyasint"`
	Holder   string `cbor:"2,keyasint"` // instance and incarnation
	At       int64  `cbor:"3,keyasint"` // holder's wall clock, Unix milliseconds
	Canceled bool   `cbor:"4,keyasint"` // canceled by its holder: the request has not run
}

// Decision is the result of one claim.
type Decision struct {
	ID          ID
	Acquired    bool   // the claimant may run the request
	Holder      string // the claimant if acquired or canceled, otherwise the holder of the earlier claim
	SameContent bool   // false: the earlier claim is for other content
	// Horizon is the latest time of an evicted claim, Unix milliseconds: a request that is
	// not newer may have run already.
	Horizon int64
}

// Cancellation is the cancellation of a claim that was not read yet. It is kept so that the
// claim is rejected when it is read.
type Cancellation struct {
	ID     ID     `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
}

// Table holds the latest claims in the order of the log. The zero value is
// empty and ready for use.
//
// Invariant: of all claims of one key that the table holds, at most one has been acquired
// and is not canceled.
type Table struct {
	Entries          []Entry        `cbor:"1,keyasint"` // ring
	Next             int            `cbor:"2,keyasint"`
	Cancellations    []Cancellation `cbor:"3,keyasint"` // ring
	NextCancellation int            `cbor:"4,keyasint"`
	Horizon          int64          `cbor:"5,keyasint"` // latest time of an evicted claim, Unix milliseconds

	active        map[Key]int           // positions of the entries that are not canceled
	byID          map[ID]int            // positions of all entries
	canceledEarly map[Cancellation]bool // Cancellations as a set
}

// Acquire applies a claim of holder, made at the time at by its wall clock. A claim that was
// canceled is rejected. An acquired claim that is applied again stays acquired.
func (t *Table) Acquire(holder string, at int64, c Claim) Decision {
	t.buildIndexes()
	if t.canceledEarly[Cancellation{c.ID, holder}] || t.isCanceled(c.ID) {
		return Decision{ID: c.ID, Holder: holder, SameContent: true, Horizon: t.Horizon}
	}
	if i, claimed := t.active[c.Key]; claimed {
		e := &t.Entries[i]
		return Decision{ID: c.ID, Acquired: e.Claim.ID == c.ID, Holder: e.Holder, SameContent: e.Claim.Digest == c.Digest, Horizon: t.Horizon}
	}
	t.insert(Entry{Claim: c, Holder: holder, At: at})
	return Decision{ID: c.ID, Acquired: true, Holder: holder, SameContent: true, Horizon: t.Horizon}
}

// Cancel cancels a claim of holder whose request has not run, so that another claim can be
// acquired. If the claim was not read yet, the cancellation is kept until it is.
func (t *Table) Cancel(holder string, id ID) {
	t.buildIndexes()
	i, known := t.byID[id]
	if !known {
		t.addCancellation(Cancellation{id, holder})
		return
	}
	e := &t.Entries[i]
	if e.Holder != holder || e.Canceled {
		return
	}
	e.Canceled = true
	delete(t.active, e.Claim.Key)
}

// Len returns the number of claims that are not canceled.
func (t *Table) Len() int {
	t.buildIndexes()
	return len(t.active)
}

// isCanceled reports whether the claim was read and canceled before.
func (t *Table) isCanceled(id ID) bool {
	i, known := t.byID[id]
	return known && t.Entries[i].Canceled
}

// addCancellation stores a cancellation and evicts the oldest one if there are too many.
func (t *Table) addCancellation(v Cancellation) {
	if t.canceledEarly[v] {
		return
	}
	t.canceledEarly[v] = true
	if len(t.Cancellations) < maxCancellations {
		t.Cancellations = append(t.Cancellations, v)
		return
	}
	delete(t.canceledEarly, t.Cancellations[t.NextCancellation])
	t.Cancellations[t.NextCancellation] = v
	t.NextCancellation = (t.NextCancellation + 1) % maxCancellations
}

// insert stores an entry that is not canceled. It evicts the oldest one if the table is full.
func (t *Table) insert(e Entry) {
	pos := len(t.Entries)
	if pos < Capacity {
		t.Entries = append(t.Entries, e)
	} else {
		pos = t.Next
		t.Next = (pos + 1) % Capacity
		t.evict(&t.Entries[pos])
		t.Entries[pos] = e
	}
	t.active[e.Claim.Key] = pos
	t.byID[e.Claim.ID] = pos
}

// evict removes an entry from the indexes and advances the horizon.
func (t *Table) evict(old *Entry) {
	t.Horizon = max(t.Horizon, old.At)
	delete(t.byID, old.Claim.ID)
	if !old.Canceled {
		delete(t.active, old.Claim.Key)
	}
}

// buildIndexes builds the indexes of a new or decoded table.
func (t *Table) buildIndexes() {
	if t.active != nil {
		return
	}
	t.active = make(map[Key]int, len(t.Entries))
	t.byID = make(map[ID]int, len(t.Entries))
	t.canceledEarly = make(map[Cancellation]bool, len(t.Cancellations))
	for i := range t.Entries {
		t.byID[t.Entries[i].Claim.ID] = i
		if !t.Entries[i].Canceled {
			t.active[t.Entries[i].Claim.Key] = i
		}
	}
	for _, v := range t.Cancellations {
		t.canceledEarly[v] = true
	}
}
