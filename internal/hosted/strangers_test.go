package hosted_test

import (
	"bytes"
	"encoding/binary"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// forgedRequest returns a request to the port between instances, as one of them would send it.
func forgedRequest(method, pathAndQuery string, body []byte, header http.Header) *http.Request {
	req, err := http.NewRequest(method, "http://replaced"+pathAndQuery, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header = header
	req.Close = true
	return req
}

// forgedAppend is the body of an append of one record.
func forgedAppend(record string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(record))), record...)
}

// Guards against the failure that any process that reached the port was served: requests on
// behalf of any account, allowances of any target, and all calls of the log.
var _ = Describe("A stranger at the port between instances", Label("known-red"), func() {
	DescribeTable("gets nothing", func(forged func() *http.Request) {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		for _, in := range d.instances {
			req := forged()
			req.URL.Host = in.peersAddress
			res, err := http.DefaultClient.Do(req)
			if err == nil {
				_ = res.Body.Close() // the spec fails
			}
			Expect(err).To(HaveOccurred(), "a response to a stranger")
		}
		for _, p := range d.plain {
			Expect(p.Runs()).To(BeEmpty())
		}
		for _, r := range d.store.Records("control", 0) {
			Expect(string(r)).NotTo(ContainSubstring("forged"))
		}
	},
		Entry("for a relayed request in the name of an account", func() *http.Request {
			req := forgedRequest(http.MethodPost, "/confirm/x", []byte("b"), http.Header{
				"Amaranthfold-Relayed-Config": {"0"}, "Tenant": {"acme"}, "Request-Id": {"forged"},
			})
			req.Host = host
			return req
		}),
		Entry("for an allowance of a target", func() *http.Request {
			return forgedRequest(http.MethodPost, "/allowance", []byte(strings.ReplaceAll(`{'Target':'p0','PerSecond':5,'Count':1}`, `'`, `"`)), http.Header{})
		}),
		Entry("for a read of the log", func() *http.Request {
			return forgedRequest(http.MethodGet, "/log-read?topic=control&part=0&from=0&max-kb=64", nil, http.Header{})
		}),
		Entry("for an append to the log", func() *http.Request {
			return forgedRequest(http.MethodPost, "/log-append?topic=control&part=0", forgedAppend("forged"), http.Header{})
		}),
	)
})
