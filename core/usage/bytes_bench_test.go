package usage_test

import (
	"fmt"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/usage"
)

// filled returns a counter with use of the given number of subjects in two slots.
func filled(source string, subjects int) *usage.Counter {
	c := usage.NewCounter(source)
	for slot := range int64(2) {
		for i := range subjects {
			s := usage.Subject{Account: fmt.Sprintf("account-%03d", i), Service: "sorter-models"}
			c.Add(slot*60_000, s, usage.Count{Requests: 1000, PromptTokens: 100_000, GeneratedTokens: 100_000})
		}
	}
	return c
}

// BenchmarkReportBytes reports the size of what an instance sends its mirror and
// the lease's holder when its counts have changed.
func BenchmarkReportBytes(b *testing.B) {
	for _, subjects := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprint(subjects), func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := record.Marshal(filled("entry-0001@1764800000000000000", subjects).Report())
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
			b.ReportMetric(float64(size)/float64(subjects), "bytes/subject")
		})
	}
}

// BenchmarkSeal reports the time and size of a seal over many sources of 16
// subjects each.
func BenchmarkSeal(b *testing.B) {
	for _, sources := range []int{12, 63, 250, 1700} {
		b.Run(fmt.Sprint(sources), func(b *testing.B) {
			book := usage.NewAggregator()
			for i := range sources {
				book.Add(filled(fmt.Sprintf("entry-%04d@1764800000000000000", i), 16).Report())
			}
			size := 0
			for b.Loop() {
				seal, due := book.NextSeal(usage.BilledState{}, at(1e12), timing, everybody)
				if !due {
					b.Fatal("no window is due")
				}
				data, err := record.Marshal(seal)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
			b.ReportMetric(float64(size)/float64(sources), "bytes/source")
		})
	}
}
