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
	eventLag    = 3       // newest events not shown yet
	eventGap    = 11      // every so many events one is lost
	eventsKept  = 4096
)

// prefixCache is a least-recently-used cache of prompt prefixes by block.
type prefixCache struct {
	limit  int // blocks
	order  *list.List
	blocks map[uint64]*list.Element
	events []api.CacheEvent
	seq    int64
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: map[uint64]*list.Element{}}
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
			c.order.MoveToFront(el)
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
	c.blocks[block] = c.order.PushFront(block)
	c.note(block, true)
	if c.order.Len() <= c.limit {
		return
	}
	oldest := c.order.Back()
	evicted := c.order.Remove(oldest).(uint64)
	delete(c.blocks, evicted)
	c.note(evicted, false)
}

func (c *prefixCache) note(block uint64, stored bool) {
	c.seq++
	if c.seq%eventGap == 0 {
		return
	}
	c.events = append(c.events, api.CacheEvent{Seq: c.seq, Stored: stored, Block: block})
	if len(c.events) > eventsKept {
		c.events = c.events[len(c.events)-eventsKept:]
	}
}

// after returns the events after seq that are old enough to show.
func (c *prefixCache) after(seq int64) api.CacheEvents {
	out := api.CacheEvents{Next: seq, Events: []api.CacheEvent{}}
	shown := max(len(c.events)-eventLag, 0)
	for _, ev := range c.events[:shown] {
		if ev.Seq > seq {
			out.Events = append(out.Events, ev)
			out.Next = ev.Seq
		}
	}
	return out
}

func (c *prefixCache) bytes() int64 { return int64(c.order.Len()) * blockBytes }
