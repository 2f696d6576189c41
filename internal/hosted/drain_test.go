package hosted_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

// keptConnection is a connection to an instance that a load balancer keeps.
type keptConnection struct {
	net.Conn
	reader *bufio.Reader
}

func (i *testInstance) connect() *keptConnection {
	conn, err := net.Dial("tcp", i.frontAddress)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return &keptConnection{conn, bufio.NewReader(conn)}
}

// send sends a part of a request.
func (c *keptConnection) send(part string) {
	_, err := io.WriteString(c, part)
	Expect(err).NotTo(HaveOccurred())
}

// receive returns the status and the body of a complete response.
func (c *keptConnection) receive() (status int, body string, err error) {
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, string(data), err
}

func requestHead(id string) string {
	return fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nCredential: %s\r\n", host, id, key)
}

const requestRest = "Content-Length: 1\r\n\r\nb"

var _ = Describe("A planned stop under load", func() {
	It("answers requests on connections that the load balancer has kept until it removes the instance", func() {
		d := newDeployment(1, 1)
		in := d.instances[0]
		var kept, begun *keptConnection
		for n, c := range []**keptConnection{&kept, &begun} {
			*c = in.connect()
			(*c).send(requestHead(fmt.Sprint("before", n)) + requestRest)
			status, _, err := (*c).receive()
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
		}
		fresh := in.connect()
		begun.send(requestHead("begun")) // half a request
		in.instance.Stop()
		Eventually(d.logged, eventuallyTimeout).Should(ContainSubstring("instance stopping"))
		Eventually(in.isReady, eventuallyTimeout).Should(BeFalse())
		time.Sleep(200 * time.Millisecond) // the load balancer has not removed the instance yet
		kept.send(requestHead("kept") + requestRest)
		begun.send(requestRest)
		fresh.send(requestHead("fresh") + requestRest)
		for _, c := range []*keptConnection{kept, begun, fresh} {
			status, body, err := c.receive()
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(HaveSuffix(":b"))
			_, err = c.reader.ReadByte()
			Expect(err).To(MatchError(io.EOF), "the connection is not kept any more")
		}
		Expect(in.call(http.MethodPost, "/once/x", "new", key, []byte("b")).status).To(Equal(http.StatusOK))
	})

	It("lets requests end that another instance has relayed", func() {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		cut, stopped := d.instances[0], d.instances[1]
		cut.links.set(refusing)
		Expect(cut.callWithin(2*time.Second, http.MethodPost, "/confirm/x", "first", key, []byte("b")).status).To(Equal(http.StatusOK))
		started := make(chan struct{})
		release := make(chan struct{})
		d.handlePlain(func(http.ResponseWriter, *http.Request) bool { close(started); <-release; return false })
		relayed := make(chan response, 1)
		go func() {
			defer GinkgoRecover()
			relayed <- cut.call(http.MethodPost, "/once/x", "relayed", key, []byte("b"))
		}()
		Eventually(started, eventuallyTimeout).Should(BeClosed())
		stopped.instance.Stop()
		time.Sleep(3 * time.Second) // longer than the listener for callers takes to drain
		close(release)
		Expect((<-relayed).status).To(Equal(http.StatusOK))
		Eventually(func() int { return len(stopped.done) }, eventuallyTimeout).Should(Equal(1))
	})

	It("ends streams and answers submissions in progress", func() {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		in := d.instances[0]
		for _, e := range d.engines {
			e.SetEventInterval(100 * time.Millisecond)
		}
		streamed := make(chan response, 1)
		go func() {
			defer GinkgoRecover()
			streamed <- in.callStream("s", 40)
		}()
		Eventually(func() int { return len(d.engines[0].Runs()) }, eventuallyTimeout).Should(BeNumerically(">", 1))
		in.instance.Stop()
		events := tasks(2, 3)
		Expect(in.call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		res := <-streamed
		Expect(res.status).To(Equal(http.StatusOK))
		Expect(res.body).To(HaveSuffix("id: 40\ndata: s-40\n\n"))
		checkOutputs(d.instances[1].awaitResults("j", 2), events)
	})
})
