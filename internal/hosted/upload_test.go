package hosted_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/internal/standin/rawtarget"
)

// resetUploads makes all targets answer the first most uploads with a part of a body of unstated length and
// reset the connection. It returns the number of these answers.
func (d *deployment) resetUploads(most int64) *atomic.Int64 {
	var answered atomic.Int64
	for _, in := range d.instances {
		in.links.uploads.Store(true)
	}
	for _, e := range append(d.plain, d.engines...) {
		e.SetEarlyHandler(func(w http.ResponseWriter, r *http.Request) bool {
			if answered.Load() == most {
				for _, in := range d.instances {
					in.links.uploads.Store(false)
				}
				return false
			}
			id := r.Header.Get("Request-Id")
			return rawtarget.ResetUpload(w, r, strings.ReplaceAll(rawHead, "ID", id)+"\r\n"+cutEvents(id)) && answered.Add(1) > 0
		})
	}
	return &answered
}

// Guards against a part of a body that passes for the whole: a socket reports a reset once, and the
// reader sees a plain end if the writer of the request has met it.
var _ = Describe("A response of unstated length that a reset cuts while the request is being sent", func() {
	DescribeTable("is no success", func(path, tokens string) {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		answered := d.resetUploads(1 << 30)
		for _, id := range []string{"direct", "relayed"} {
			before := answered.Load()
			req, err := http.NewRequest(http.MethodPost, "http://"+d.instances[0].frontAddress+path, strings.NewReader(strings.Repeat("u", rawtarget.UploadBytes)))
			Expect(err).NotTo(HaveOccurred())
			req.Host, req.Close = host, true
			req.Header = http.Header{"Request-Id": {id}, "Credential": {key}}
			if tokens != "" {
				req.Header.Set("Token-Usage", tokens)
			}
			res := receive(req)
			Expect(res.status).NotTo(Equal(http.StatusOK), "%s: a complete response with %q", id, res.body)
			Expect(answered.Load()).To(BeNumerically(">", before))
			d.instances[0].links.set(refusing)
		}
	},
		Entry("to a request that runs once", "/once/x", ""),
		Entry("to a request that may be repeated", "/confirm/x", ""),
		Entry("as a stream", "/talk/x", "10,4"),
	)

	It("ends no output of a task", func() {
		d := newDeployment(1, 0)
		d.receiveBuffer = 8 << 10
		d.engines = append(d.engines, d.addTarget("u0", "models", 8, hostplatform.FirstSoftware))
		answered := d.resetUploads(1)
		events := map[string]int{"t": 4}
		body := withBodies(events, recordBytes*3/4)
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, body).status).To(Equal(http.StatusAccepted))
		checkOutputs(d.instances[0].awaitResults("j", 1), events)
		Expect(answered.Load()).To(Equal(int64(1)))
	})

	It("is no score of an output", func() {
		d := newDeployment(1, 1)
		d.receiveBuffer = 8 << 10
		d.plain = append(d.plain, d.addTarget("p2", "desk", 6, hostplatform.FirstSoftware))
		d.remove("p0")
		d.remove("p1")
		answered := d.resetUploads(1)
		var submission map[string]any
		Expect(json.Unmarshal(hostplatform.ScoredSubmission(1, map[string]int{"t": 2}, host, "/score/x"), &submission)).To(Succeed())
		for _, item := range submission["items"].([]any) {
			item.(map[string]any)["scorer"].(map[string]any)["body"] = bytes.Repeat([]byte("u"), recordBytes*3/4)
		}
		data, err := json.Marshal(submission)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, data).status).To(Equal(http.StatusAccepted))
		page := d.instances[0].awaitResults("j", 1)
		Expect(page.Results[0].Score).To(Equal(hostplatform.Signature("score-t")))
		Expect(answered.Load()).To(Equal(int64(1)))
	})
})
