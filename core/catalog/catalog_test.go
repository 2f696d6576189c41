package catalog_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/catalog"
)

var _ = Describe("Catalog", func() {
	c := (&catalog.Catalog{
		Routes: []catalog.Route{
			{Name: "all", Host: "h", Prefix: "/a/", Split: []catalog.Share{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}},
			{Name: "part", Host: "h", Prefix: "/a/b/", Kind: catalog.Batch},
		},
		Accounts: []catalog.Account{{Name: "acme", Keys: [][32]byte{catalog.Digest("k1"), catalog.Digest("k2")}}},
	}).Index()

	DescribeTable("matches the host's route with the longest prefix",
		func(host, path, name string) {
			r, found := c.Match(host, path)
			Expect(found).To(Equal(name != ""))
			if found {
				Expect(r.Name).To(Equal(name))
			}
		},
		Entry("longest", "h", "/a/b/c", "part"),
		Entry("port and case of the host", "H:8080", "/a/x", "all"),
		Entry("no slash after the prefix", "h", "/a", ""),
		Entry("other host", "i", "/a/b/c", ""),
	)
	It("finds an account by each of its keys and by no other key", func() {
		a, found := c.AccountByKey("k2")
		Expect(found).To(BeTrue())
		Expect(a.Name).To(Equal("acme"))
		_, found = c.AccountByKey("")
		Expect(found).To(BeFalse())
	})
	It("splits traffic by weight", func() {
		r, _ := c.Match("h", "/a/x")
		counts := map[string]int{}
		for i := range uint64(1000) {
			counts[r.Pick(i)]++
		}
		Expect(counts).To(Equal(map[string]int{"x": 900, "y": 100}))
	})
	It("reports whether a host has routes of a kind", func() {
		Expect(c.HasRouteKind("h", catalog.Batch)).To(BeTrue())
		Expect(c.HasRouteKind("i", catalog.Batch)).To(BeFalse())
	})
})
