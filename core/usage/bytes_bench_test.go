package usage_test

import (
	"fmt"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/usage"
)

// newFilledCounter returns a counter with use of the given number of subjects in two
// windows.
func newFilledCounter(source string, subjects int) *usage.Counter {
	c := usage.NewCounter(source)
	for window := range int64(2) {
		for i := range subjects {
			s := usage.Subject{Account: fmt.Sprintf("account-%03d", i), Service: "sorter-models"}
			c.Add(window*60_000, s, usage.Count{Requests: 1000, PromptTokens: 100_000, GeneratedTokens: 100_000})
		}
	}
	return c
}

// BenchmarkReportBytes reports the size of the report that an instance sends to its
// mirror and to the lease holder when its counts have changed.
func BenchmarkReportBytes(b *testing.B) {
	for _, subjects := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprint(subjects), func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := record.Marshal(newFilledCounter("entry-0001@1764800000000000000", subjects).Report())
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

// BenchmarkSeal reports the time to compute a seal over many sources with 16 subjects
// each, and its size.
func BenchmarkSeal(b *testing.B) {
	for _, sources := range []int{12, 63, 250, 1700} {
		b.Run(fmt.Sprint(sources), func(b *testing.B) {
			aggregator := usage.NewAggregator()
			for i := range sources {
				aggregator.Add(newFilledCounter(fmt.Sprintf("entry-%04d@1764800000000000000", i), 16).Report())
			}
			size := 0
			for b.Loop() {
				seal, due := aggregator.NextSeal(usage.BilledState{}, unixTime(1e12), windowConfig, allLive)
				if !due {
					b.Fatal("no seal is due")
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
