package hosted_test

import (
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// openStream sends the request of a stream with the time left until the caller's deadline, zero for
// none, and returns the response, of which the header has arrived.
func (i *testInstance) openStream(id string, total int, timeLeft time.Duration) *http.Response {
	req, err := http.NewRequest(http.MethodPost, "http://"+i.frontAddress+"/talk/x", nil)
	Expect(err).NotTo(HaveOccurred())
	req.Host, req.Close = host, true
	req.Header = http.Header{"Request-Id": {id}, "Credential": {key}, "Token-Usage": {fmt.Sprintf("10,%d", total)}}
	if timeLeft > 0 {
		req.Header.Set("Deadline-Ms", fmt.Sprint(timeLeft.Milliseconds()))
	}
	res, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(res.Body.Close)
	return res
}

// Guards against anything in a stream that has begun but its own events, and against a clean end of
// one that has broken off.
var _ = Describe("A stream that breaks off after it has begun", func() {
	DescribeTable("is what its target sent and then a broken connection, and no other target is asked", func(c cut) {
		d := newDeployment(1, 3)
		d.cutOnce(c)
		res := d.instances[0].openStream("r", 4, 0)
		data, err := io.ReadAll(res.Body)
		Expect(err).To(HaveOccurred())
		Expect(cutEvents("r")).To(HavePrefix(string(data)))
		runs := 0
		for _, e := range d.engines {
			runs += len(e.Runs())
		}
		Expect(runs).To(Equal(1))
	}, statedCuts)

	DescribeTable("ends in a broken connection when", func(timeLeft time.Duration, end func(d *deployment), relayed bool) {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		if relayed {
			d.instances[0].links.set(refusing)
		}
		d.engines[0].SetEventInterval(20 * time.Millisecond)
		res := d.instances[0].openStream("r", 100000, timeLeft)
		Expect(res.StatusCode).To(Equal(http.StatusOK))
		end(d)
		data, err := io.ReadAll(res.Body)
		Expect(err).To(HaveOccurred())
		whole := ""
		for n := 1; len(whole) < len(data); n++ {
			whole += fmt.Sprintf("id: %[1]d\ndata: r-%[1]d\n\n", n)
		}
		Expect(whole).To(HavePrefix(string(data)))
	},
		Entry("the caller's deadline passes", 500*time.Millisecond, func(*deployment) {}, false),
		Entry("the caller's deadline passes, through another instance", 500*time.Millisecond, func(*deployment) {}, true),
		Entry("the instance ends", time.Duration(0), func(d *deployment) { d.instances[0].cancel() }, false),
		Entry("the instance ends that relays it", time.Duration(0), func(d *deployment) { d.instances[0].cancel() }, true),
		Entry("the instance ends that it is relayed through", time.Duration(0), func(d *deployment) { d.instances[1].cancel() }, true),
		Entry("the target crashes", time.Duration(0), func(d *deployment) { d.servers["e0"].Close() }, false),
		Entry("the target crashes behind another instance", time.Duration(0), func(d *deployment) { d.servers["e0"].Close() }, true),
	)
})
