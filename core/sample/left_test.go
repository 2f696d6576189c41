package sample_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/sample"
)

func TestLeftCountsUnfinishedSamplesByStep(t *testing.T) {
	g := NewWithT(t)
	o := sample.NewOwner(sample.Limits{MaxStaleness: 1, Running: 8, Buffered: 64, Groups: 8}, fold.Ledger{Trainer: "t"})
	g.Expect(o.Left()).To(BeEmpty())
	for _, group := range []sample.Group{
		{ID: "late", Prompt: "p", MaxTokens: 10, Size: 2, Step: 2},
		{ID: "a", Prompt: "p", MaxTokens: 100, Size: 2, Step: 1},
		{ID: "b", Prompt: "p", MaxTokens: 50, Size: 1, Step: 1},
	} {
		g.Expect(o.Submit(group)).To(Succeed())
	}
	g.Expect(o.Left()).To(Equal([]sample.StepLeft{{Step: 1, Tokens: 250}, {Step: 2, Tokens: 20}}))
}
