package operator_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/operator"
)

var _ = DescribeTable("ParseKeys",
	func(list string, names []string, want error) {
		keys, err := operator.ParseKeys(list)
		if want != nil {
			Expect(err).To(MatchError(want))
			Expect(err.Error()).NotTo(ContainSubstring("s3cret"))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		var got []string
		for _, k := range keys {
			got = append(got, k.Operator)
		}
		Expect(got).To(Equal(names))
	},
	Entry("one key", "s3cret", []string{"operator"}, nil),
	Entry("named keys", "ana=s3cret, joao=other", []string{"ana", "joao"}, nil),
	Entry("a key with an equals sign", "ana=s3cret==", []string{"ana"}, nil),
	Entry("nothing", "", nil, operator.ErrNoKey),
	Entry("a name without a key", "ana=", nil, operator.ErrNoKey),
	Entry("a key without a name", "=s3cret", nil, operator.ErrNoKey),
	Entry("a duplicate name", "ana=s3cret,ana=other", nil, operator.ErrDuplicateKey),
)

var _ = Describe("Listener", func() {
	var handler http.Handler
	BeforeEach(func() {
		keys, err := operator.ParseKeys("ana=right")
		Expect(err).NotTo(HaveOccurred())
		recorder := events.New("a", nil, time.Now)
		loop := control.New(control.Options{Self: member.Peer{ID: "a"}, Clock: clock.System{}, Events: recorder})
		handler = operator.New(operator.Options{Loop: loop, Clock: clock.System{}, Events: recorder, Keys: keys}).Handler()
	})

	DescribeTable("refuses",
		func(method, path, key, body string, want int) {
			req := httptest.NewRequest(method, path, strings.NewReader(body))
			req.Header.Set("Authorization", key)
			res := httptest.NewRecorder()
			handler.ServeHTTP(res, req)
			Expect(res.Code).To(Equal(want), res.Body.String())
		},
		Entry("no key", "GET", "/operator/status", "", "", http.StatusUnauthorized),
		Entry("a wrong key", "GET", "/operator/status", "Bearer wrong", "", http.StatusUnauthorized),
		Entry("the key with a lower-case scheme", "GET", "/operator/status", "bearer right", "", http.StatusUnauthorized),
		Entry("metrics without a key", "GET", "/metrics", "", "", http.StatusUnauthorized),
		Entry("a body that is not JSON", "POST", "/operator/config", "Bearer right", "{", http.StatusBadRequest),
		Entry("a body over the limit", "POST", "/operator/config", "Bearer right", `{"yaml":"`+strings.Repeat("a", 2<<20)+`"}`, http.StatusBadRequest),
		Entry("a configuration with validation findings", "POST", "/operator/config", "Bearer right", `{"yaml":"colour: red"}`, http.StatusUnprocessableEntity),
		Entry("a drain without a target", "POST", "/operator/drain", "Bearer right", `{}`, http.StatusUnprocessableEntity),
		Entry("events since a value that is not a number", "GET", "/operator/events?since=yesterday", "Bearer right", "", http.StatusBadRequest),
		Entry("a path that does not exist", "GET", "/operator/nothing", "Bearer right", "", http.StatusNotFound),
		Entry("a wrong method", "DELETE", "/operator/config", "Bearer right", "", http.StatusMethodNotAllowed),
	)
})
