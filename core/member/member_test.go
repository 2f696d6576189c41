package member_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/member"
)

var _ = Describe("Owner", func() {
	It("moves only the keys of an instance that left, spread over the others", func() {
		owners := []string{"a", "b", "c", "d"}
		moved := map[string]int{}
		for i := range 400 {
			key := fmt.Sprint("target-", i)
			before := member.Owner(key, owners)
			after := member.Owner(key, owners[:3])
			if before != "d" {
				Expect(after).To(Equal(before))
				continue
			}
			moved[after]++
		}
		Expect(moved).To(HaveLen(3))
	})
})

const second = time.Second

// site returns a table of "a-0" and the peers of some data centres.
func site(centres, each int) (*member.Table, []member.Peer) {
	var all []member.Peer
	for c := range centres {
		for n := range each {
			dc := string(rune('a' + c))
			all = append(all, member.Peer{ID: fmt.Sprint(dc, "-", n), Incarnation: 1, DataCentre: dc})
		}
	}
	t := member.NewTable(all[0], second)
	t.ApplyList(0, all)
	return t, all
}

var _ = Describe("Table", func() {
	a, b := member.Peer{ID: "a", Incarnation: 1}, member.Peer{ID: "b", Incarnation: 1}
	restarted := member.Peer{ID: "b", Incarnation: 2}
	var t *member.Table
	BeforeEach(func() { t = member.NewTable(a, second) })

	It("suspects a silent peer and trusts it again after several heartbeats", func() {
		t.ApplyList(0, []member.Peer{a, b})
		Expect(t.Owners(3 * second)).To(Equal([]string{"a", "b"}))
		Expect(t.Owners(3*second + 1)).To(Equal([]string{"a"}))
		t.ApplyHeartbeat(4*second, b, 1)
		t.ApplyHeartbeat(5*second, b, 1)
		Expect(t.Owners(5*second)).To(Equal([]string{"a"}), "it may be on a bad link")
		t.ApplyHeartbeat(6*second, b, 1)
		Expect(t.Owners(6 * second)).To(Equal([]string{"a", "b"}))
	})

	DescribeTable("news that contradict one another", func(events []func(t *member.Table), want []member.Peer) {
		for _, e := range events {
			e(t)
		}
		var got []member.Peer
		for _, s := range t.Peers(second) {
			got = append(got, s.Peer)
		}
		Expect(got).To(Equal(want))
	},
		Entry("a newcomer that the list does not show yet", []func(*member.Table){heard(b), listed(a)}, []member.Peer{b}),
		Entry("a peer that has left the list", []func(*member.Table){listed(a, b), heard(b), listed(a)}, nil),
		Entry("a list that lags behind a restart", []func(*member.Table){listed(b), heard(restarted), listed(b)}, []member.Peer{restarted}),
		Entry("a late heartbeat of the process before", []func(*member.Table){listed(restarted), heard(b)}, []member.Peer{restarted}),
		Entry("a leaving peer that the list shows as live", []func(*member.Table){heard(leaving(b)), listed(b)}, []member.Peer{leaving(b)}),
		Entry("a restart of a leaving peer", []func(*member.Table){heard(leaving(b)), listed(restarted)}, []member.Peer{restarted}),
	)

	It("changes its version with the peers, not with their heartbeats", func() {
		t.ApplyList(0, []member.Peer{a, b})
		before := t.Version(0)
		Expect(t.RefreshHeartbeat(second, "b", 1, 7)).To(BeTrue())
		Expect(t.RefreshHeartbeat(second, "b", 9, 7)).To(BeFalse(), "another incarnation")
		Expect(t.Version(second)).To(Equal(before))
		Expect(t.Version(5*second)).NotTo(Equal(before), "it fell silent")
	})
})

func listed(p ...member.Peer) func(*member.Table) {
	return func(t *member.Table) { t.ApplyList(0, p) }
}

func heard(p member.Peer) func(*member.Table) {
	return func(t *member.Table) { t.ApplyHeartbeat(0, p, 1) }
}

func leaving(p member.Peer) member.Peer {
	p.Leaving = true
	return p
}

var _ = Describe("Summaries", func() {
	It("go between data centres by two relays of each, and heartbeats within", func() {
		_, all := site(4, 30)
		abroad, most := 0, 0
		for _, self := range all {
			t := member.NewTable(self, second)
			t.ApplyList(0, all)
			r := member.HeartbeatRecipients(self, t.Peers(0))
			Expect(r.Direct).To(HaveLen(29))
			abroad += len(r.Remote)
			most = max(most, len(r.Remote))
		}
		Expect(abroad).To(Equal(4 * 2 * 3))
		Expect(most).To(BeNumerically("<=", 3), "spread over the instances")
	})

	It("do not exist in a small site", func() {
		t, _ := site(4, 3)
		r := member.HeartbeatRecipients(t.Self(), t.Peers(0))
		Expect(r.Direct).To(HaveLen(11))
		Expect(r.Remote).To(BeEmpty())
	})

	It("tell who lives and who is behind", func() {
		t, all := site(2, 30)
		far := member.NewTable(all[30], second)
		far.ApplyList(0, all)
		for i, p := range all[31:] {
			far.ApplyHeartbeat(2*second, p, int64(100-i/28))
		}
		full := far.Summary(2*second, 100)
		short := full
		short.Members = nil
		t.ApplySummary(2*second, full)
		t.ApplySummary(5*second, short)
		for _, s := range t.Peers(5 * second) {
			switch {
			case s.DataCentre == "a":
				Expect(s.Suspect).To(BeTrue(), s.ID)
			case s.ID == all[59].ID:
				Expect(s.Offset).To(Equal(int64(99)))
			default:
				Expect(s.Suspect).To(BeFalse(), s.ID)
				Expect(s.Offset).To(Equal(int64(100)), s.ID)
			}
		}
	})

	It("let an instance that has died abroad become suspect", func() {
		t, all := site(2, 3)
		far := member.NewTable(all[3], second)
		far.ApplyList(0, all)
		t.ApplySummary(0, far.Summary(0, 1))
		far.ApplyHeartbeat(2*second, all[4], 1)
		next := far.Summary(4*second, 1)
		t.ApplySummary(3*second, next)
		next.Members = nil
		t.ApplySummary(6*second, next)
		Expect(t.Owners(6 * second)).To(ContainElements("b-0", "b-1"))
		Expect(t.Owners(6 * second)).NotTo(ContainElement("b-2"))
	})
})
