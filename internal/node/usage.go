package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

// usageTopic holds the counts of requests, which every instance appends all the time and only the
// holder of the controller lease reads. In the control topic they would hold up the heartbeats and
// results while the log is slow.
const usageTopic = "usage"

// AppendUsage appends counts to the usage topic and waits until it has them or ctx ends. A count
// may stand there twice and in any order: it replaces a smaller one of the same writer.
func (n *Node) AppendUsage(ctx context.Context, counts []job.UsageCounted) error {
	records := make([][]byte, len(counts))
	for i := range counts {
		var err error
		if records[i], err = n.EncodeRecord(job.Record{UsageCounted: &counts[i]}); err != nil {
			return err
		}
	}
	_, err := n.usageLog.append(ctx, records...)
	return err
}

// UsageReader reads the usage topic. It is not safe for concurrent use.
type UsageReader struct {
	node *Node
	next []int64 // by partition
}

// NewUsageReader returns a reader from the oldest record on.
func NewUsageReader(n *Node) *UsageReader {
	return &UsageReader{node: n, next: make([]int64, max(1, n.Settings.Store.Partitions))}
}

// CatchUp applies the counts that the topic contains at the call to the state. If that takes longer
// than limit or a partition cannot be read, it applies what it has read and returns an error.
func (u *UsageReader) CatchUp(ctx context.Context, limit time.Duration) error {
	read := make([][][]byte, len(u.next))
	readCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var group errgroup.Group
	for part := range u.next {
		group.Go(func() error {
			var err error
			read[part], err = u.readToEnd(readCtx, part)
			return err
		})
	}
	err := group.Wait()
	u.node.StateLoop.Do(ctx, func() {
		for part, records := range read {
			u.next[part] += int64(len(records))
			for _, data := range records {
				r, err := job.Decode(data)
				if err != nil || r.UsageCounted == nil {
					u.node.Log("topic unreadable", events.F("topic", usageTopic), events.F("error", fmt.Sprint(err)))
					continue
				}
				u.node.StateLoop.State.Apply(0, u.node.Clock.Now(), r)
			}
		}
	})
	return err
}

// readToEnd returns the records of a partition from the next one to its end at the call.
func (u *UsageReader) readToEnd(ctx context.Context, part int) (records [][]byte, err error) {
	for end := int64(-1); end < 0 || u.next[part]+int64(len(records)) < end; {
		batch, err := u.node.store.Read(ctx, usageTopic, part, u.next[part]+int64(len(records)), contentReadBytes, 0)
		var trimmed *platform.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			u.next[part] = trimmed.OldestOffset - int64(len(records))
			continue
		case err != nil:
			return records, err
		case end < 0:
			end = batch.EndOffset
		}
		records = append(records, batch.Records...)
		if len(batch.Records) == 0 {
			break
		}
	}
	return records, nil
}
