package allowance_test

import (
	"fmt"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/allowance"
)

func BenchmarkOwnerOfTarget(b *testing.B) {
	for _, n := range []int{9, 295, 1700} {
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprint("edge-", i)
		}
		b.Run(fmt.Sprint(n, " instances"), func(b *testing.B) {
			owners := allowance.NewOwners()
			for range b.N {
				owners.For(0, "i-1943ec27be", names)
			}
		})
	}
}
