package hosted

import (
	"container/list"
	"context"
	"fmt"
	"sync"

	"github.com/amaranthfold/amaranthfold/core/job"
)

// contentCache keeps recently used records of the content topic, up to a number of
// bytes. It is safe for concurrent use.
type contentCache struct {
	mu    sync.Mutex
	limit int64
	size  int64
	order *list.List // of cached, most recently used first
	items map[recordPosition]*list.Element
}

// recordPosition is where a record of a topic is.
type recordPosition struct {
	partition int
	offset    int64
}

type cacheEntry struct {
	at   recordPosition
	data []byte
}

func newContentCache(limit int64) *contentCache {
	return &contentCache{limit: limit, order: list.New(), items: map[recordPosition]*list.Element{}}
}

func (c *contentCache) get(partition int, offset int64) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.items[recordPosition{partition, offset}]
	if e == nil {
		return nil, false
	}
	c.order.MoveToFront(e)
	return e.Value.(*cacheEntry).data, true
}

func (c *contentCache) put(partition int, offset int64, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := recordPosition{partition, offset}
	if c.items[at] != nil || int64(len(data)) > c.limit {
		return
	}
	c.items[at] = c.order.PushFront(&cacheEntry{at, data})
	c.size += int64(len(data))
	for c.size > c.limit {
		last := c.order.Back()
		c.order.Remove(last)
		old := last.Value.(*cacheEntry)
		delete(c.items, old.at)
		c.size -= int64(len(old.data))
	}
}

// store appends records of content and returns where each one is.
func (n *Instance) storeContent(ctx context.Context, records [][]byte) ([]job.Location, error) {
	first, err := n.content.append(ctx, records...)
	if err != nil {
		return nil, err
	}
	out := make([]job.Location, len(records))
	for i, r := range records {
		out[i] = job.Location{Partition: first.partition, Offset: first.offset + int64(i), Records: 1, Bytes: len(r)}
		n.contentCache.put(out[i].Partition, out[i].Offset, r)
	}
	return out, nil
}

// loadContent returns the records at the locations, in order. Those that follow
// each other are read together.
func (n *Instance) loadContent(ctx context.Context, at []job.Location) ([][]byte, error) {
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
func (n *Instance) loadRecord(ctx context.Context, at []job.Location, i int) ([]byte, error) {
	first := at[i]
	if data, ok := n.contentCache.get(first.Partition, first.Offset); ok {
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
		n.contentCache.put(first.Partition, first.Offset+int64(k), data)
	}
	return batch.Records[0], nil
}
