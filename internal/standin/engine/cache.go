package engine

import (
	"container/list"
	"hash/fnv"
	"strings"

	api "github.com/amaranthfold/amaranthfold/internal/engine"
)

const (
	blockTokens = 16
	blockBytes  = 1 << 20 // KV memory of a block

	// The newest 3 events are withheld and every 11th is dropped, so that clients
	// have to handle late events and gaps.
	withheldEvents       = 3
	droppedEventInterval = 11

	maxEvents = 4096 // events kept; older ones are evicted
)

// prefixCache is an LRU cache of the blocks of prompts. It holds at most maxBlocks
// block hashes, the most recently used at the front of lru, and the cache events of
// stored and evicted blocks.
type prefixCache struct {
	maxBlocks int
	lru       *list.List
	blocks    map[uint64]*list.Element
	events    []api.CacheEvent
	lastSeq   int64
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// BlockHashes returns the hash of every prefix of the prompt that consists of
// complete blocks. Each word of the prompt counts as one token.
func BlockHashes(prompt string) []uint64 {
	words := strings.Fields(prompt)
	h := fnv.New64a()
	var out []uint64
	for i, word := range words {
		_, _ = h.Write([]byte(word + " ")) // never fails
		if (i+1)%blockTokens == 0 {
			out = append(out, h.Sum64())
		}
	}
	return out
}

// admit caches the blocks of the prompt and returns the number of tokens that need
// a prefill: those after the prefix that was cached before.
func (c *prefixCache) admit(prompt string) (uncached int) {
	total := len(strings.Fields(prompt))
	cachedBlocks := 0
	missed := false
	for _, block := range BlockHashes(prompt) {
		if el, ok := c.blocks[block]; ok {
			c.lru.MoveToFront(el)
			if !missed {
				cachedBlocks++
			}
			continue
		}
		missed = true
		c.add(block)
	}
	return total - cachedBlocks*blockTokens
}

func (c *prefixCache) add(block uint64) {
	if c.maxBlocks == 0 {
		return
	}
	c.blocks[block] = c.lru.PushFront(block)
	c.recordEvent(block, true)
	if c.lru.Len() <= c.maxBlocks {
		return
	}
	oldest := c.lru.Back()
	evicted := c.lru.Remove(oldest).(uint64)
	delete(c.blocks, evicted)
	c.recordEvent(evicted, false)
}

func (c *prefixCache) recordEvent(block uint64, stored bool) {
	c.lastSeq++
	if c.lastSeq%droppedEventInterval == 0 {
		return
	}
	c.events = append(c.events, api.CacheEvent{Seq: c.lastSeq, Stored: stored, Block: block})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsAfter returns the events after seq, without the newest withheldEvents.
func (c *prefixCache) eventsAfter(seq int64) api.CacheEvents {
	out := api.CacheEvents{Next: seq, Events: []api.CacheEvent{}}
	visible := max(len(c.events)-withheldEvents, 0)
	for _, ev := range c.events[:visible] {
		if ev.Seq > seq {
			out.Events = append(out.Events, ev)
			out.Next = ev.Seq
		}
	}
	return out
}

func (c *prefixCache) bytes() int64 { return int64(c.lru.Len()) * blockBytes }
