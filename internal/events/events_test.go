package events_test

import (
	"bytes"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/events"
)

var wallTime = time.UnixMilli(1_700_000_000_000)

func fixedClock() time.Time { return wallTime }

var _ = Describe("Recorder", func() {
	It("writes one line of key=value pairs per event", func() {
		var out bytes.Buffer
		events.New("entry-1", &out, fixedClock).Record("lease taken", events.F("lease", "a \"b\"\nc"))
		Expect(out.String()).To(MatchRegexp(`^time=\S+ level=info event="lease taken" instance="entry-1" lease="a \\"b\\"\\nc"\n$`))
	})

	It("writes lines that ParseLine reads back", func() {
		var out bytes.Buffer
		r := events.New("n1", &out, time.Now)
		r.Record("run broken", events.F("error", "a \"quoted\" = text\n\xff"), events.F("job", ""))
		l, err := events.ParseLine("  12.5 collector " + out.String())
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Event).To(Equal("run broken"))
		Expect(l.Instance).To(Equal("n1"))
		Expect(l.Fields).To(HaveKeyWithValue("error", "a \"quoted\" = text\n\xff"))
		Expect(l.Fields).To(HaveKeyWithValue("job", ""))
		Expect(l.Fields).To(HaveKeyWithValue("level", "info"))
		Expect(l.Time).NotTo(BeZero())
	})

	DescribeTable("reports why a line is not an event", func(line, why string) {
		_, err := events.ParseLine(line)
		Expect(err).To(MatchError(ContainSubstring(why)))
	},
		Entry("no time", "panic: index out of range", "no time"),
		Entry("invalid time", "time=noon event=\"x\"", "noon"),
		Entry("no value", "time=2026-01-02T03:04:05Z event", `no value of "event"`),
	)

	It("keeps a bounded number of events and counts those that were overwritten", func() {
		r := events.New("entry-1", nil, fixedClock)
		const total = 20000
		for i := range total {
			r.Record("n", events.F("i", strconv.Itoa(i)))
		}
		page := r.Since(5)
		Expect(page.Last).To(Equal(uint64(total)))
		Expect(page.Lost + uint64(len(page.Events))).To(Equal(uint64(total - 5)))
		Expect(page.Events[len(page.Events)-1].Fields).To(HaveKeyWithValue("i", strconv.Itoa(total-1)))
	})

	It("orders an effect after its cause although the clock of its instance is behind", func() {
		ahead := events.New("a", nil, func() time.Time { return wallTime.Add(3 * time.Second) })
		behind := events.New("b", nil, fixedClock)
		ahead.Record("cause")
		behind.Observe(ahead.Timestamp())
		behind.Record("effect")
		Expect(behind.Since(0).Events[0].Timestamp).To(BeNumerically(">", ahead.Since(0).Events[0].Timestamp))
	})
})
