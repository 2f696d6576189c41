// Package claim decides which attempt to run a non-repeatable request is the
// first. Instances append claims to the log; every reader folds them with the
// same table, so that all agree on the one that may run.
package claim

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/google/uuid"
)

const (
	// Capacity is how many of the latest claims are remembered.
	Capacity = 1 << 15
	// maxCancellations is how many voids of claims not read yet are remembered.
	maxCancellations = 1 << 12
)

// Key identifies a request over all its repeats.
type Key [16]byte

// ID identifies one attempt to claim a request.
type ID [16]byte

// KeyOf returns the key of a client account's request id.
func KeyOf(account, request string) Key {
	h := sha256.New()
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(account)))
	h.Write(size[:])
	h.Write([]byte(account))
	h.Write([]byte(request))
	return Key(h.Sum(nil)[:len(Key{})])
}

// TimeOf returns when the request's id was made, Unix milliseconds, if the id
// tells: a UUID of version 7 does.
func TimeOf(request string) (int64, bool) {
	id, err := uuid.Parse(request)
	if err != nil || id.Version() != 7 {
		return 0, false
	}
	return int64(binary.BigEndian.Uint64(id[:8]) >> 16), true
}

// Claim is one attempt to take a request.
type Claim struct {
	Key    Key    `cbor:"1,keyasint"`
	ID     ID     `cbor:"2,keyasint"`
	Digest uint64 `cbor:"3,keyasint"` // of the request's content
}

// Entry is a claim that stands.
type Entry struct {
	Claim    Claim  `cbor:"1,keyasint"`
	Holder   string `cbor:"2,keyasint"` // instance and incarnation
	At       int64  `cbor:"3,keyasint"` // holder's wall clock, Unix milliseconds
	Canceled bool   `cbor:"4,keyasint"` // given up: it has not run
}

// Decision is what became of one claim.
type Decision struct {
	ID          ID
	Acquired    bool   // the claimant may run the request
	Holder      string // who has claimed it before, unless taken
	SameContent bool   // the claim before is for the same content
	// Horizon is the latest time of a forgotten claim, Unix milliseconds: a
	// request that is older may have run.
	Horizon int64
}

// Cancellation is a claim given up before it was read.
type Cancellation struct {
	ID     ID     `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
}

// Table holds the latest claims in the order of the log. The zero value is
// empty and ready for use.
//
// Invariant: of all claims of one key that the table remembers, one at most has
// been taken and is not void.
type Table struct {
	Entries          []Entry        `cbor:"1,keyasint"` // ring
	Next             int            `cbor:"2,keyasint"`
	Cancellations    []Cancellation `cbor:"3,keyasint"` // ring
	NextCancellation int            `cbor:"4,keyasint"`
	Horizon          int64          `cbor:"5,keyasint"` // latest time of a forgotten claim, Unix milliseconds

	active        map[Key]int // positions of the entries that are not void
	byID          map[ID]int  // positions of all entries
	canceledEarly map[Cancellation]bool
}

// Acquire claims a request for holder.
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

// Cancel frees a claim of holder that has not run, or voids it in advance.
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

// Len returns the number of standing claims.
func (t *Table) Len() int {
	t.buildIndexes()
	return len(t.active)
}

// isCanceled reports whether the claim was read and given up before.
func (t *Table) isCanceled(id ID) bool {
	i, known := t.byID[id]
	return known && t.Entries[i].Canceled
}

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

// insert stores a standing entry, in place of the oldest one if the table is full.
func (t *Table) insert(e Entry) {
	at := len(t.Entries)
	if at < Capacity {
		t.Entries = append(t.Entries, e)
	} else {
		at = t.Next
		t.Next = (at + 1) % Capacity
		t.evict(&t.Entries[at])
		t.Entries[at] = e
	}
	t.active[e.Claim.Key] = at
	t.byID[e.Claim.ID] = at
}

func (t *Table) evict(old *Entry) {
	t.Horizon = max(t.Horizon, old.At)
	delete(t.byID, old.Claim.ID)
	if !old.Canceled {
		delete(t.active, old.Claim.Key)
	}
}

// buildIndexes builds the indexes of a table that was decoded.
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
