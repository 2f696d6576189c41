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
	// voidCapacity is how many voids of claims not read yet are remembered.
	voidCapacity = 1 << 12
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
	Claim  Claim  `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"` // instance and incarnation
	At     int64  `cbor:"3,keyasint"` // holder's wall clock, Unix milliseconds
	Void   bool   `cbor:"4,keyasint"` // given up: it has not run
}

// Decision is what became of one claim.
type Decision struct {
	ID     ID
	Taken  bool   // the claimant may run the request
	Holder string // who has claimed it before, unless taken
	Same   bool   // the claim before is for the same content
	// Horizon is the latest time of a forgotten claim, Unix milliseconds: a
	// request that is older may have run.
	Horizon int64
}

// Void is a claim given up before it was read.
type Void struct {
	ID     ID     `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
}

// Table holds the latest claims in the order of the log. The zero value is
// empty and ready for use.
//
// Invariant: of all claims of one key that the table remembers, one at most has
// been taken and is not void.
type Table struct {
	Entries  []Entry `cbor:"1,keyasint"` // ring
	Next     int     `cbor:"2,keyasint"`
	Voids    []Void  `cbor:"3,keyasint"` // ring
	NextVoid int     `cbor:"4,keyasint"`
	Horizon  int64   `cbor:"5,keyasint"` // latest time of a forgotten claim, Unix milliseconds

	standing map[Key]int // positions of the entries that are not void
	byID     map[ID]int  // positions of all entries
	voids    map[Void]bool
}

// Take claims a request for holder.
func (t *Table) Take(holder string, at int64, c Claim) Decision {
	t.load()
	if t.voids[Void{c.ID, holder}] || t.givenUp(c.ID) {
		return Decision{ID: c.ID, Holder: holder, Same: true, Horizon: t.Horizon}
	}
	if i, claimed := t.standing[c.Key]; claimed {
		e := &t.Entries[i]
		return Decision{ID: c.ID, Taken: e.Claim.ID == c.ID, Holder: e.Holder, Same: e.Claim.Digest == c.Digest, Horizon: t.Horizon}
	}
	t.put(Entry{Claim: c, Holder: holder, At: at})
	return Decision{ID: c.ID, Taken: true, Holder: holder, Same: true, Horizon: t.Horizon}
}

// GiveUp frees a claim of holder that has not run, or voids it in advance.
func (t *Table) GiveUp(holder string, id ID) {
	t.load()
	i, known := t.byID[id]
	if !known {
		t.voidLater(Void{id, holder})
		return
	}
	e := &t.Entries[i]
	if e.Holder != holder || e.Void {
		return
	}
	e.Void = true
	delete(t.standing, e.Claim.Key)
}

// Len returns the number of standing claims.
func (t *Table) Len() int {
	t.load()
	return len(t.standing)
}

// givenUp reports whether the claim was read and given up before.
func (t *Table) givenUp(id ID) bool {
	i, known := t.byID[id]
	return known && t.Entries[i].Void
}

func (t *Table) voidLater(v Void) {
	if t.voids[v] {
		return
	}
	t.voids[v] = true
	if len(t.Voids) < voidCapacity {
		t.Voids = append(t.Voids, v)
		return
	}
	delete(t.voids, t.Voids[t.NextVoid])
	t.Voids[t.NextVoid] = v
	t.NextVoid = (t.NextVoid + 1) % voidCapacity
}

// put stores a standing entry, in place of the oldest one if the table is full.
func (t *Table) put(e Entry) {
	at := len(t.Entries)
	if at < Capacity {
		t.Entries = append(t.Entries, e)
	} else {
		at = t.Next
		t.Next = (at + 1) % Capacity
		t.forget(&t.Entries[at])
		t.Entries[at] = e
	}
	t.standing[e.Claim.Key] = at
	t.byID[e.Claim.ID] = at
}

func (t *Table) forget(old *Entry) {
	t.Horizon = max(t.Horizon, old.At)
	delete(t.byID, old.Claim.ID)
	if !old.Void {
		delete(t.standing, old.Claim.Key)
	}
}

// load builds the indexes of a table that was decoded.
func (t *Table) load() {
	if t.standing != nil {
		return
	}
	t.standing = make(map[Key]int, len(t.Entries))
	t.byID = make(map[ID]int, len(t.Entries))
	t.voids = make(map[Void]bool, len(t.Voids))
	for i := range t.Entries {
		t.byID[t.Entries[i].Claim.ID] = i
		if !t.Entries[i].Void {
			t.standing[t.Entries[i].Claim.Key] = i
		}
	}
	for _, v := range t.Voids {
		t.voids[v] = true
	}
}
