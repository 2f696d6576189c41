package node

import (
	"cmp"
	"container/list"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/platform"
)

// contentCache keeps recently used records of the content topic, up to a number of bytes.
// It evicts the least recently used. It is safe for concurrent use.
type contentCache struct {
	mu    sync.Mutex
	limit int64      // bytes
	size  int64      // bytes
	lru   *list.List // of *cacheEntry, most recently used first
	items map[recordPosition]*list.Element
}

// recordPosition is the partition and offset of a record in a topic.
type recordPosition struct {
	partition int
	offset    int64
}

type cacheEntry struct {
	position recordPosition
	data     []byte
}

func newContentCache(limit int64) *contentCache {
	return &contentCache{limit: limit, lru: list.New(), items: map[recordPosition]*list.Element{}}
}

func (c *contentCache) get(partition int, offset int64) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.items[recordPosition{partition, offset}]
	if e == nil {
		return nil, false
	}
	c.lru.MoveToFront(e)
	return e.Value.(*cacheEntry).data, true
}

func (c *contentCache) put(partition int, offset int64, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	position := recordPosition{partition, offset}
	if c.items[position] != nil || int64(len(data)) > c.limit {
		return
	}
	c.items[position] = c.lru.PushFront(&cacheEntry{position, data})
	c.size += int64(len(data))
	for c.size > c.limit {
		last := c.lru.Back()
		c.lru.Remove(last)
		old := last.Value.(*cacheEntry)
		delete(c.items, old.position)
		c.size -= int64(len(old.data))
	}
}

// StoreContent appends records to the content topic, in as many groups as the size of a call
// requires, caches them and returns their locations. After an error some may be stored, which
// nothing refers to.
func (n *Node) StoreContent(ctx context.Context, records [][]byte) ([]job.Location, error) {
	if err := n.contentLog.checkSizes(records); err != nil {
		return nil, err
	}
	locations := make([]job.Location, 0, len(records))
	for len(records) > 0 {
		count := groupLength(records, n.Settings.Store.CallBytes)
		first, err := n.contentLog.append(ctx, records[:count]...)
		if err != nil {
			return nil, err
		}
		for i, r := range records[:count] {
			l := job.Location{Partition: first.partition, Offset: first.offset + int64(i), Records: 1, Bytes: len(r)}
			n.contentCache.put(l.Partition, l.Offset, r)
			locations = append(locations, l)
		}
		records = records[count:]
	}
	return locations, nil
}

// groupLength returns how many of the first records fit into a call of callBytes, at least one.
func groupLength(records [][]byte, callBytes int) int {
	size := 0
	for i, r := range records {
		if size += len(r) + recordOverhead; i > 0 && size > callBytes {
			return i
		}
	}
	return len(records)
}

// LoadContent returns the record at each location, nil for a location without records.
func (n *Node) LoadContent(ctx context.Context, locations []job.Location) ([][]byte, error) {
	records, err := n.LoadAvailable(ctx, locations)
	if err != nil {
		return nil, err
	}
	return records, nil
}

// LoadAvailable is LoadContent that also returns nil for each record that cannot be read, and the
// error of one of them. It reads the partitions at the same time, and contiguous records in one
// call.
func (n *Node) LoadAvailable(ctx context.Context, locations []job.Location) ([][]byte, error) {
	byPartition := map[int][]int{}
	for i, l := range locations {
		if l.Records > 0 {
			byPartition[l.Partition] = append(byPartition[l.Partition], i)
		}
	}
	records := make([][]byte, len(locations))
	var group errgroup.Group
	for _, indices := range byPartition {
		slices.SortFunc(indices, func(a, b int) int { return cmp.Compare(locations[a].Offset, locations[b].Offset) })
		group.Go(func() error { return n.loadPartition(ctx, locations, indices, records) })
	}
	return records, group.Wait()
}

// loadPartition sets the records at the locations with the indices, which are of one partition in the
// order of their offsets. It skips records that are no longer kept, and returns at any other error.
func (n *Node) loadPartition(ctx context.Context, locations []job.Location, indices []int, records [][]byte) error {
	var skipped error
	oldest := int64(0)
	for k, i := range indices {
		if locations[i].Offset < oldest {
			continue
		}
		data, err := n.loadRecord(ctx, locations, indices[k:])
		var trimmed *platform.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			skipped, oldest = err, trimmed.OldestOffset
		case err != nil:
			return err
		}
		records[i] = data
	}
	return skipped
}

// loadRecord returns the record at the first of the locations with the indices, which are of one
// partition in the order of their offsets, from the cache or the log. A read of the log also
// fetches the contiguous records of later ones and caches them.
func (n *Node) loadRecord(ctx context.Context, locations []job.Location, indices []int) ([]byte, error) {
	first := locations[indices[0]]
	if data, ok := n.contentCache.get(first.Partition, first.Offset); ok {
		return data, nil
	}
	bytes, next := first.Bytes+recordOverhead, first.Offset+1
	for _, i := range indices[1:] {
		if l := locations[i]; l.Offset == next {
			bytes += l.Bytes + recordOverhead
			next++
		}
	}
	batch, err := n.store.Read(ctx, contentTopic, first.Partition, first.Offset, min(bytes, contentReadBytes), 0)
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
