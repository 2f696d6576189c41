package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthfold/amaranthfold/core/hash"
)

// OwnerCache remembers the owner of each key and follows changes of the set of
// owners: a newcomer is compared with each key's owner, and only the keys of an
// owner that has gone are decided again. Its answers equal Owner's.
type OwnerCache struct {
	ids    []string // sorted
	hashes []uint64 // of ids
	keys   map[string]ownerScore
}

type ownerScore struct {
	owner string
	score uint64
	hash  uint64 // of the key
}

// NewOwnerCache returns an ownership without owners.
func NewOwnerCache() *OwnerCache { return &OwnerCache{keys: map[string]ownerScore{}} }

// SetOwners changes the owners. ids must be sorted.
func (o *OwnerCache) SetOwners(ids []string) {
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
			o.keys[key] = best(k.hash, ownerScore{hash: k.hash}, o.ids, o.hashes)
			continue
		}
		if next := best(k.hash, k, added, newcomers); next != k {
			o.keys[key] = next
		}
	}
}

// Owner returns the key's owner, or "" without owners.
func (o *OwnerCache) Owner(key string) string {
	k, known := o.keys[key]
	if !known {
		hash := xxhash.Sum64String(key)
		k = best(hash, ownerScore{hash: hash}, o.ids, o.hashes)
		o.keys[key] = k
	}
	return k.owner
}

// Trim forgets all keys once there are far more of them than the n in use.
func (o *OwnerCache) Trim(n int) {
	if len(o.keys) > 2*n+minCachedKeys {
		clear(o.keys)
	}
}

const minCachedKeys = 1024 // keys

func hashesOf(ids []string) []uint64 {
	out := make([]uint64, len(ids))
	for i, id := range ids {
		out[i] = xxhash.Sum64String(id)
	}
	return out
}

// best returns the better of cur and the ids. Equal scores go to the first id
// in order, as in Owner.
func best(key uint64, cur ownerScore, ids []string, hashes []uint64) ownerScore {
	for i, h := range hashes {
		score := hash.Mix(key ^ h)
		if cur.owner == "" || score > cur.score || score == cur.score && ids[i] < cur.owner {
			cur = ownerScore{owner: ids[i], score: score, hash: key}
		}
	}
	return cur
}
