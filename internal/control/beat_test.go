package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/peer"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

// newStoppedLoop returns a control loop whose goroutines do not run.
func newStoppedLoop(clock *manualClock, self member.Peer) *Loop {
	return New(Options{Self: self, Clock: clock, Log: &fakeLog{}, Events: events.New(self.ID, nil, clock.Wall)})
}

var _ = Describe("Heartbeats", func() {
	var (
		clock *manualClock
		l     *Loop
		b     *heartbeatSender
	)
	BeforeEach(func() {
		clock = &manualClock{}
		l = newStoppedLoop(clock, member.Peer{ID: "a", Incarnation: 1, DataCentre: "north"})
		l.ownLoads = []TargetLoad{{Target: "t1", Load: 1}, {Target: "t2", Load: 1}}
		l.publish()
		b = newHeartbeatSender(l)
	})

	It("carry changed loads only, and all loads in every full heartbeat", func() {
		Expect(b.nextHeartbeat(l.Snapshot()).Loads).To(HaveLen(2))
		l.ownLoads = []TargetLoad{{Target: "t1", Load: 2}, {Target: "t2", Load: 1}}
		l.publish()
		second := b.nextHeartbeat(l.Snapshot())
		Expect(second.Loads).To(Equal([]TargetLoad{{Target: "t1", Load: 2}}))
		Expect(second.Peer).To(BeZero())
		for range fullHeartbeatEvery - 2 {
			b.nextHeartbeat(l.Snapshot())
		}
		Expect(b.nextHeartbeat(l.Snapshot()).Loads).To(HaveLen(2))
	})

	It("are full after a peer was added", func() {
		b.nextHeartbeat(l.Snapshot())
		listRead{[]platform.ListedInstance{{ID: "b", Incarnation: 1}}}.handle(l)
		l.publish()
		heartbeat := b.nextHeartbeat(l.Snapshot())
		Expect(heartbeat.Peer).To(Equal(l.Self))
		Expect(heartbeat.Loads).To(HaveLen(2))
	})

	It("apply to the incarnation of the session's sender only", func() {
		listRead{[]platform.ListedInstance{{ID: "b", Incarnation: 2}, {ID: "c", Incarnation: 1}}}.handle(l)
		forged := Heartbeat{Peer: member.Peer{ID: "c", Incarnation: 9}, Offset: 5}
		heartbeatReceived{peer.Session{ID: "b", Incarnation: 2}, forged}.handle(l)
		heartbeatReceived{peer.Session{ID: "b", Incarnation: 1}, Heartbeat{Offset: 9}}.handle(l)
		for _, p := range l.members.Peers(0) {
			Expect(p.Incarnation).NotTo(Equal(int64(9)))
			Expect(p.Offset).NotTo(Equal(int64(9)), "an earlier incarnation")
		}
	})

	It("confirm the loads that they omit, until another instance reports these", func() {
		clock.advance(time.Minute)
		receive := func(id string, full bool, loads ...TargetLoad) {
			m := heartbeatReceived{peer.Session{ID: id, Incarnation: 1}, Heartbeat{Loads: loads}}
			if full {
				m.heartbeat.Peer = member.Peer{ID: id, Incarnation: 1}
			}
			m.handle(l)
		}
		receive("b", true, TargetLoad{Target: "t1"}, TargetLoad{Target: "t3"})
		receive("c", true, TargetLoad{Target: "t3"})
		before := l.loadsAt["t1"]
		clock.advance(time.Second)
		receive("b", false)
		Expect(l.loadsAt["t1"]).To(Equal(before + time.Second))
		Expect(l.loadsAt["t3"]).To(Equal(before), "another instance has reported the load since")
		receive("b", true)
		clock.advance(time.Second)
		receive("b", false)
		Expect(l.loadsAt["t1"]).To(Equal(before+time.Second), "a full heartbeat omitted the load")
	})

	It("omit members from a summary that were sent to the receiver before", func() {
		summary := member.Summary{DataCentre: "south", Version: 1, Members: []member.Peer{{ID: "s"}}}
		Expect(b.summary(receiver{"x", 1}, summary).Members).To(HaveLen(1))
		Expect(b.summary(receiver{"x", 1}, summary).Members).To(BeEmpty())
		Expect(b.summary(receiver{"x", 2}, summary).Members).To(HaveLen(1), "the receiver has restarted")
		summary.Version = 2
		Expect(b.summary(receiver{"x", 1}, summary).Members).To(HaveLen(1), "the members have changed")
		b.count += fullSummaryEvery
		Expect(b.summary(receiver{"x", 1}, summary).Members).To(HaveLen(1), "sent again after fullSummaryEvery heartbeats")
	})
})

