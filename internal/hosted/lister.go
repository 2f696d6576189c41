package hosted

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

// maxQueuedResults bounds the results that wait to be listed; runs of further tasks
// wait for a place.
const maxQueuedResults = 4096

// taskResult is a result that is to be listed.
type taskResult struct {
	job       string
	task      int
	id        string
	completed bool
	text      []byte
	versions  []int64
	at        *job.Location // set where the text is stored already
}

// resultWriter stores texts and lists results. What finishes while the store is busy
// goes out together.
type resultWriter struct {
	node  *Instance
	queue chan taskResult
}

func newResultWriter(n *Instance) *resultWriter {
	return &resultWriter{node: n, queue: make(chan taskResult, maxQueuedResults)}
}

func (l *resultWriter) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-l.queue:
			l.writeBatch(ctx, l.collectBatch(first))
		}
	}
}

func (l *resultWriter) collectBatch(first taskResult) []taskResult {
	batch, size := []taskResult{first}, len(first.text)
	for size < l.node.cfg.Settings.Store.CallBytes/2 {
		select {
		case f := <-l.queue:
			batch = append(batch, f)
			size += len(f.text)
		default:
			return batch
		}
	}
	return batch
}

// writeBatch stores the texts first: a listed result can always be read.
func (l *resultWriter) writeBatch(ctx context.Context, batch []taskResult) {
	n := l.node
	var records [][]byte
	for i := range batch {
		if batch[i].at == nil && len(batch[i].text) > 0 {
			records = append(records, batch[i].text)
		}
	}
	var at []job.Location
	if len(records) > 0 {
		var err error
		if at, err = l.retryUntilStored(ctx, func() ([]job.Location, error) { return n.storeContent(ctx, records) }); err != nil {
			n.log("results not stored", events.F("results", fmt.Sprint(len(batch))), events.F("error", err.Error()))
			return
		}
	}
	byJob := map[string]*job.Listed{}
	var order []string
	for _, f := range batch {
		e := job.Result{Task: f.task, Completed: f.completed, Versions: f.versions}
		switch {
		case f.at != nil:
			e.Location = *f.at
		case len(f.text) > 0:
			e.Location, at = at[0], at[1:]
		}
		if byJob[f.job] == nil {
			byJob[f.job] = &job.Listed{Job: f.job}
			order = append(order, f.job)
		}
		byJob[f.job].Results = append(byJob[f.job].Results, e)
	}
	for _, id := range order {
		data, err := n.encodeRecord(job.Record{Listed: byJob[id]})
		if err != nil {
			n.log("record unencodable", events.F("error", err.Error()))
			continue
		}
		if _, err := n.control.append(ctx, data); err != nil && ctx.Err() == nil {
			n.log("results not listed", events.F("job", id), events.F("error", err.Error()))
		}
	}
}

// retryUntilStored repeats a call that the store has certainly not carried out.
func (l *resultWriter) retryUntilStored(ctx context.Context, call func() ([]job.Location, error)) ([]job.Location, error) {
	for {
		at, err := call()
		if err == nil || ctx.Err() != nil || errors.Is(err, platform.ErrOutcomeUnknown) {
			return at, err
		}
		l.node.dependencyLost("content", err)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(appendBackoffMax):
		}
	}
}
