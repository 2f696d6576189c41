package hosted

import (
	"container/list"
	"context"
	"fmt"
	"sync"

	"github.com/amaranthfold/amaranthfold/core/job"
)

// textCache keeps recently used records of the content topic, up to a number of
// bytes. It is safe for concurrent use.
type textCache struct {
	mu    sync.Mutex
	limit int64
	size  int64
	order *list.List // of cached, most recently used first
	items map[place]*list.Element
}

// place is where a record of a topic is.
type place struct {
	partition int
	offset    int64
}

type cached struct {
	at   place
	data []byte
}

func newTextCache(limit int64) *textCache {
	return &textCache{limit: limit, order: list.New(), items: map[place]*list.Element{}}
}

func (c *textCache) get(partition int, offset int64) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.items[place{partition, offset}]
	if e == nil {
		return nil, false
	}
	c.order.MoveToFront(e)
	return e.Value.(*cached).data, true
}

func (c *textCache) put(partition int, offset int64, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := place{partition, offset}
	if c.items[at] != nil || int64(len(data)) > c.limit {
		return
	}
	c.items[at] = c.order.PushFront(&cached{at, data})
	c.size += int64(len(data))
	for c.size > c.limit {
		last := c.order.Back()
		c.order.Remove(last)
		old := last.Value.(*cached)
		delete(c.items, old.at)
		c.size -= int64(len(old.data))
	}
}

// store appends records of content and returns where each one is.
func (n *Node) storeContent(ctx context.Context, records [][]byte) ([]job.Location, error) {
	first, err := n.content.append(ctx, records...)
	if err != nil {
		return nil, err
	}
	out := make([]job.Location, len(records))
	for i, r := range records {
		out[i] = job.Location{Partition: first.partition, Offset: first.offset + int64(i), Records: 1, Bytes: len(r)}
		n.texts.put(out[i].Partition, out[i].Offset, r)
	}
	return out, nil
}

// loadContent returns the records at the locations, in order. Those that follow
// each other are read together.
func (n *Node) loadContent(ctx context.Context, at []job.Location) ([][]byte, error) {
	out := make([][]byte, len(at))
	for i := range at {
		if out[i] != nil || at[i].Records == 0 {
			continue
		}
		data, err := n.loadRecord(ctx, at, i)
		if err != nil {
			return nil, err
		}
		out[i] = data
	}
	return out, nil
}

// loadRecord returns one record, and reads those that stand right behind it and
// are wanted too into the cache.
func (n *Node) loadRecord(ctx context.Context, at []job.Location, i int) ([]byte, error) {
	first := at[i]
	if data, ok := n.texts.get(first.Partition, first.Offset); ok {
		return data, nil
	}
	bytes, next := first.Bytes+recordOverhead, first.Offset+1
	for _, l := range at[i+1:] {
		if l.Records > 0 && l.Partition == first.Partition && l.Offset == next {
			bytes += l.Bytes + recordOverhead
			next++
		}
	}
	batch, err := n.store.Read(ctx, contentTopic, first.Partition, first.Offset, min(bytes, pollBytes), 0)
	if err != nil {
		return nil, err
	}
	if len(batch.Records) == 0 {
		return nil, fmt.Errorf("record %d of partition %d is missing", first.Offset, first.Partition)
	}
	for k, data := range batch.Records {
		n.texts.put(first.Partition, first.Offset+int64(k), data)
	}
	return batch.Records[0], nil
}
