package record_test

import (
	"math"
	"testing"

	"github.com/google/uuid"

	"github.com/amaranthfold/amaranthfold/core/claim"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// BenchmarkClaimBytes reports the encoded size of a record with one claim, and how
// much each further claim adds.
func BenchmarkClaimBytes(b *testing.B) {
	size := func(n int) int {
		claims := make([]claim.Claim, n)
		for i := range claims {
			claims[i].ID[i%len(claims[i].ID)] = byte(i + 1)
			claims[i].Digest = math.MaxUint64
		}
		data, err := record.Encode(uuid.UUID{1}, "entry-1@1796342375744212850", 0, record.Claims{UnixMillis: 1796342375744, Claims: claims})
		if err != nil {
			b.Fatal(err)
		}
		return len(data)
	}
	for b.Loop() {
		b.ReportMetric(float64(size(101)-size(1))/100, "bytes/claim")
		b.ReportMetric(float64(size(1)), "bytes/record")
	}
}
