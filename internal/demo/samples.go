package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/sample"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/samples"
	engines "github.com/amaranthfold/amaranthfold/internal/standin/engine"
	"github.com/amaranthfold/amaranthfold/internal/standin/trainer"
)

const (
	stepGroups    = 2
	stepGroupSize = 4
	sampleTokens  = 120
	weightSteps   = 3
	sampleWait    = 20 * time.Second // bounds a scenario that has gone wrong
	pollInterval  = 5 * time.Millisecond
)

// training is the site's first trainer with what it has done so far.
type training struct {
	*trainer.Trainer
	config config.Trainer
	model  string
	steps  int
}

func (s *site) newTraining() *training {
	t := s.cfg.Trainers[0]
	last := s.announce.TrainerURLs[len(s.announce.TrainerURLs)-1:]
	return &training{
		Trainer: trainer.New(last, t.Name, s.keyOf(t.Account)), config: t, model: s.cfg.Service(t.Service).Model,
	}
}

// submit adds the groups of one more step.
func (t *training) submit(ctx context.Context) error {
	t.steps++
	var groups []sample.Group
	for i := range stepGroups {
		groups = append(groups, sample.Group{
			ID: fmt.Sprintf("step%d-g%d", t.steps, i), Prompt: fmt.Sprintf("step %d, series %d", t.steps, i),
			MaxTokens: sampleTokens, Size: stepGroupSize, Step: int64(t.steps),
		})
	}
	return t.Submit(ctx, groups)
}

// trainer takes one step's samples through an instance that need not own it.
func (s *site) trainer(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sampleWait)
	defer cancel()
	s.training = s.newTraining()
	if err := s.training.submit(ctx); err != nil {
		return err
	}
	if err := s.takeStep(ctx); err != nil {
		return err
	}
	return s.training.Acknowledge(ctx)
}

// takeStep takes a whole step's batch and checks it.
func (s *site) takeStep(ctx context.Context) error {
	batch, err := s.training.NextBatch(ctx, stepGroups, stepGroups)
	if err != nil {
		return err
	}
	s.checkBatch(batch)
	return nil
}

func (s *site) checkBatch(batch *sample.Batch) {
	c := s.training
	ran := s.generatedTokens()
	for i := range batch.Samples {
		got := &batch.Samples[i]
		s.tally.check(VersionsNamed, versionsMatch(got, ran), "sample %s has segments %v, which no engine ran", got.ID, got.Segments)
		s.tally.check(StalenessBound, c.Version-got.OldestVersion() <= int64(c.config.MaxStaleness), "sample %s is from version %d, the trainer at %d", got.ID, got.OldestVersion(), c.Version)
		s.tally.check(DeliveredOnce, c.ReceivedCounts[got.ID] == 1, "sample %s was delivered %d times", got.ID, c.ReceivedCounts[got.ID])
		want := engines.Text(got.Prompt, samples.Seed(got.ID), sampleTokens)
		s.tally.check(VersionsNamed, got.Text == want, "sample %s is %q, want %q", got.ID, got.Text, want)
	}
}

// generatedToken is one token that an engine generated.
type generatedToken struct {
	prompt  string
	seed    int64
	index   int
	version int64
}

// generatedTokens collects what all engines of the site say they generated.
func (s *site) generatedTokens() map[generatedToken]bool {
	ran := map[generatedToken]bool{}
	for _, e := range s.Engines() {
		for _, r := range e.Generations() {
			index := r.From
			for _, seg := range r.Segments {
				for range seg.Tokens {
					ran[generatedToken{r.Prompt, r.Seed, index, seg.Version}] = true
					index++
				}
			}
		}
	}
	return ran
}

// versionsMatch reports whether an engine ran each token with the version named.
func versionsMatch(got *sample.Sample, ran map[generatedToken]bool) bool {
	index := 0
	for _, seg := range got.Segments {
		for range seg.Tokens {
			if seg.Version < 1 || !ran[generatedToken{got.Prompt, samples.Seed(got.ID), index, seg.Version}] {
				return false
			}
			index++
		}
	}
	return index == sampleTokens
}

