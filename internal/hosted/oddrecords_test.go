package hosted_test

import (
	"bytes"
	"encoding/binary"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/poison"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// oddRecords returns records of the log that no instance writes: bytes that are no record, and
// records that make no sense.
func oddRecords() [][]byte {
	location := job.Location{Partition: math.MaxInt, Offset: -1, Records: math.MaxInt, Bytes: math.MinInt}
	records := [][]byte{
		{}, {0xff}, []byte("noise"), bytes.Repeat([]byte{0x81}, 200_000), // nested arrays
		bytes.Repeat([]byte{0xa1, 0x01}, 100_000),                  // nested maps
		binary.BigEndian.AppendUint64([]byte{0x9b}, math.MaxInt64), // an array of that length
		binary.BigEndian.AppendUint64([]byte{0x7b}, math.MaxInt64), // a string of that length
		[]byte("\xa1\x01\x62\xff\xfe"),                             // a writer that is no UTF-8
	}
	for _, r := range []job.Record{
		{},
		{At: math.MaxInt64, Submitted: &job.Submitted{Job: "odd", Account: "acme", Route: "train", Host: host, Retention: math.MaxInt64, Runner: "n0/x", Tasks: []job.TaskRef{{ID: "x", Group: math.MinInt}, {ID: "x"}}, Content: []job.Location{location, {Records: 1}}}},
		{At: math.MinInt64, Submitted: &job.Submitted{Job: "none", Account: "acme", Route: "train", MinVersion: math.MinInt64, Retention: math.MinInt64, MaxAttempts: math.MinInt, GroupsWanted: math.MaxInt}},
		{Claimed: &job.Claimed{Job: "odd", Term: 1, Runner: "n1/\n"}},
		{Claimed: &job.Claimed{Job: "odd", Term: math.MaxInt64, Runner: "n1"}},
		{Progress: &job.Progress{Job: "odd", MaxSlotWait: math.MaxInt64, Failed: []int{-1, math.MaxInt}, Chunks: []job.Chunk{{Task: 1, First: 1, Last: math.MaxInt64, Location: location}, {Task: -1}}, Unscored: []job.CompleteOutput{{Task: 2}, {Location: location}}}},
		{Listed: &job.Listed{Job: "odd", Results: []job.Result{{Task: 9}, {Task: 1, Completed: true, Location: location}}}},
		{LoadOrdered: &job.LoadOrdered{Target: "e0", Model: "m", Version: math.MaxInt64}},
		{InstanceStarted: &job.InstanceStarted{Instance: "odd", PeerAddress: "127.0.0.1:70000", StartedAt: math.MaxInt64, KeyFingerprint: "odd"}, Writer: "odd/1"},
		{InstanceStarted: &job.InstanceStarted{Instance: strings.Repeat("o", 70_000), PeerAddress: "odd\r\nhost"}, Writer: "odd"},
		{InstanceLeaving: &job.InstanceLeaving{}, Writer: "nobody"},
		{TargetCrashed: &job.TargetCrashed{Target: "p0", StartedAt: math.MaxInt64, Requests: make([]poison.Digest, 1000)}},
		{Condemned: &job.Condemned{Requests: []job.CondemnedRequest{{SinceLastCrash: math.MinInt64}, {SinceLastCrash: math.MaxInt64}}}},
		{UsageCounted: &job.UsageCounted{Window: math.MaxInt64, Counts: map[string]int64{"": math.MinInt64}}},
		{UsageSealed: &job.UsageSealed{Window: math.MinInt64}},
		{StreamStarted: &job.StreamStarted{}},
	} {
		data, err := job.Encode(r)
		Expect(err).NotTo(HaveOccurred())
		records = append(records, data)
	}
	return records
}

// Guards against instances that end at a record of another writer in the topics of the service.
var _ = Describe("Odd records in the topics of the service", func() {
	It("end no instance, and calls, streams and jobs are served", func() {
		d := newDeployment(2, 2)
		d.awaitAnnouncements()
		for _, topic := range []string{"topic=control&part=0", "topic=content&part=0", "topic=content&part=3"} {
			for i, data := range oddRecords() {
				body := append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
				w := httptest.NewRecorder()
				d.store.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/log-append?"+topic, bytes.NewReader(body)))
				Expect(w.Code).To(Equal(http.StatusOK), "record %d", i)
			}
		}
		for keyName, value := range map[string]string{
			"version/m": `{"model":"m","version":1e400}`, "version/": "[", "version/\xff": "{}", "evacuate/\xff\n": "\x00", "evacuate/": "{}",
			"other": strings.Repeat("[", 200_000), "": "{}", "config/x": "{", "status/n0": `{"n":99999999999999999999}`,
		} {
			d.store.PutBytes(platform.OperatorTopic, keyName, []byte(value))
			d.store.PutBytes("keyed.status", keyName, []byte(value))
		}
		d.store.TrimTopic(platform.OperatorTopic)
		Eventually(d.start(2).isReady, eventuallyTimeout).Should(BeTrue())
		d.awaitAnnouncements()

		events := tasks(12, 20)
		Expect(d.instances[2].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		for id, res := range d.callAll(30, time.Millisecond) {
			Expect(res.status).To(Equal(http.StatusOK), id)
		}
		status, _, complete := d.instances[0].talk("s", 10, "", 0)
		Expect(status).To(Equal(http.StatusOK))
		Expect(complete).To(BeTrue())
		for _, in := range d.instances {
			checkOutputs(in.awaitResults("j", len(events)), events)
			Expect(in.call(http.MethodGet, "/lots/odd?after=0", "r", key, nil).status).NotTo(BeZero())
			Expect(in.call(http.MethodGet, "/items/odd?id=x", "r", key, nil).status).NotTo(BeZero())
		}
		// An instance takes over the job whose runner nobody is, and cannot read its tasks. It was taken again at once.
		Eventually(d.logged, eventuallyTimeout).Should(MatchRegexp(`event="job unreadable".* retry_in="1\.6s"`))
		d.configure(key, "secret-9")
		Eventually(func() int { return d.instances[0].call(http.MethodPost, "/confirm/x", "k", "secret-9", nil).status }, eventuallyTimeout).Should(Equal(http.StatusOK))
		for _, in := range d.instances {
			Expect(in.done).To(BeEmpty(), in.name+" ended")
		}
	})
})
