package measure_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/measure"
)

// newTestMeasures returns measures of one account, one trainer and two data centres,
// with one served request per response time in millis.
func newTestMeasures(instance string, millis ...int) *measure.Measures {
	m := measure.New(instance)
	for _, ms := range millis {
		m.RecordRequest("shop", measure.Served, time.Duration(ms)*time.Millisecond)
	}
	m.RecordRequest("shop", measure.Failed, time.Second)
	m.RecordRequest("shop", measure.Refused, 0)
	m.RecordTrainerWait("sorter", 3*time.Second)
	m.RecordBatch("sorter", 1, []int64{0, 2})
	m.RecordBatch("sorter", 1, []int64{0, 2}) // delivered again
	m.RecordWork("north", false, measure.Caller, 100)
	m.RecordWork("spot", true, measure.Sample, 300)
	return m
}

func mustReport(g *WithT, m *measure.Measures) measure.Report {
	r, err := m.Report()
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

func TestMergeCombinesInstances(t *testing.T) {
	g := NewWithT(t)
	slow := make([]int, 50)
	for i := range slow {
		slow[i] = 2000
	}
	r, err := measure.Merge([]measure.Report{mustReport(g, newTestMeasures("a", 10, 10)), mustReport(g, newTestMeasures("b", slow...))})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Instances).To(Equal([]string{"a", "b"}))
	a := r.Accounts[0]
	g.Expect([]int64{a.Served, a.Failed, a.Refused}).To(Equal([]int64{52, 2, 2}))
	g.Expect(a.P50Millis).To(BeNumerically("~", 2000, 20))
	trainer := r.Trainers[0]
	g.Expect([]int64{trainer.Batches, trainer.Samples, trainer.MaxStaleness}).To(Equal([]int64{2, 4, 2}))
	g.Expect(trainer.MeanStaleness()).To(Equal(1.0))
	s := r.Summary()
	g.Expect(s.IdleSeconds).To(Equal(6.0))
	g.Expect(s.CheapShare).To(Equal(0.75))
	g.Expect(s.CheapSampleShare).To(Equal(1.0))
	g.Expect(s.WorstAccount).To(Equal("shop"))
	g.Expect(s.WorstFailureShare).To(BeNumerically("~", 4.0/56, 1e-9))
}

func TestSpendIsAddedOnlyWhileLeaseIsHeld(t *testing.T) {
	g := NewWithT(t)
	m := measure.New("a")
	costs := []measure.TargetCost{{DataCentre: "north", Targets: 2, PerHour: 3600}}
	m.RecordSpend(time.Hour, costs)
	m.RecordSpend(time.Hour+time.Second, costs)
	m.RecordSpend(2*time.Hour, costs) // the lease was not held in between
	d := mustReport(g, m).DataCentres[0]
	g.Expect(d.Spend).To(BeNumerically("~", 1, 1e-9))
	g.Expect(d.TargetHours).To(BeNumerically("~", 2.0/3600, 1e-9))
}

func TestOverdueAndIncorrectUsageReportsAreCounted(t *testing.T) {
	g := NewWithT(t)
	m := measure.New("a")
	m.RecordUsageReport(time.Second, time.Minute, false)
	m.RecordUsageReport(2*time.Minute, time.Minute, true)
	m.RecordIncorrectReport()
	r := mustReport(g, m)
	g.Expect(r.UsageReports).To(Equal(measure.UsageReportStats{Reports: 2, Overdue: 1, Incorrect: 1, Adjusting: 1, MaxDelaySeconds: 120}))
	s := r.Summary()
	g.Expect(s.LateOrIncorrectReports).To(Equal(int64(2)))
}

func TestMetricsOfInstancesAreSeparate(t *testing.T) {
	g := NewWithT(t)
	var text, other bytes.Buffer
	newTestMeasures("a", 10).WritePrometheus(&text)
	measure.New("b").WritePrometheus(&other)
	g.Expect(text.String()).To(ContainSubstring(`amaranth_requests_total{account="shop",outcome="served"} 1`))
	g.Expect(text.String()).To(ContainSubstring(`amaranth_work_total{data_centre="spot",cheap="true",class="sample"} 300`))
	g.Expect(other.String()).To(BeEmpty())
}

func TestNilMeasuresAreNoOps(t *testing.T) {
	g := NewWithT(t)
	var m *measure.Measures
	m.RecordRequest("shop", measure.Served, time.Second)
	m.RecordBatch("sorter", 1, []int64{1})
	m.WritePrometheus(&bytes.Buffer{})
	r, err := m.Report()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Accounts).To(BeEmpty())
}

func TestMergeRejectsInvalidHistogram(t *testing.T) {
	g := NewWithT(t)
	_, err := measure.Merge([]measure.Report{{Accounts: []measure.Account{{Name: "shop", LatencyHistogram: []byte("junk")}}}})
	g.Expect(err).To(MatchError(ContainSubstring(`account "shop"`)))
}