// publish makes one more version the newest while samples are being generated.
func (s *site) publish(ctx context.Context) error {
	for running := 0; running == 0; {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		for _, e := range s.Engines() {
			running += e.Running()
		}
		time.Sleep(pollInterval)
	}
	s.Weights.Publish(s.training.model, s.Weights.Latest(s.training.model)+1)
	return nil
}

// weights publishes a version in the middle of each step. In the second, one
// engine fails its swap half way.
func (s *site) weights(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sampleWait)
	defer cancel()
	for step := range weightSteps {
		if step == 1 {
			s.failOneSwap()
		}
		if err := s.training.submit(ctx); err != nil {
			return err
		}
		if err := s.publish(ctx); err != nil {
			return err
		}
		if err := s.takeStep(ctx); err != nil {
			return err
		}
		s.training.Version = s.Weights.Latest(s.training.model)
	}
	return s.training.Acknowledge(ctx)
}

func (s *site) failOneSwap() {
	for _, e := range s.Engines() {
		if !e.Stopped() {
			e.FailWeightSwaps(1, true)
			return
		}
	}
}

// staleBatch loses the answer with a batch, then moves the trainer past the
// bound: the same batch must come with samples of newer weights.
func (s *site) staleBatch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sampleWait)
	defer cancel()
	first, err := s.dropBatchResponse(ctx)
	if err != nil {
		return err
	}
	newest := s.Weights.Latest(s.training.model) + int64(s.training.config.MaxStaleness) + 1
	s.Weights.Publish(s.training.model, newest)
	s.training.Version = newest
	if err := s.receiveAgain(ctx, first); err != nil {
		return err
	}
	return s.training.Acknowledge(ctx)
}

// dropBatchResponse has a batch offered and drops the answer.
func (s *site) dropBatchResponse(ctx context.Context) (*sample.Batch, error) {
	if err := s.training.submit(ctx); err != nil {
		return nil, err
	}
	for {
		batch, err := s.training.RequestBatch(ctx, stepGroups, stepGroups)
		if err != nil || batch != nil {
			return batch, err
		}
	}
}

// receiveAgain takes the batch that was offered first and checks that it is the
// same one.
func (s *site) receiveAgain(ctx context.Context, first *sample.Batch) error {
	again, err := s.training.NextBatch(ctx, stepGroups, stepGroups)
	if err != nil {
		return err
	}
	same := again.Number == first.Number && len(again.Samples) == len(first.Samples)
	for i := 0; same && i < len(first.Samples); i++ {
		same = again.Samples[i].ID == first.Samples[i].ID
	}
	s.tally.check(DeliveredOnce, same, "batch %d was offered again as batch %d with other samples", first.Number, again.Number)
	s.checkBatch(again)
	return nil
}

// ownerLost kills the trainer's owner with a batch open.
func (s *site) ownerLost(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sampleWait)
	defer cancel()
	first, err := s.dropBatchResponse(ctx)
	if err != nil {
		return err
	}
	for _, m := range s.Instances() {
		if _, held := m.Loop.Held(control.TrainerLease(s.training.config.Name), 0); !held {
			continue
		}
		s.KillInstance(m.ID)
		if _, err := s.AddInstance(context.WithoutCancel(ctx)); err != nil {
			return err
		}
	}
	s.announceMembers()
	if err := s.receiveAgain(ctx, first); err != nil {
		return err
	}
	return s.training.Acknowledge(ctx)
}

// announceMembers brings the announcement's addresses, and those that the
// trainer asks, up to date.
func (s *site) announceMembers() {
	s.announce.CallerURLs, s.announce.OperatorURLs, s.announce.TrainerURLs = nil, nil, nil
	for _, m := range s.Instances() {
		s.announce.CallerURLs = append(s.announce.CallerURLs, m.CallerURL())
		s.announce.OperatorURLs = append(s.announce.OperatorURLs, m.OperatorURL())
		s.announce.TrainerURLs = append(s.announce.TrainerURLs, m.TrainerURL())
	}
	s.training.SetURLs(s.announce.TrainerURLs)
}
