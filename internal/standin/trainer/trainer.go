// Package trainer is a stand-in for a trainer: it submits groups, asks for
// batches, and keeps to the contract that exactly-once delivery rests on. It
// takes one batch of a number, names the last one that it has, and submits
// groups again when the owner says that it does not know them.
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
	waitMillis = 500
	retryDelay = 50 * time.Millisecond
)

// StatusError is an answer other than success.
type StatusError struct {
	Status int
	samples.Refusal
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s: %s", e.Status, e.Code, e.Message)
}

// Trainer is a trainer's client. It is not safe for concurrent use.
type Trainer struct {
	name, key string
	urls      []string // trainer listeners, tried in turn
	nextURL   int      // index of the listener to ask

	Version int64 // weight version that the trainer has reached
	Acked   int64 // last batch received

	outstandingGroups map[string]sample.Group // submitted and not received
	ReceivedCounts    map[string]int          // times that a sample id was taken, by id
}

// New returns a trainer that shows key to the listeners at bases.
func New(bases []string, name, key string) *Trainer {
	return &Trainer{name: name, key: key, urls: bases, Version: 1, outstandingGroups: map[string]sample.Group{}, ReceivedCounts: map[string]int{}}
}

// SetURLs changes the listeners to ask.
func (t *Trainer) SetURLs(bases []string) { t.urls, t.nextURL = bases, 0 }

// Submit adds groups and repeats the call until it has an answer.
func (t *Trainer) Submit(ctx context.Context, groups []sample.Group) error {
	for _, g := range groups {
		t.outstandingGroups[g.ID] = g
	}
	return t.retry(ctx, func() error {
		_, err := t.post(ctx, "/groups", samples.SubmitRequest{Groups: groups})
		return err
	})
}

// RequestBatch makes one request for a batch and takes nothing. The batch is nil if none
// is ready.
func (t *Trainer) RequestBatch(ctx context.Context, groups, least int) (*sample.Batch, error) {
	data, err := t.post(ctx, "/next", samples.NextRequest{Version: t.Version, MaxGroups: groups, MinGroups: least, Ack: t.Acked, WaitMillis: waitMillis})
	if err != nil || len(data) == 0 {
		return nil, err
	}
	var batch sample.Batch
	if err := json.Unmarshal(data, &batch); err != nil {
		return nil, fmt.Errorf("decode batch: %w", err)
	}
	return &batch, nil
}

// NextBatch asks until a batch has come and takes it.
func (t *Trainer) NextBatch(ctx context.Context, groups, least int) (*sample.Batch, error) {
	var batch *sample.Batch
	err := t.retry(ctx, func() error {
		var err error
		batch, err = t.RequestBatch(ctx, groups, least)
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

// Acknowledge tells the owner of the last batch without taking another.
func (t *Trainer) Acknowledge(ctx context.Context) error {
	return t.retry(ctx, func() error {
		_, err := t.RequestBatch(ctx, 0, 0)
		return err
	})
}

var errNoBatch = errors.New("no batch is ready")

// retry repeats a call while the answer says that it may succeed later.
func (t *Trainer) retry(ctx context.Context, call func() error) error {
	for {
		err := call()
		var refused *StatusError
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return fmt.Errorf("trainer %s: %w: %w", t.name, ctx.Err(), err)
		case errors.As(err, &refused) && refused.Code == "groups_unknown":
			if err := t.resubmit(ctx, refused.Groups); err != nil {
				return err
			}
		case errors.As(err, &refused) && refused.Status < http.StatusInternalServerError && refused.Status != http.StatusTooManyRequests:
			return err
		case !errors.Is(err, errNoBatch):
			t.nextURL++
			time.Sleep(retryDelay)
		}
	}
}

func (t *Trainer) resubmit(ctx context.Context, ids []string) error {
	groups := make([]sample.Group, 0, len(ids))
	for _, id := range ids {
		g, known := t.outstandingGroups[id]
		if !known {
			return fmt.Errorf("trainer %s was asked for group %q, which it has not open", t.name, id)
		}
		groups = append(groups, g)
	}
	_, err := t.post(ctx, "/groups", samples.SubmitRequest{Groups: groups})
	var refused *StatusError
	if errors.As(err, &refused) && refused.Status < http.StatusInternalServerError {
		return err
	}
	return nil // the next request says what is still missing
}

func (t *Trainer) post(ctx context.Context, path string, in any) ([]byte, error) {
	body, err := json.Marshal(in)
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
		refused := &StatusError{Status: res.StatusCode}
		var answer struct{ Error *samples.Refusal }
		if json.Unmarshal(data, &answer) == nil && answer.Error != nil {
			refused.Refusal = *answer.Error
		}
		return nil, refused
	}
	return data, nil
}
