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

// receiveBatch passes the batch to the exchange as a message from a peer.
func receiveBatch(g *WithT, e *metering.Exchange, b metering.ReportBatch) {
	body, err := record.Marshal(b)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = e.HandleBatch(body)
	g.Expect(err).NotTo(HaveOccurred())
}

func TestOpenStepsOfAllOwners(t *testing.T) {
	g := NewWithT(t)
	e := metering.NewExchange(metering.New("a@1", time.Minute), nil, nil)
	e.SetStepSource(func() []plan.OpenStep { return []plan.OpenStep{{Trainer: "own", Tokens: 1}} })
	step := plan.OpenStep{Trainer: "theirs", Service: "lm", Tokens: 100, Remaining: time.Hour}
	receiveBatch(g, e, metering.ReportBatch{Source: "b@1", Steps: []plan.OpenStep{step}})
	steps := e.OpenSteps()
	g.Expect(steps).To(HaveLen(2))
	g.Expect(steps[1].Trainer).To(Equal("theirs"))
	g.Expect(steps[1].Remaining).To(BeNumerically("<=", time.Hour))
	receiveBatch(g, e, metering.ReportBatch{Source: "b@1"})
	g.Expect(e.OpenSteps()).To(HaveLen(1), "an empty list clears the peer's steps")
}

func TestOnlyNewestReportsOfOtherSourcesAreKept(t *testing.T) {
	g := NewWithT(t)
	m := metering.New("a@1", time.Minute)
	e := metering.NewExchange(m, nil, nil)
	figures := []record.UsageFigure{{Account: "shop", Service: "lm", Requests: 3}}
	newer := usage.Report{Source: "b@1", Revision: 2, Total: figures}
	receiveBatch(g, e, metering.ReportBatch{Reports: []usage.Report{newer}})
	receiveBatch(g, e, metering.ReportBatch{Reports: []usage.Report{{Source: "b@1", Revision: 1}, {Source: "a@1", Revision: 9, Total: figures}}})
	g.Expect(m.UnreachableReports(func(string) bool { return false })).To(Equal([]usage.Report{newer}), "an older report and one with this instance's source are ignored")
	_, err := e.HandleBatch([]byte("junk"))
	g.Expect(err).To(HaveOccurred())
}
