package metering_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/plan"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/usage"
	"github.com/amaranthfold/amaranthfold/internal/metering"
)

// take hands a batch to the exchange as a peer's message.
func take(g *WithT, e *metering.Exchange, b metering.ReportBatch) {
	body, err := record.Marshal(b)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = e.HandleBatch(body)
	g.Expect(err).NotTo(HaveOccurred())
}

func TestStepsOfAllOwners(t *testing.T) {
	g := NewWithT(t)
	e := metering.NewExchange(metering.New("a@1", time.Minute), nil, nil)
	e.SetStepSource(func() []plan.OpenStep { return []plan.OpenStep{{Trainer: "own", Tokens: 1}} })
	step := plan.OpenStep{Trainer: "theirs", Service: "lm", Tokens: 100, Remaining: time.Hour}
	take(g, e, metering.ReportBatch{Source: "b@1", Steps: []plan.OpenStep{step}})
	steps := e.OpenSteps()
	g.Expect(steps).To(HaveLen(2))
	g.Expect(steps[1].Trainer).To(Equal("theirs"))
	g.Expect(steps[1].Remaining).To(BeNumerically("<=", time.Hour))
	take(g, e, metering.ReportBatch{Source: "b@1"})
	g.Expect(e.OpenSteps()).To(HaveLen(1), "the peer took its steps back")
}

func TestReportsOfOthersAreKeptOnce(t *testing.T) {
	g := NewWithT(t)
	m := metering.New("a@1", time.Minute)
	e := metering.NewExchange(m, nil, nil)
	figures := []record.UsageFigure{{Account: "shop", Service: "lm", Requests: 3}}
	newer := usage.Report{Source: "b@1", Revision: 2, Total: figures}
	take(g, e, metering.ReportBatch{Reports: []usage.Report{newer}})
	take(g, e, metering.ReportBatch{Reports: []usage.Report{{Source: "b@1", Revision: 1}, {Source: "a@1", Revision: 9, Total: figures}}})
	g.Expect(m.UnreachableReports(func(string) bool { return false })).To(Equal([]usage.Report{newer}), "neither an older report nor one in this instance's own name counts")
	_, err := e.HandleBatch([]byte("junk"))
	g.Expect(err).To(HaveOccurred())
}
