package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/platform"
)

// Guards against an instance that follows a list no further because of one of its entries.
var _ = DescribeTable("A list with an odd entry is read without it",
	func(odd string) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			name := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
			_, _ = w.Write([]byte(`{"` + name + `":[{"id":"a"},` + odd + `,{"id":"b","new":1}]}`))
		}))
		DeferCleanup(server.Close)
		unreadable := &platform.UnreadableError{}
		targets, err := platform.NewOrders(server.URL, "north").Targets(context.Background())
		Expect(err).To(BeAssignableToTypeOf(unreadable))
		Expect(len(err.Error())).To(BeNumerically("<", 300))
		Expect(targets).To(Equal([]platform.Target{{ID: "a"}, {ID: "b"}}))
		instances, err := platform.NewInstanceList(server.URL).Instances(context.Background())
		Expect(err).To(BeAssignableToTypeOf(unreadable))
		Expect(instances).To(Equal([]platform.ListedInstance{{ID: "a"}, {ID: "b"}}))
	},
	Entry("no object", "7"), Entry("no id", "{}"), Entry("null", "null"), Entry("id of another type", `{"id":7}`),
	Entry("state of another type", `{"id":"c","state":{"a":[]}}`), Entry("data centre that is a long number", `{"id":"c","dataCentre":`+strings.Repeat("9", 5000)+`}`),
	Entry("nested deeply", strings.Repeat("[", 9000)+strings.Repeat("]", 9000)),
	Entry("nested too deeply", strings.Repeat("[", 20_000)+`"]\\\"[{"`+strings.Repeat("]", 20_000)),
	Entry("field that is nested too deeply", `{"id":"c","state":`+strings.Repeat(`{"a":[1,`, 20_000)+"2"+strings.Repeat("]}", 20_000)+`}`),
)
