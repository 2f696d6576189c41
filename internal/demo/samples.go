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
	groupsPerStep   = 2
	samplesPerGroup = 4
	sampleTokens    = 120
	weightSteps     = 3
	sampleTimeout   = 20 * time.Second // of one scenario, so that a failed one ends
	pollInterval    = 5 * time.Millisecond
)

// training is the client of the deployment's first trainer.
type training struct {
	*trainer.Trainer
	config config.Trainer
	model  string
	steps  int // submitted so far
}

// newTraining returns a client of the first trainer that calls the last instance.
func (d *deployment) newTraining() *training {
	t := d.cfg.Trainers[0]
	lastURL := d.connection.TrainerURLs[len(d.connection.TrainerURLs)-1:]
	return &training{
		Trainer: trainer.New(lastURL, t.Name, d.keyOf(t.Account)), config: t, model: d.cfg.Service(t.Service).Model,
	}
}

// submit adds the groups of one more step.
func (t *training) submit(ctx context.Context) error {
	t.steps++
	var groups []sample.Group
	for i := range groupsPerStep {
		groups = append(groups, sample.Group{
			ID: fmt.Sprintf("step%d-g%d", t.steps, i), Prompt: fmt.Sprintf("step %d, series %d", t.steps, i),
			MaxTokens: sampleTokens, Size: samplesPerGroup, Step: int64(t.steps),
		})
	}
	return t.Submit(ctx, groups)
}

// trainOneStep submits one step and receives its samples, both through the last instance,
// which need not be the trainer's owner.
func (d *deployment) trainOneStep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	d.training = d.newTraining()
	if err := d.training.submit(ctx); err != nil {
		return err
	}
	if err := d.receiveStep(ctx); err != nil {
		return err
	}
	return d.training.Acknowledge(ctx)
}

// receiveStep receives one batch with all groups of a step and checks it.
func (d *deployment) receiveStep(ctx context.Context) error {
	batch, err := d.training.NextBatch(ctx, groupsPerStep, groupsPerStep)
	if err != nil {
		return err
	}
	d.checkBatch(batch)
	return nil
}

// checkBatch checks versions, staleness, delivery count and text of each sample.
func (d *deployment) checkBatch(batch *sample.Batch) {
	tr := d.training
	generated := d.generatedTokens()
	for i := range batch.Samples {
		got := &batch.Samples[i]
		d.results.check(VersionsReported, versionsMatch(got, generated), "sample %s has segments %v that no engine generated", got.ID, got.Segments)
		d.results.check(StalenessLimit, tr.Version-got.OldestVersion() <= int64(tr.config.MaxStaleness), "sample %s is from version %d and the trainer is at version %d", got.ID, got.OldestVersion(), tr.Version)
		d.results.check(DeliveredOnce, tr.ReceivedCounts[got.ID] == 1, "sample %s was delivered %d times", got.ID, tr.ReceivedCounts[got.ID])
		want := engines.Text(got.Prompt, samples.Seed(got.ID), sampleTokens)
		d.results.check(VersionsReported, got.Text == want, "sample %s is %q, want %q", got.ID, got.Text, want)
	}
}

// generatedToken is one token that an engine generated.
type generatedToken struct {
	prompt  string
	seed    int64
	index   int
	version int64
}

// generatedTokens returns the tokens that the engines of the deployment have recorded as
// generated.
func (d *deployment) generatedTokens() map[generatedToken]bool {
	generated := map[generatedToken]bool{}
	for _, e := range d.Engines() {
		for _, r := range e.Generations() {
			index := r.From
			for _, seg := range r.Segments {
				for range seg.Tokens {
					generated[generatedToken{r.Prompt, r.Seed, index, seg.Version}] = true
					index++
				}
			}
		}
	}
	return generated
}

// versionsMatch reports whether the sample is complete and an engine generated each of
// its tokens with the weight version that the sample reports for it.
func versionsMatch(got *sample.Sample, generated map[generatedToken]bool) bool {
	index := 0
	for _, seg := range got.Segments {
		for range seg.Tokens {
			if seg.Version < 1 || !generated[generatedToken{got.Prompt, samples.Seed(got.ID), index, seg.Version}] {
				return false
			}
			index++
		}
	}
	return index == sampleTokens
}

