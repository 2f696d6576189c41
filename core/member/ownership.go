package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthfold/amaranthfold/core/hash"
)

// Ownership remembers the owner of each key and follows changes of the set of
// owners: a newcomer is compared with each key's owner, and only the keys of an
// owner that has gone are decided again. Its answers equal Owner's.
type Ownership struct {
	ids    []string // sorted
	hashes []uint64 // of ids
	keys   map[string]owned
}

type owned struct {
	owner string
	score uint64
	hash  uint64 // of the key
}

// NewOwnership returns an ownership without owners.
func NewOwnership() *Ownership { return &Ownership{keys: map[string]owned{}} }

// SetOwners changes the owners. ids must be sorted.
func (o *Ownership) SetOwners(ids []string) {
	var added []string
	for _, id := range ids {
		if _, had := slices.BinarySearch(o.ids, id); !had {
			added = append(added, id)
		}
	}
	removed := len(o.ids)+len(added) > len(ids)
	if !removed && len(added) == 0 {
		return
	}
	o.ids = slices.Clone(ids)
	o.hashes = hashesOf(ids)
	newcomers := hashesOf(added)
	for key, k := range o.keys {
		if _, stays := slices.BinarySearch(ids, k.owner); !stays {
			o.keys[key] = best(k.hash, owned{hash: k.hash}, o.ids, o.hashes)
			continue
		}
		if next := best(k.hash, k, added, newcomers); next != k {
			o.keys[key] = next
		}
	}
}

// Of returns the key's owner, or "" without owners.
func (o *Ownership) Of(key string) string {
	k, known := o.keys[key]
	if !known {
		hash := xxhash.Sum64String(key)
		k = best(hash, owned{hash: hash}, o.ids, o.hashes)
		o.keys[key] = k
	}
	return k.owner
}

// Keep forgets all keys once there are far more of them than the n in use.
func (o *Ownership) Keep(n int) {
	if len(o.keys) > 2*n+minKept {
		clear(o.keys)
	}
}

const minKept = 1024 // keys

func hashesOf(ids []string) []uint64 {
	out := make([]uint64, len(ids))
	for i, id := range ids {
		out[i] = xxhash.Sum64String(id)
	}
	return out
}

// best returns the better of cur and the ids. Equal scores go to the first id
// in order, as in Owner.
func best(key uint64, cur owned, ids []string, hashes []uint64) owned {
	for i, h := range hashes {
		score := hash.Mix(key ^ h)
		if cur.owner == "" || score > cur.score || score == cur.score && ids[i] < cur.owner {
			cur = owned{owner: ids[i], score: score, hash: key}
		}
	}
	return cur
}
