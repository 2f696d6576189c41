package batch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/platform"
)

// maxQueuedResults bounds the results that wait to be recorded. A full queue blocks the
// runner's goroutine.
const maxQueuedResults = 4096

// taskResult is the result of a task, to be recorded in the log.
type taskResult struct {
	job       string
	task      int    // index in the job
	id        string // of the task
	completed bool
	output    []byte
	versions  []int64
	location  *job.Location // of the output; nil: not stored yet
	scoring   *scoring      // nil: the task is listed without a score, or its scoring has ended
	score     string
}

// needsScore reports whether the result is to be scored before it is listed.
func (r *taskResult) needsScore() bool { return r.completed && r.scoring != nil }

// resultWriter stores outputs and records results in the log. Outputs that are queued while others
// are stored are stored together in the next call. It does not wait until results are recorded: on
// a slow log that takes seconds.
type resultWriter struct {
	batch *Batch
	queue chan taskResult
	lists sync.WaitGroup // records of results that wait for the log
}

func newResultWriter(b *Batch) *resultWriter {
	return &resultWriter{batch: b, queue: make(chan taskResult, maxQueuedResults)}
}

func (w *resultWriter) run(ctx context.Context) error {
	defer w.lists.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-w.queue:
			w.writeBatch(ctx, w.collectBatch(first))
		}
	}
}

// collectBatch returns first and further queued results, until their outputs exceed half
// the size of a call.
func (w *resultWriter) collectBatch(first taskResult) []taskResult {
	batch, size := []taskResult{first}, len(first.output)
	for size < w.batch.Settings.Store.CallBytes/2 {
		select {
		case r := <-w.queue:
			batch = append(batch, r)
			size += len(r.output)
		default:
			return batch
		}
	}
	return batch
}

// writeBatch stores the outputs, then starts to record the results, so that the output of every
// recorded result can be read. Results that need a score go to the scorer instead: their
// stored outputs are recorded, so that another runner needs to score them only.
func (w *resultWriter) writeBatch(ctx context.Context, batch []taskResult) {
	b := w.batch
	var records [][]byte
	for i := range batch {
		if batch[i].location == nil && len(batch[i].output) > 0 {
			records = append(records, batch[i].output)
		}
	}
	var locations []job.Location
	if len(records) > 0 {
		var err error
		locations, err = w.retryUntilStored(ctx, func() ([]job.Location, error) { return b.StoreContent(ctx, records) })
		if neverStored(err) {
			w.writeOneByOne(ctx, batch, err)
			return
		}
		if err != nil {
			b.Log("results not stored", events.F("results", fmt.Sprint(len(batch))), events.F("error", err.Error()))
			return
		}
	}
	listed, unscored := map[string]*job.Listed{}, map[string]*job.Progress{}
	var jobIDs []string
	for _, r := range batch {
		alreadyStored := r.location != nil
		if !alreadyStored {
			r.location = &job.Location{}
			if len(r.output) > 0 {
				*r.location, locations = locations[0], locations[1:]
			}
		}
		if r.needsScore() {
			b.scorer.add(r)
			if alreadyStored {
				continue
			}
			if unscored[r.job] == nil {
				unscored[r.job] = &job.Progress{Job: r.job, Term: r.scoring.term}
			}
			unscored[r.job].Unscored = append(unscored[r.job].Unscored, job.CompleteOutput{Task: r.task, Versions: r.versions, Location: *r.location})
			continue
		}
		if listed[r.job] == nil {
			listed[r.job] = &job.Listed{Job: r.job}
			jobIDs = append(jobIDs, r.job)
		}
		listed[r.job].Results = append(listed[r.job].Results,
			job.Result{Task: r.task, Completed: r.completed, Versions: r.versions, Location: *r.location, Score: r.score})
	}
	for _, p := range unscored {
		b.appendProgress(p)
	}
	for _, id := range jobIDs {
		w.lists.Go(func() { w.list(ctx, listed[id]) })
	}
}

// list appends the record, as two or more if it is too large for one.
func (w *resultWriter) list(ctx context.Context, listed *job.Listed) {
	b := w.batch
	data, err := b.EncodeRecord(job.Record{Listed: listed})
	if err != nil {
		b.Log("record unencodable", events.F("error", err.Error()))
		return
	}
	err = b.AppendEncoded(ctx, data)
	if half := len(listed.Results) / 2; half > 0 && errors.Is(err, node.ErrTooLarge) {
		w.list(ctx, &job.Listed{Job: listed.Job, Results: listed.Results[:half]})
		w.list(ctx, &job.Listed{Job: listed.Job, Results: listed.Results[half:]})
		return
	}
	if err != nil && ctx.Err() == nil {
		b.Log("results not listed", events.F("job", listed.Job), events.F("error", err.Error()))
	}
}

// neverStored reports whether the log refuses the content whatever its state.
func neverStored(err error) bool {
	return errors.Is(err, node.ErrTooLarge) || errors.Is(err, platform.ErrInvalid)
}

// writeOneByOne writes results of which the log refuses outputs whatever its state. A task whose
// output alone is refused is given up: no runner could store it.
func (w *resultWriter) writeOneByOne(ctx context.Context, batch []taskResult, err error) {
	if len(batch) > 1 {
		for i := range batch {
			w.writeBatch(ctx, batch[i:i+1])
		}
		return
	}
	r := batch[0]
	w.batch.Log("output refused", events.F("job", r.job), events.F("task", r.id), events.F("bytes", fmt.Sprint(len(r.output))), events.F("error", err.Error()))
	r.completed, r.output, r.versions, r.scoring = false, nil, nil, nil
	w.writeBatch(ctx, []taskResult{r})
}

// retryUntilStored repeats a call until it succeeds or never can, its outcome is unknown or ctx ends.
func (w *resultWriter) retryUntilStored(ctx context.Context, call func() ([]job.Location, error)) ([]job.Location, error) {
	for {
		locations, err := call()
		if err == nil || ctx.Err() != nil || neverStored(err) || errors.Is(err, platform.ErrOutcomeUnknown) {
			return locations, err
		}
		w.batch.DependencyLost("content", err)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(node.AppendBackoffMax):
		}
	}
}
