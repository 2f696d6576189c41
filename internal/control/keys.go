package control

import (
	"encoding/binary"
	"iter"
	"maps"

	"github.com/amaranthfold/amaranthfold/core/fold"
)

// keyShards is a power of two. A change of one key copies only the key's shard, so that a
// grant or withdrawal among many keys does not stall the control goroutine.
const keyShards = 1024

type keyShard map[[32]byte]fold.Key

// KeyIndex finds granted keys by digest. It is immutable once published: a change returns a
// new index that shares all unchanged shards. Two key ids with the same secret share one
// entry.
type KeyIndex struct {
	shards [keyShards]keyShard
	count  int
}

// NewKeyIndex returns an index of the keys.
func NewKeyIndex(keys map[string]fold.Key) *KeyIndex {
	x := &KeyIndex{}
	for _, k := range keys {
		shard := &x.shards[shardOf(k.Digest)]
		if *shard == nil {
			*shard = keyShard{}
		}
		(*shard)[k.Digest] = k
	}
	for _, shard := range x.shards {
		x.count += len(shard)
	}
	return x
}

// Get returns the granted key with the digest and whether there is one.
func (x *KeyIndex) Get(digest [32]byte) (fold.Key, bool) {
	k, ok := x.shards[shardOf(digest)][digest]
	return k, ok
}

// Len returns the number of granted keys.
func (x *KeyIndex) Len() int { return x.count }

// All iterates over the granted keys in no particular order.
func (x *KeyIndex) All() iter.Seq[fold.Key] {
	return func(yield func(fold.Key) bool) {
		for _, shard := range x.shards {
			for _, k := range shard {
				if !yield(k) {
					return
				}
			}
		}
	}
}

// With returns an index that also holds k.
func (x *KeyIndex) With(k fold.Key) *KeyIndex {
	next, shard := x.copyShard(k.Digest)
	if _, held := shard[k.Digest]; !held {
		next.count++
	}
	shard[k.Digest] = k
	return next
}

// Without returns an index that does not hold the digest.
func (x *KeyIndex) Without(digest [32]byte) *KeyIndex {
	if _, held := x.Get(digest); !held {
		return x
	}
	next, shard := x.copyShard(digest)
	delete(shard, digest)
	next.count--
	return next
}

// copyShard returns a copy of the index that has its own copy of the digest's shard, and
// that shard.
func (x *KeyIndex) copyShard(digest [32]byte) (*KeyIndex, keyShard) {
	next := *x
	shard := &next.shards[shardOf(digest)]
	*shard = maps.Clone(*shard)
	if *shard == nil {
		*shard = keyShard{}
	}
	return &next, *shard
}

func shardOf(digest [32]byte) uint32 {
	return binary.LittleEndian.Uint32(digest[:4]) % keyShards
}

// indexKeys rebuilds the index from all keys of the state.
func (l *Loop) indexKeys() {
	l.keys = NewKeyIndex(l.state.Keys)
	l.keyDigests = make(map[string][32]byte, len(l.state.Keys))
	for id, k := range l.state.Keys {
		l.keyDigests[id] = k.Digest
	}
	l.keysVersion++
}

// keyGranted adds one key to the index.
func (l *Loop) keyGranted(id string) {
	k, held := l.state.Keys[id]
	if !held {
		return
	}
	l.keys = l.keys.With(k)
	l.keyDigests[id] = k.Digest
	l.keysVersion++
}

// keyWithdrawn removes one key from the index. Key ids with the same secret share an index
// entry, so that withdrawing one of them disables the secret, even if it is still granted
// under another id.
func (l *Loop) keyWithdrawn(id string) {
	digest, indexed := l.keyDigests[id]
	if _, held := l.state.Keys[id]; held || !indexed {
		return
	}
	l.keys = l.keys.Without(digest)
	delete(l.keyDigests, id)
	l.keysVersion++
}
