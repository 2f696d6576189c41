package batch

import (
	"context"
	"errors"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/forward"
)

// jobOwner returns the account of the job of the id, as far as the log was read.
func (b *Batch) jobOwner(ctx context.Context, id string) (account string, known bool) {
	b.StateLoop.Do(ctx, func() {
		if j := b.StateLoop.State.Jobs[id]; j != nil {
			account, known = j.Account, true
		}
	})
	return account, known
}

// isNewJob reports whether a job that is not known was never submitted, as far as the log was read, and
// returns the ReadTo of its submission.
func (b *Batch) isNewJob(ctx context.Context, id string) (readTo record.Offset, isNew bool) {
	b.StateLoop.Do(ctx, func() { readTo, isNew = b.StateLoop.State.IsNew(id, b.Clock.Now()) })
	return readTo, isNew
}

// hasJob reports whether the account of the request has a job of the id, as far as the
// log was read.
func (b *Batch) hasJob(ctx context.Context, c *forward.CallerRequest, id string) (found bool) {
	b.StateLoop.Do(ctx, func() {
		j := b.StateLoop.State.Jobs[id]
		found = j != nil && j.Account == c.Account
	})
	return found
}

// KnowsJob reports whether the account of the request's key has a job of the id. It fails if this
// instance cannot be sure.
func (b *Batch) KnowsJob(c *forward.CallerRequest, id string) (bool, error) {
	account, keyFound := c.View.Catalog.AccountByKey(c.Key)
	if !keyFound {
		return false, nil
	}
	c.Account = account.Name
	ctx, cancel := context.WithTimeout(c.Request.Context(), readTimeout)
	defer cancel()
	return b.findJob(ctx, c, id)
}

var errRecordsSkipped = errors.New("the job's submission may be among records that were skipped")

// findJob reports whether the account of the request has the job. Before it returns
// false, it waits until the log is applied to its end. It fails if the log no longer held the
// submission of a job that may still be readable when this instance read it.
func (b *Batch) findJob(ctx context.Context, c *forward.CallerRequest, id string) (bool, error) {
	if b.hasJob(ctx, c, id) {
		return true, nil
	}
	if err := b.CatchUp(ctx); err != nil {
		return false, err
	}
	if _, known := b.jobOwner(ctx, id); !known && b.SkippedWithin(job.OpenRetentions*b.Settings.JobRetention) {
		return false, errRecordsSkipped
	}
	return b.hasJob(ctx, c, id), nil
}
