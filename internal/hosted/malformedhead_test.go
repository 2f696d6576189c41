package hosted_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// malformedAnswers are responses of which no part may reach a caller, with a request's id as ID.
var malformedAnswers = []TableEntry{
	Entry("the name of the length has a blank", rawHead+"Content-Length : 16\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
	Entry("the name of the encoding has a blank", rawHead+"Transfer-Encoding : chunked\r\n\r\n10\r\nid: 1\ndata: ab\n\n\r\n0\r\n\r\n"),
	Entry("the name of another field has a blank", rawHead+"X Y: 1\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n"),
	Entry("the name of a field has a control byte", rawHead+"X\x01: 1\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n"),
	Entry("a folded line hides the encoding", rawHead+"X: a\r\n Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: ab\n\n\r\n0\r\n\r\n"),
	Entry("a length stands beside the encoding", rawHead+"Content-Length: 15\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"),
	Entry("HTTP/1.0 has an encoding", strings.Replace(rawHead, "1.1", "1.0", 1)+"Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"),
	Entry("the version is another", strings.Replace(rawHead, "1.1", "2.0", 1)+"Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n"),
	Entry("the status is 000", strings.Replace(rawHead, "200", "000", 1)+"Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n"),
	Entry("the status is 099", strings.Replace(rawHead, "200", "099", 1)+"Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n"),
	Entry("the status is 999", strings.Replace(rawHead, "200", "999", 1)+"Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n"),
	Entry("it is cut", rawHead+"Content-Length: 15\r\n"),
}

// Guards against a head that net/http reads in another way than the target means it, and against
// such a head in the response to a caller.
var _ = Describe("A response of a target with a malformed head", func() {
	DescribeTable("is a failure of the target, also through another instance, when", func(answer string) {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		respond := func(w http.ResponseWriter, r *http.Request) bool {
			raw(answer)(w, r, r.Header.Get("Request-Id"))
			return true
		}
		d.handlePlain(respond)
		d.engines[0].SetStreamHandler(respond)
		for _, path := range []string{"/once/x", "/confirm/x"} {
			res := d.instances[0].call(http.MethodPost, path, path, key, nil)
			Expect(res.status).To(Equal(http.StatusBadGateway), "%s: %q", path, res.body)
		}
		res := d.instances[0].callStream("stream", 4)
		Expect(res.status).To(Equal(http.StatusBadGateway), "stream: %q", res.body)
		d.instances[0].links.set(refusing)
		res = d.instances[0].call(http.MethodPost, "/once/x", "relayed", key, nil)
		Expect(res.status).To(Equal(http.StatusBadGateway), "relayed: %q", res.body)
	}, malformedAnswers)
})