const (
	// frameOverhead is the number of bytes that drpc and the frame add to a message.
	frameOverhead       = 40
	maxBenchDataCentres = 27
)

// BenchmarkMembership measures one instance's control traffic and CPU time for a second of
// heartbeats, against the number of instances.
func BenchmarkMembership(b *testing.B) {
	for _, instances := range []int{12, 100, 400, 1700} {
		b.Run(fmt.Sprint("nodes=", instances), func(b *testing.B) { benchMembership(b, instances) })
	}
}

func benchMembership(b *testing.B, instances int) {
	clock := &manualClock{}
	dataCentres := min(maxBenchDataCentres, max(3, instances/63))
	var listed []platform.ListedInstance
	for n := range instances {
		listed = append(listed, platform.ListedInstance{
			ID: fmt.Sprintf("entry-%04d", n), Incarnation: 1796342602000000000, DataCentre: fmt.Sprintf("centre-%02d", n%dataCentres),
			Address: "10.120.130.140:8083", Operator: "https://10.120.130.140:8082", State: platform.InstanceLive,
		})
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	first := listed[0]
	loop := newStoppedLoop(clock, member.Peer{ID: first.ID, Incarnation: first.Incarnation, DataCentre: first.DataCentre, Address: first.Address, Operator: first.Operator})
	data, err := record.Encode(newID(), "a", 0, record.Config{YAML: []byte(testConfig)})
	if err != nil {
		b.Fatal(err)
	}
	loop.applyRecord(0, platform.LogRecord{Offset: 1, Data: data})
	listRead{listed}.handle(loop)
	loop.publish()
	size := func(v any) float64 {
		data, err := record.Marshal(v)
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(data) + frameOverhead)
	}
	summary := member.Summary{DataCentre: "centre-00", Version: 1 << 60, Offset: 1 << 30}
	withMembers := summary
	for _, i := range listed {
		if i.DataCentre == summary.DataCentre {
			withMembers.Members = append(withMembers.Members, member.Peer{ID: i.ID, Incarnation: i.Incarnation, DataCentre: i.DataCentre, Address: i.Address, Operator: i.Operator})
		}
	}
	heartbeat := Heartbeat{Offset: 1 << 30, Digest: [digestBytes]byte{1, 2, 3, 4, 5, 6, 7, 8}}
	full := heartbeat
	full.Peer = loop.Self
	local := float64(len(loop.Snapshot().view.recipients.Direct))
	// Average bytes per heartbeat: data that only some heartbeats carry is spread over all.
	heartbeatBytes := size(heartbeat) + (size(full)-size(heartbeat))/fullHeartbeatEvery
	relayedSummaryBytes, remoteSummaryBytes := 0.0, 0.0
	if instances > 64 {
		summaryBytes := size(summary) - frameOverhead + (size(withMembers)-size(summary))/fullSummaryEvery
		remoteRecipients := 2 * float64(dataCentres-1) / (local + 1) // relays of other data centres to which one instance sends, on average
		relayedSummaryBytes = remoteRecipients * summaryBytes
		remoteSummaryBytes = remoteRecipients * (summaryBytes + frameOverhead)
	}
	bytes := 2 * (local*(heartbeatBytes+relayedSummaryBytes) + remoteSummaryBytes)
	sender := peer.Session{Incarnation: listed[0].Incarnation}
	b.ResetTimer()
	for range b.N {
		clock.advance(time.Second)
		for i, p := range loop.Snapshot().view.recipients.Direct {
			sender.ID = p.ID
			heartbeat.RemoteSummaries = nil
			if instances > 64 && i < 2*(dataCentres-1) {
				summary.DataCentre = fmt.Sprintf("centre-%02d", i/2+1)
				heartbeat.RemoteSummaries = []member.Summary{summary}
			}
			heartbeatReceived{sender, heartbeat}.handle(loop)
			loop.publish()
		}
		for range time.Second / tickInterval {
			tick{}.handle(loop)
			loop.publish()
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(loop)
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/(1<<20), "heap-MB")
	b.ReportMetric(bytes, "bytes/s")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1e9*100, "%core")
}
