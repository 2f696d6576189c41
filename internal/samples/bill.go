package samples

import (
	"strings"

	"github.com/amaranthfold/amaranthfold/core/sample"
	"github.com/amaranthfold/amaranthfold/core/usage"
)

// bill counts the samples of an acknowledged batch for the trainer's client
// account. The ledger accepts one acknowledgement of a batch, so that each sample
// is counted once however often it was generated, resumed or handed over.
func (o *owner) bill(number int64) {
	cfg := o.m.Loop.Snapshot().Config
	o.mu.Lock()
	batch := o.offered
	o.mu.Unlock()
	if batch == nil || batch.Number != number || cfg == nil || cfg.Trainer(o.trainer) == nil {
		return
	}
	t := cfg.Trainer(o.trainer)
	if t.Account == "" {
		return
	}
	used := usage.Count{}
	for i := range batch.Samples {
		used.Requests++
		used.PromptTokens += int64(len(strings.Fields(batch.Samples[i].Prompt)))
		used.GeneratedTokens += tokens(&batch.Samples[i])
	}
	o.m.Meter.Count(o.m.Clock.Wall(), usage.Subject{Account: t.Account, Service: t.Service}, used)
}

func tokens(s *sample.Sample) int64 {
	n := int64(0)
	for _, seg := range s.Segments {
		n += int64(seg.Tokens)
	}
	return n
}

// measure notes the staleness of a batch that is handed over at version.
func (o *owner) measure(batch *sample.Batch, version int64) {
	staleness := make([]int64, len(batch.Samples))
	for i := range batch.Samples {
		staleness[i] = max(version-batch.Samples[i].Oldest(), 0)
	}
	o.m.Measures.Delivered(o.trainer, batch.Number, staleness)
}
