// Package claim decides which of several attempts may run a non-idempotent request: the first
// one in the log.
//
// Instances append claims to the log, and cancellations of claims whose requests have not run.
// Every reader applies them in the order of the log to a Table, so that all agree on the one
// attempt that may run. A table is bounded: it evicts the oldest claims and reports the latest
// time of an evicted claim as its horizon. A request whose id contains a time at or before the
// horizon cannot be proven new: the caller must not run it.
package claim

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/google/uuid"
)

const (
	// Capacity is the maximum number of claims in a table.
	Capacity = 1 << 15
	// maxCancellations is the maximum number of cancellations in a table whose claims were not
	// read yet.
	maxCancellations = 1 << 12
)

// Key identifies a request over all attempts to run it.
type Key [16]byte

// ID identifies one attempt to claim a request.
type ID [16]byte

// KeyOf returns the key of a client account's request id: a digest of the account's length,
// the account and the id. The length is included so that different pairs of account and id,
// such as "shop", "1" and "shop1", "", have different keys.
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
	Digest uint64 `cbor:"3,keyasint"` // digest of the request's content
}

// Entry is an acquired claim in a table.
type Entry struct {
	Claim    Claim  `cbor:"1,keyasint"`
	Holder   string `cbor:"2,keyasint"` // instance and incarnation
	At       int64  `cbor:"3,keyasint"` // time of the claim by the holder's wall clock, Unix milliseconds
	Canceled bool   `cbor:"4,keyasint"` // by its holder: the request has not run
}

// Decision is the result of one claim.
type Decision struct {
	ID          ID
	Acquired    bool   // the claimant may run the request
	Holder      string // the claimant if acquired or canceled, otherwise the holder of the earlier claim
	SameContent bool   // false: the earlier claim is for a request with other content
	// Horizon is the latest time of an evicted claim, Unix milliseconds: a request from this
	// time or before may have run already.
	Horizon int64
}

// Cancellation is the cancellation of a claim that was not read yet. The table keeps it to
// reject the claim when it is read.
type Cancellation struct {
	ID     ID     `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
}

// Table holds the latest acquired claims in the order of the log. The zero value is empty and
// ready for use.
//
// Invariant: of all claims of one key that the table holds, at most one has been acquired
// and is not canceled.
type Table struct {
	Entries          []Entry        `cbor:"1,keyasint"` // ring buffer
	Next             int            `cbor:"2,keyasint"` // position of the oldest entry once the ring is full
	Cancellations    []Cancellation `cbor:"3,keyasint"` // ring buffer
	NextCancellation int            `cbor:"4,keyasint"` // as Next
	Horizon          int64          `cbor:"5,keyasint"` // latest time of an evicted claim, Unix milliseconds

	active          map[Key]int           // positions in Entries of those not canceled
	byID            map[ID]int            // positions in Entries of all
	cancellationSet map[Cancellation]bool // Cancellations as a set
}

// Acquire applies a claim of holder, made at the time at by its wall clock in Unix
// milliseconds. The first claim of a key is acquired unless it was canceled. An acquired claim
// that is applied again stays acquired.
func (t *Table) Acquire(holder string, at int64, c Claim) Decision {
	t.buildIndexes()
	if t.cancellationSet[Cancellation{c.ID, holder}] || t.isCanceled(c.ID) {
		return Decision{ID: c.ID, Holder: holder, SameContent: true, Horizon: t.Horizon}
	}
	if i, claimed := t.active[c.Key]; claimed {
		e := &t.Entries[i]
		return Decision{ID: c.ID, Acquired: e.Claim.ID == c.ID, Holder: e.Holder, SameContent: e.Claim.Digest == c.Digest, Horizon: t.Horizon}
	}
	t.insert(Entry{Claim: c, Holder: holder, At: at})
	return Decision{ID: c.ID, Acquired: true, Holder: holder, SameContent: true, Horizon: t.Horizon}
}

// Cancel cancels a claim of holder whose request has not run, so that another claim of the key
// can be acquired. A cancellation that is read before its claim is kept, among the latest
// maxCancellations, to reject the claim.
func (t *Table) Cancel(holder string, id ID) {
	t.buildIndexes()
	i, found := t.byID[id]
	if !found {
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

// isCanceled reports whether the table holds the claim as canceled.
func (t *Table) isCanceled(id ID) bool {
	i, found := t.byID[id]
	return found && t.Entries[i].Canceled
}

// addCancellation stores a cancellation, in place of the oldest one if the ring is full.
func (t *Table) addCancellation(c Cancellation) {
	if t.cancellationSet[c] {
		return
	}
	t.cancellationSet[c] = true
	if len(t.Cancellations) < maxCancellations {
		t.Cancellations = append(t.Cancellations, c)
		return
	}
	delete(t.cancellationSet, t.Cancellations[t.NextCancellation])
	t.Cancellations[t.NextCancellation] = c
	t.NextCancellation = (t.NextCancellation + 1) % maxCancellations
}

// insert stores an entry that is not canceled, in place of the oldest one if the ring is full.
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

// buildIndexes builds the indexes of a new or decoded table, which has none yet.
func (t *Table) buildIndexes() {
	if t.active != nil {
		return
	}
	t.active = make(map[Key]int, len(t.Entries))
	t.byID = make(map[ID]int, len(t.Entries))
	t.cancellationSet = make(map[Cancellation]bool, len(t.Cancellations))
	for i := range t.Entries {
		t.byID[t.Entries[i].Claim.ID] = i
		if !t.Entries[i].Canceled {
			t.active[t.Entries[i].Claim.Key] = i
		}
	}
	for _, c := range t.Cancellations {
		t.cancellationSet[c] = true
	}
}
