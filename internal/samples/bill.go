package samples

import (
	"strings"

	"github.com/amaranthfold/amaranthfold/core/sample"
	"github.com/amaranthfold/amaranthfold/core/usage"
)

// recordUsage counts the samples of an acknowledged batch for the trainer's client
// account. The ledger accepts one acknowledgement of a batch, so that each sample
// is counted once however often it was generated, resumed or handed over.
func (o *owner) recordUsage(batch []sample.Sample) {
	cfg := o.m.Loop.Snapshot().Config
	if cfg == nil || cfg.Trainer(o.trainer) == nil {
		return
	}
	t := cfg.Trainer(o.trainer)
	if t.Account == "" || len(batch) == 0 {
		return
	}
	used := usage.Count{}
	for i := range batch {
		used.Requests++
		used.PromptTokens += int64(len(strings.Fields(batch[i].Prompt)))
		used.GeneratedTokens += int64(batch[i].Tokens())
	}
	o.m.Meter.Count(o.m.Clock.Wall(), usage.Subject{Account: t.Account, Service: t.Service}, used)
}

// recordStaleness notes the staleness of a batch that is handed over at version.
func (o *owner) recordStaleness(batch *sample.Batch, version int64) {
	staleness := make([]int64, len(batch.Samples))
	for i := range batch.Samples {
		staleness[i] = max(version-batch.Samples[i].OldestVersion(), 0)
	}
	o.m.Measures.RecordBatch(o.trainer, batch.Number, staleness)
}
