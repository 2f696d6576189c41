package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthfold/amaranthfold/core/hash"
)

// OwnerCache caches the owner of each key and updates it when the set of owners changes:
// an added owner is compared with the owner of each key, and only the keys of a removed
// owner are compared with all owners again. Its results equal those of Owner.
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

// NewOwnerCache returns a cache without owners and keys.
func NewOwnerCache() *OwnerCache { return &OwnerCache{keys: map[string]ownerScore{}} }

// SetOwners replaces the owners and updates the cached keys. ids must be sorted.
func (o *OwnerCache) SetOwners(ids []string) {
	var added []string
	for _, id := range ids {
		if _, found := slices.BinarySearch(o.ids, id); !found {
			added = append(added, id)
		}
	}
	removed := len(o.ids)+len(added) > len(ids)
	if !removed && len(added) == 0 {
		return
	}
	o.ids = slices.Clone(ids)
	o.hashes = hashesOf(ids)
	addedHashes := hashesOf(added)
	for key, cached := range o.keys {
		if _, remains := slices.BinarySearch(ids, cached.owner); !remains {
			o.keys[key] = bestOwner(cached.hash, ownerScore{hash: cached.hash}, o.ids, o.hashes)
			continue
		}
		if better := bestOwner(cached.hash, cached, added, addedHashes); better != cached {
			o.keys[key] = better
		}
	}
}

// Owner returns the key's owner, or "" without owners, and caches it.
func (o *OwnerCache) Owner(key string) string {
	cached, exists := o.keys[key]
	if !exists {
		keyHash := xxhash.Sum64String(key)
		cached = bestOwner(keyHash, ownerScore{hash: keyHash}, o.ids, o.hashes)
		o.keys[key] = cached
	}
	return cached.owner
}

// Trim clears the cache if it holds more than 2n+minCachedKeys keys, where n is the number
// of keys in use.
func (o *OwnerCache) Trim(n int) {
	if len(o.keys) > 2*n+minCachedKeys {
		clear(o.keys)
	}
}

// minCachedKeys is the number of keys that are cached even if few are in use.
const minCachedKeys = 1024

func hashesOf(ids []string) []uint64 {
	out := make([]uint64, len(ids))
	for i, id := range ids {
		out[i] = xxhash.Sum64String(id)
	}
	return out
}

// bestOwner returns the owner with the highest score for the key among cur and ids. On
// equal scores the first id in sorted order is the owner, as in Owner.
func bestOwner(keyHash uint64, cur ownerScore, ids []string, hashes []uint64) ownerScore {
	for i, h := range hashes {
		score := hash.Mix(keyHash ^ h)
		if cur.owner == "" || score > cur.score || score == cur.score && ids[i] < cur.owner {
			cur = ownerScore{owner: ids[i], score: score, hash: keyHash}
		}
	}
	return cur
}
