package samples

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/sample"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/httpclient"
)

const (
	scoreTimeout          = 10 * time.Second // of one call
	scoreMinBackoff       = 100 * time.Millisecond
	scoreMaxBackoff       = 10 * time.Second
	maxScoreBytes         = 64 << 10 // of one response
	scoreFailuresPerEvent = 8        // failed attempts per recorded event
)

// scorerClient calls the trainers' scoring services over HTTP.
type scorerClient struct{ http *http.Client }

func newScorerClient() *scorerClient {
	return &scorerClient{&http.Client{Timeout: scoreTimeout, Transport: httpclient.Default}}
}

// scoreRequest is the body of POST /score.
type scoreRequest struct {
	Sample string `json:"sample"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// scoreReply is the response to a scoreRequest.
type scoreReply struct {
	Reward *float64 `json:"reward"`
}

var errNoReward = errors.New("the response has no reward")

// score makes one call to the scoring service at url and returns the reward.
func (c *scorerClient) score(ctx context.Context, url string, s *sample.Sample) (float64, error) {
	data, err := json.Marshal(scoreRequest{s.ID, s.Prompt, s.Text})
	if err != nil {
		return 0, fmt.Errorf("score sample %q: %w", s.ID, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/score", bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("score sample %q: %w", s.ID, err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("score sample %q: %w", s.ID, err)
	}
	defer res.Body.Close()
	var reply scoreReply
	if res.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("score sample %q: status %d", s.ID, res.StatusCode)
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, res.Body, maxScoreBytes)).Decode(&reply); err != nil {
		return 0, fmt.Errorf("score sample %q: %w", s.ID, err)
	}
	if reply.Reward == nil {
		return 0, fmt.Errorf("score sample %q: %w", s.ID, errNoReward)
	}
	return *reply.Reward, nil
}

// score returns the sample's reward, zero if the trainer has no scorer. It retries with
// exponential backoff until the scorer returns a reward. Meanwhile the sample counts as
// running, so that generation stops at the owner's limit while the scorer is unavailable
// and no sample is dropped. It fails only when the owner's term ends.
func (o *owner) score(t *config.Trainer, s *sample.Sample) (float64, error) {
	if t.Scorer == "" {
		return 0, nil
	}
	retryBackoff := newBackoff(scoreMinBackoff, scoreMaxBackoff)
	for attempt := 1; ; attempt++ {
		reward, err := o.m.scorer.score(o.ctx, t.Scorer, s)
		if err == nil {
			return reward, nil
		}
		if attempt%scoreFailuresPerEvent == 0 {
			o.m.Events.Record("scorer unavailable", events.F("trainer", t.Name), events.F("sample", s.ID), events.F("error", err.Error()))
		}
		if err := o.sleep(retryBackoff.NextBackOff()); err != nil {
			return 0, err
		}
	}
}

// newBackoff returns an exponential backoff with jitter.
func newBackoff(minInterval, maxInterval time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minInterval, maxInterval
	return b
}

// sleep waits for d. It fails if the owner's term ends first.
func (o *owner) sleep(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-o.ctx.Done():
		return o.ctx.Err()
	case <-timer.C:
		return nil
	}
}
