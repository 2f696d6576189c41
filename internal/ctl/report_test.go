package ctl

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/measure"
)

var _ = Describe("report", func() {
	var doc *reportDocument
	BeforeEach(func() {
		doc = &reportDocument{Report: measure.Report{
			Instances:   []string{"entry-1"},
			Accounts:    []measure.Account{{Name: "a<b>&c", Served: 3, P99Millis: 40}},
			Trainers:    []measure.Trainer{{Name: "sorter", Batches: 1, Samples: 8, IdleSeconds: 2.5}},
			DataCentres: []measure.DataCentre{{Name: "spot", Cheap: true, Spend: 1.5, SampleWork: 100}},
		}}
		doc.Summary = doc.Report.Summary()
	})

	It("prints the five summary measures and the tables", func() {
		var out bytes.Buffer
		Expect(doc.Report.Print(&out)).To(Succeed())
		Expect(doc.Summary.Rows()).To(HaveLen(5))
		for _, row := range doc.Summary.Rows() {
			Expect(out.String()).To(ContainSubstring(row[0]))
		}
		Expect(out.String()).To(MatchRegexp(`spot +true +0\.000 +1\.500 +0 +100`))
	})

	It("renders one HTML page that loads nothing else and escapes names", func() {
		page, err := htmlReport(doc)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Count(page, []byte("<svg"))).To(Equal(6))
		Expect(string(page)).NotTo(ContainSubstring("a<b>"))
		Expect(string(page)).NotTo(MatchRegexp(`(src|href)="?http`))
		Expect(string(page)).To(ContainSubstring("a&lt;b&gt;&amp;c"))
	})

	It("omits charts without data", func() {
		page, err := htmlReport(&reportDocument{})
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Count(page, []byte("<svg"))).To(BeZero())
	})
})
