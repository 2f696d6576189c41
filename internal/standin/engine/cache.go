package engine

import (
	"container/list"
	"hash/fnv"
	"strings"

	api "github.com/amaranthfold/amaranthfold/internal/engine"
)

const (
	blockTokens       = 16
	blockBytes        = 1 << 20 // KV memory of a block
	hiddenEvents      = 3       // newest events not shown yet
	lostEventInterval = 11      // every so many events one is lost
	maxEvents         = 4096
)

// prefixCache is a least-recently-used cache of prompt prefixes by block.
type prefixCache struct {
	limit  int // blocks
	lru    *list.List
	blocks map[uint64]*list.Element
	events []api.CacheEvent
	seq    int64
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// BlockHashes returns the hash of every whole-block prefix of the prompt.
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

// admit caches the prompt's blocks and returns how many of its tokens were not
// cached.
func (c *prefixCache) admit(prompt string) (uncached int) {
	total := len(strings.Fields(prompt))
	hit := 0
	missed := false
	for _, block := range BlockHashes(prompt) {
		if el, ok := c.blocks[block]; ok {
			c.lru.MoveToFront(el)
			if !missed {
				hit++
			}
			continue
		}
		missed = true
		c.store(block)
	}
	return total - hit*blockTokens
}

func (c *prefixCache) store(block uint64) {
	if c.limit == 0 {
		return
	}
	c.blocks[block] = c.lru.PushFront(block)
	c.recordEvent(block, true)
	if c.lru.Len() <= c.limit {
		return
	}
	oldest := c.lru.Back()
	evicted := c.lru.Remove(oldest).(uint64)
	delete(c.blocks, evicted)
	c.recordEvent(evicted, false)
}

func (c *prefixCache) recordEvent(block uint64, stored bool) {
	c.seq++
	if c.seq%lostEventInterval == 0 {
		return
	}
	c.events = append(c.events, api.CacheEvent{Seq: c.seq, Stored: stored, Block: block})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsAfter returns the events after seq that are old enough to show.
func (c *prefixCache) eventsAfter(seq int64) api.CacheEvents {
	out := api.CacheEvents{Next: seq, Events: []api.CacheEvent{}}
	shown := max(len(c.events)-hiddenEvents, 0)
	for _, ev := range c.events[:shown] {
		if ev.Seq > seq {
			out.Events = append(out.Events, ev)
			out.Next = ev.Seq
		}
	}
	return out
}

func (c *prefixCache) bytes() int64 { return int64(c.lru.Len()) * blockBytes }
