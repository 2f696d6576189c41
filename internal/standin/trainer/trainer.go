// Package trainer is a stand-in for a trainer: a client that submits groups and
// requests batches. It follows the client's side of exactly-once delivery: it
// accepts one batch per batch number, acknowledges the last received batch by its
// number in the next request, and resubmits groups that the owner of the trainer
// reports as unknown. Calls are retried at the next listener after transport errors,
// 5xx and 429; any other status below 500 ends them.
package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/amaranthfold/amaranthfold/core/sample"
	"github.com/amaranthfold/amaranthfold/internal/samples"
)

const (
	batchWaitMillis = 500 // longest time that the listener waits for a batch to be ready
	retryDelay      = 50 * time.Millisecond
)

// StatusError is a response with a status other than 2xx.
type StatusError struct {
	Status int
	samples.Refusal
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s: %s", e.Status, e.Code, e.Message)
}

// Trainer is the client of one trainer. It holds the trainer's weight version, the number
// of the last received batch and the groups that have not been received. It is not safe
// for concurrent use.
type Trainer struct {
	name, key string
	urls      []string // trainer listeners, used in turn
	nextURL   int      // index of the listener in use, modulo len(urls)

	Version int64 // weight version that the trainer has reached
	Acked   int64 // number of the last batch received

	outstandingGroups map[string]sample.Group // submitted and not yet received, by group id
	ReceivedCounts    map[string]int          // how often each sample was received, by sample id
}

// New returns a trainer that calls the listeners at urls and authenticates with key.
func New(urls []string, name, key string) *Trainer {
	return &Trainer{name: name, key: key, urls: urls, Version: 1, outstandingGroups: map[string]sample.Group{}, ReceivedCounts: map[string]int{}}
}

// SetURLs replaces the listeners and starts with the first one.
func (t *Trainer) SetURLs(urls []string) { t.urls, t.nextURL = urls, 0 }

// Submit submits groups, with the retries that the package comment describes.
func (t *Trainer) Submit(ctx context.Context, groups []sample.Group) error {
	for _, g := range groups {
		t.outstandingGroups[g.ID] = g
	}
	return t.retry(ctx, func() error {
		_, err := t.post(ctx, "/groups", samples.SubmitRequest{Groups: groups})
		return err
	})
}

// RequestBatch makes one request for a batch. It does not mark the batch as
// received: the next request still acknowledges the earlier one. The batch is nil
// if none is ready.
func (t *Trainer) RequestBatch(ctx context.Context, maxGroups, minGroups int) (*sample.Batch, error) {
	data, err := t.post(ctx, "/next", samples.NextRequest{Version: t.Version, MaxGroups: maxGroups, MinGroups: minGroups, Ack: t.Acked, WaitMillis: batchWaitMillis})
	if err != nil || len(data) == 0 {
		return nil, err
	}
	var batch sample.Batch
	if err := json.Unmarshal(data, &batch); err != nil {
		return nil, fmt.Errorf("decode batch: %w", err)
	}
	return &batch, nil
}

// NextBatch requests a batch until one is ready, and marks it as received.
func (t *Trainer) NextBatch(ctx context.Context, maxGroups, minGroups int) (*sample.Batch, error) {
	var batch *sample.Batch
	err := t.retry(ctx, func() error {
		var err error
		batch, err = t.RequestBatch(ctx, maxGroups, minGroups)
		if err == nil && batch == nil {
			return errNoBatch
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	t.Acked = batch.Number
	for i := range batch.Samples {
		t.ReceivedCounts[batch.Samples[i].ID]++
		delete(t.outstandingGroups, batch.Samples[i].Group)
	}
	return batch, nil
}

// Acknowledge acknowledges the last received batch without requesting another.
func (t *Trainer) Acknowledge(ctx context.Context) error {
	return t.retry(ctx, func() error {
		_, err := t.RequestBatch(ctx, 0, 0)
		return err
	})
}

var errNoBatch = errors.New("no batch is ready")

// retry repeats a call until it succeeds, ctx ends or the response has a status that is
// not retried. It resubmits groups that the response reports as unknown. If no batch is
// ready, it repeats the call without a delay.
func (t *Trainer) retry(ctx context.Context, call func() error) error {
	for {
		err := call()
		var statusErr *StatusError
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return fmt.Errorf("trainer %s: %w: %w", t.name, ctx.Err(), err)
		case errors.As(err, &statusErr) && statusErr.Code == "groups_unknown":
			if err := t.resubmit(ctx, statusErr.Groups); err != nil {
				return err
			}
		case errors.As(err, &statusErr) && statusErr.Status < http.StatusInternalServerError && statusErr.Status != http.StatusTooManyRequests:
			return err
		case !errors.Is(err, errNoBatch):
			t.nextURL++
			time.Sleep(retryDelay)
		}
	}
}

// resubmit submits the groups again, in one attempt. It returns no error for a transport
// error or a 5xx.
func (t *Trainer) resubmit(ctx context.Context, ids []string) error {
	groups := make([]sample.Group, 0, len(ids))
	for _, id := range ids {
		g, ok := t.outstandingGroups[id]
		if !ok {
			return fmt.Errorf("trainer %s was asked to resubmit group %q, which is not outstanding", t.name, id)
		}
		groups = append(groups, g)
	}
	_, err := t.post(ctx, "/groups", samples.SubmitRequest{Groups: groups})
	var statusErr *StatusError
	if errors.As(err, &statusErr) && statusErr.Status < http.StatusInternalServerError {
		return err
	}
	return nil // the response to the next request reports groups that are still unknown
}

func (t *Trainer) post(ctx context.Context, path string, payload any) ([]byte, error) {
	body, err := json.Marshal(payload)
	if err != nil {
		return nil, err
	}
	url := t.urls[t.nextURL%len(t.urls)] + "/v1/trainers/" + t.name + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+t.key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	if res.StatusCode/100 != 2 {
		statusErr := &StatusError{Status: res.StatusCode}
		var response struct{ Error *samples.Refusal }
		if json.Unmarshal(data, &response) == nil && response.Error != nil {
			statusErr.Refusal = *response.Error
		}
		return nil, statusErr
	}
	return data, nil
}
