package member_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/member"
)

var _ = Describe("Ownership", func() {
	It("equals the result of Owner after every change of the owners", func() {
		o := member.NewOwnerCache()
		for _, ids := range [][]string{nil, {"a"}, {"a", "b", "c"}, {"b", "c"}, {"a", "c", "d"}, {"e"}, {"a", "b", "c", "d", "e"}} {
			o.SetOwners(ids)
			for i := range 200 {
				key := fmt.Sprintf("t%d", i)
				Expect(o.Owner(key)).To(Equal(member.Owner(key, ids)), "%s among %v", key, ids)
			}
		}
	})
})
