package samples

import (
	"strings"

	"github.com/amaranthfold/amaranthfold/core/sample"
	"github.com/amaranthfold/amaranthfold/core/usage"
)

// recordUsage counts the samples of an acknowledged batch for the trainer's client
// account. The log accepts one acknowledgement per batch, so each sample is counted
// once, regardless of how often it was generated, resumed or delivered. Prompt tokens
// are counted as words separated by white space.
func (o *owner) recordUsage(batch []sample.Sample) {
	cfg := o.m.Loop.Snapshot().Config
	if cfg == nil || cfg.Trainer(o.trainer) == nil {
		return
	}
	trainerCfg := cfg.Trainer(o.trainer)
	if trainerCfg.Account == "" || len(batch) == 0 {
		return
	}
	total := usage.Count{}
	for i := range batch {
		total.Requests++
		total.PromptTokens += int64(len(strings.Fields(batch[i].Prompt)))
		total.GeneratedTokens += int64(batch[i].Tokens())
	}
	o.m.Meter.Count(o.m.Clock.Wall(), usage.Subject{Account: trainerCfg.Account, Service: trainerCfg.Service}, total)
}

// recordStaleness records the staleness of each sample, in weight versions, of a batch
// that is delivered to a trainer at version.
func (o *owner) recordStaleness(batch *sample.Batch, version int64) {
	staleness := make([]int64, len(batch.Samples))
	for i := range batch.Samples {
		staleness[i] = max(version-batch.Samples[i].OldestVersion(), 0)
	}
	o.m.Measures.RecordBatch(o.trainer, batch.Number, staleness)
}
