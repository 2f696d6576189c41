package sample_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/sample"
)

func TestRemainingCountsUnfinishedSamplesByStep(t *testing.T) {
	g := NewWithT(t)
	o := sample.NewOwner(sample.Limits{MaxStaleness: 1, MaxRunning: 8, MaxBuffered: 64, MaxGroups: 8}, fold.DeliveryState{Trainer: "t"})
	g.Expect(o.Remaining()).To(BeEmpty())
	for _, group := range []sample.Group{
		{ID: "late", Prompt: "p", MaxTokens: 10, Size: 2, Step: 2},
		{ID: "a", Prompt: "p", MaxTokens: 100, Size: 2, Step: 1},
		{ID: "b", Prompt: "p", MaxTokens: 50, Size: 1, Step: 1},
	} {
		g.Expect(o.Submit(group)).To(Succeed())
	}
	g.Expect(o.Remaining()).To(Equal([]sample.StepRemaining{{Step: 1, Tokens: 250}, {Step: 2, Tokens: 20}}))
}
