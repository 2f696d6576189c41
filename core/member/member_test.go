package member_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/member"
)

var _ = Describe("Owner", func() {
	It("moves only the keys of an instance that left, spread over the others", func() {
		owners := []string{"a", "b", "c", "d"}
		moved := map[string]int{}
		for i := range 400 {
			key := fmt.Sprint("target-", i)
			before := member.Owner(key, owners)
			after := member.Owner(key, owners[:3])
			if before != "d" {
				Expect(after).To(Equal(before))
				continue
			}
			moved[after]++
		}
		Expect(moved).To(HaveLen(3))
	})
})
