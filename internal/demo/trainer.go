package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/amaranthfold/amaranthfold/core/sample"
	"github.com/amaranthfold/amaranthfold/internal/samples"
)

const nextWaitMillis = 500

// Trainer is a trainer's client.
type Trainer struct {
	base string
	key  string
}

// NewTrainer returns a client of the trainer listener at base that shows key.
func NewTrainer(base, name, key string) *Trainer {
	return &Trainer{base: base + "/v1/trainers/" + name, key: key}
}

// Submit adds groups.
func (t *Trainer) Submit(ctx context.Context, groups []sample.Group) error {
	_, err := t.post(ctx, "/groups", samples.SubmitRequest{Groups: groups})
	return err
}

// Next acknowledges ack and returns the next batch, or nil if none is ready.
func (t *Trainer) Next(ctx context.Context, version int64, groups int, ack int64) (*sample.Batch, error) {
	data, err := t.post(ctx, "/next", samples.NextRequest{Version: version, Groups: groups, Ack: ack, WaitMillis: nextWaitMillis})
	if err != nil || len(data) == 0 {
		return nil, err
	}
	var batch sample.Batch
	if err := json.Unmarshal(data, &batch); err != nil {
		return nil, fmt.Errorf("decode batch: %w", err)
	}
	return &batch, nil
}

func (t *Trainer) post(ctx context.Context, path string, in any) ([]byte, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.base+path, bytes.NewReader(body))
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
		return nil, fmt.Errorf("trainer call %s: status %d: %s", path, res.StatusCode, bytes.TrimSpace(data))
	}
	return data, nil
}
