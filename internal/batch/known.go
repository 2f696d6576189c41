package batch

import (
	"context"
	"errors"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/forward"
)

// callerOf returns the sender of a request.
func callerOf(c *forward.CallerRequest) job.Caller {
	caller := job.Caller{Open: !c.View.Catalog.HasAccounts()}
	if account, found := c.View.Catalog.AccountByKey(c.Key); found {
		caller.Account = account.Name
	}
	return caller
}

// submission returns the submission of the job of the id, nil if there is none as far as the log was
// read.
func (b *Batch) submission(ctx context.Context, id string) (s *job.Submitted) {
	b.StateLoop.Do(ctx, func() {
		if j := b.StateLoop.State.Jobs[id]; j != nil {
			copied := j.Submitted
			s = &copied
		}
	})
	return s
}

// isNewJob reports whether a job that is not known was never submitted, as far as the log was read, and
// returns the ReadTo of its submission.
func (b *Batch) isNewJob(ctx context.Context, id string) (readTo record.Offset, isNew bool) {
	b.StateLoop.Do(ctx, func() { readTo, isNew = b.StateLoop.State.IsNew(id, b.Clock.Now()) })
	return readTo, isNew
}

var (
	errRecordsSkipped = errors.New("the job's submission may be among records that were skipped")
	errLogOutdated    = errors.New("the job's submission may be among records that were not read")
)

// findJob reports whether there is a job of the id that the caller may use. Before it returns
// false, it waits until the log is applied to its end. It fails if the log no longer held the
// submission of a job that may still be readable when this instance read it.
//
// The wait costs a read of the log. Callers without a key get one only where jobs may have been
// submitted without a key.
func (b *Batch) findJob(ctx context.Context, c *forward.CallerRequest, id string) (bool, error) {
	caller := callerOf(c)
	s := b.submission(ctx, id)
	if s != nil {
		return s.MayUse(caller), nil
	}
	if caller.Identified() || c.View.Catalog.HasPublicRoute(catalog.Batch) {
		if err := b.CatchUp(ctx); err != nil {
			return false, err
		}
	} else if !b.LogCurrent() {
		return false, errLogOutdated
	}
	if s = b.submission(ctx, id); s == nil && b.SkippedWithin(job.OpenRetentions*b.Settings.JobRetention) {
		return false, errRecordsSkipped
	}
	return s != nil && s.MayUse(caller), nil
}
