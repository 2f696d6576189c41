package hosted_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// streamInHTTP10 asks for a stream of total events in HTTP/1.0, whose responses end with the
// connection. It returns the events, read up to the end, and the error of the connection that is
// not closed but reset.
func (i *testInstance) streamInHTTP10(id string, total int, started func()) (string, error) {
	conn, err := net.Dial("tcp", i.frontAddress)
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /talk/x HTTP/1.0\r\nHost: %s\r\nRequest-Id: %s\r\nCredential: %s\r\nToken-Usage: 10,%d\r\n\r\n", host, id, key, total)
	Expect(err).NotTo(HaveOccurred())
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	started()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

// Guards against a stream that looks complete to a caller of HTTP/1.0 because the connection of a
// response that has broken off is closed like that of a whole one.
var _ = Describe("A stream of a caller of HTTP/1.0", func() {
	DescribeTable("is reset if the target's stream is cut halfway", func(c cut) {
		d := newDeployment(1, 1)
		d.cutOnce(c)
		data, err := d.instances[0].streamInHTTP10("r", 4, func() {})
		Expect(err).To(HaveOccurred(), "a complete response with %q", data)
	}, statedCuts)

	It("is reset if the instance ends in its middle, and closed at its end", func() {
		d := newDeployment(1, 1)
		data, err := d.instances[0].streamInHTTP10("whole", 4, func() {})
		Expect(err).NotTo(HaveOccurred())
		Expect(data).To(HaveSuffix("id: 4\ndata: whole-4\n\n"))
		data, err = d.instances[0].streamInHTTP10("cut", 100000, d.instances[0].cancel)
		Expect(err).To(HaveOccurred(), "a complete response with %q", data)
	})
})