// publish waits until an engine is generating, then publishes the next weight version.
func (d *deployment) publish(ctx context.Context) error {
	for running := 0; running == 0; {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		for _, e := range d.Engines() {
			running += e.Running()
		}
		time.Sleep(pollInterval)
	}
	d.Weights.Publish(d.training.model, d.Weights.Latest(d.training.model)+1)
	return nil
}

// publishDuringSteps publishes a weight version in the middle of each step. In the second
// step, a weight swap of one engine fails half way.
func (d *deployment) publishDuringSteps(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	for step := range weightSteps {
		if step == 1 {
			d.failOneWeightSwap()
		}
		if err := d.training.submit(ctx); err != nil {
			return err
		}
		if err := d.publish(ctx); err != nil {
			return err
		}
		if err := d.receiveStep(ctx); err != nil {
			return err
		}
		d.training.Version = d.Weights.Latest(d.training.model)
	}
	return d.training.Acknowledge(ctx)
}

// failOneWeightSwap makes the next weight swap of one running engine fail half way.
func (d *deployment) failOneWeightSwap() {
	for _, e := range d.Engines() {
		if !e.Stopped() {
			e.FailWeightSwaps(1, true)
			return
		}
	}
}

// staleBatch drops the response with a batch, then raises the trainer's version until the
// samples of the batch exceed the staleness limit. The batch must be delivered again with
// the same number and sample ids, and with samples of newer weights.
func (d *deployment) staleBatch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	first, err := d.dropBatchResponse(ctx)
	if err != nil {
		return err
	}
	newest := d.Weights.Latest(d.training.model) + int64(d.training.config.MaxStaleness) + 1
	d.Weights.Publish(d.training.model, newest)
	d.training.Version = newest
	if err := d.receiveAgain(ctx, first); err != nil {
		return err
	}
	return d.training.Acknowledge(ctx)
}

// dropBatchResponse submits a step, requests its batch and does not acknowledge it, as if
// the response had been lost. It returns the batch.
func (d *deployment) dropBatchResponse(ctx context.Context) (*sample.Batch, error) {
	if err := d.training.submit(ctx); err != nil {
		return nil, err
	}
	for {
		batch, err := d.training.RequestBatch(ctx, groupsPerStep, groupsPerStep)
		if err != nil || batch != nil {
			return batch, err
		}
	}
}

// receiveAgain receives the next batch and checks that it has the number and the sample
// ids of the first one.
func (d *deployment) receiveAgain(ctx context.Context, first *sample.Batch) error {
	again, err := d.training.NextBatch(ctx, groupsPerStep, groupsPerStep)
	if err != nil {
		return err
	}
	same := again.Number == first.Number && len(again.Samples) == len(first.Samples)
	for i := 0; same && i < len(first.Samples); i++ {
		same = again.Samples[i].ID == first.Samples[i].ID
	}
	d.results.check(DeliveredOnce, same, "batch %d was delivered again as batch %d or with other samples", first.Number, again.Number)
	d.checkBatch(again)
	return nil
}

// killTrainerOwner kills the trainer's owner while a batch is not acknowledged, and
// starts another instance. The same batch must be delivered again.
func (d *deployment) killTrainerOwner(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	first, err := d.dropBatchResponse(ctx)
	if err != nil {
		return err
	}
	for _, inst := range d.Instances() {
		if _, held := inst.Loop.Held(control.TrainerLease(d.training.config.Name), 0); !held {
			continue
		}
		d.KillInstance(inst.ID)
		if _, err := d.AddInstance(context.WithoutCancel(ctx)); err != nil {
			return err
		}
	}
	d.updateURLs()
	if err := d.receiveAgain(ctx, first); err != nil {
		return err
	}
	return d.training.Acknowledge(ctx)
}

// updateURLs sets the URLs of the connection and of the trainer to those of the current
// instances.
func (d *deployment) updateURLs() {
	d.connection.CallerURLs, d.connection.OperatorURLs, d.connection.TrainerURLs = nil, nil, nil
	for _, inst := range d.Instances() {
		d.connection.CallerURLs = append(d.connection.CallerURLs, inst.CallerURL())
		d.connection.OperatorURLs = append(d.connection.OperatorURLs, inst.OperatorURL())
		d.connection.TrainerURLs = append(d.connection.TrainerURLs, inst.TrainerURL())
	}
	d.training.SetURLs(d.connection.TrainerURLs)
}
