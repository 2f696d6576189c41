package member_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/member"
)

var _ = Describe("Owner", func() {
	It("changes only for the keys of a removed instance, spread over the others", func() {
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

// newTable returns the table of "a-0" after a list of all instances, and the instances.
func newTable(dataCentres, perDataCentre int) (*member.Table, []member.Peer) {
	var all []member.Peer
	for c := range dataCentres {
		for n := range perDataCentre {
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

	It("suspects a peer without heartbeats and trusts it again after three heartbeats", func() {
		t.ApplyList(0, []member.Peer{a, b})
		Expect(t.Owners(3 * second)).To(Equal([]string{"a", "b"}))
		Expect(t.Owners(3*second + 1)).To(Equal([]string{"a"}))
		t.ApplyHeartbeat(4*second, b, 1)
		t.ApplyHeartbeat(5*second, b, 1)
		Expect(t.Owners(5*second)).To(Equal([]string{"a"}), "two heartbeats are not enough, since it may be on a bad link")
		t.ApplyHeartbeat(6*second, b, 1)
		Expect(t.Owners(6 * second)).To(Equal([]string{"a", "b"}))
	})

	DescribeTable("resolves contradictions between the list and heartbeats", func(updates []func(t *member.Table), want []member.Peer) {
		for _, update := range updates {
			update(t)
		}
		var got []member.Peer
		for _, s := range t.Peers(second) {
			got = append(got, s.Peer)
		}
		Expect(got).To(Equal(want))
	},
		Entry("a new peer that is not listed yet", []func(*member.Table){heartbeatFrom(b), listOf(a)}, []member.Peer{b}),
		Entry("a peer that is not listed any more", []func(*member.Table){listOf(a, b), heartbeatFrom(b), listOf(a)}, nil),
		Entry("a list that is older than a restart", []func(*member.Table){listOf(b), heartbeatFrom(restarted), listOf(b)}, []member.Peer{restarted}),
		Entry("a late heartbeat of an earlier incarnation", []func(*member.Table){listOf(restarted), heartbeatFrom(b)}, []member.Peer{restarted}),
		Entry("a leaving peer that is not leaving in the list", []func(*member.Table){heartbeatFrom(asLeaving(b)), listOf(b)}, []member.Peer{asLeaving(b)}),
		Entry("a restart of a leaving peer", []func(*member.Table){heartbeatFrom(asLeaving(b)), listOf(restarted)}, []member.Peer{restarted}),
	)

	It("changes its version with the peers but not with their heartbeats", func() {
		t.ApplyList(0, []member.Peer{a, b})
		before := t.Version(0)
		Expect(t.RefreshHeartbeat(second, "b", 1, 7)).To(BeTrue())
		Expect(t.RefreshHeartbeat(second, "b", 9, 7)).To(BeFalse(), "another incarnation")
		Expect(t.Version(second)).To(Equal(before))
		Expect(t.Version(5*second)).NotTo(Equal(before), "the peer has become suspect")
	})
})

func listOf(p ...member.Peer) func(*member.Table) {
	return func(t *member.Table) { t.ApplyList(0, p) }
}

func heartbeatFrom(p member.Peer) func(*member.Table) {
	return func(t *member.Table) { t.ApplyHeartbeat(0, p, 1) }
}

func asLeaving(p member.Peer) member.Peer {
	p.Leaving = true
	return p
}

var _ = Describe("Summaries", func() {
	It("are sent between data centres by two relays of each, and heartbeats within one", func() {
		_, all := newTable(4, 30)
		remote, maxRemote := 0, 0
		for _, self := range all {
			t := member.NewTable(self, second)
			t.ApplyList(0, all)
			r := member.HeartbeatRecipients(self, t.Peers(0))
			Expect(r.Direct).To(HaveLen(29))
			remote += len(r.Remote)
			maxRemote = max(maxRemote, len(r.Remote))
		}
		Expect(remote).To(Equal(4 * 2 * 3))
		Expect(maxRemote).To(BeNumerically("<=", 3), "relays are spread over the instances")
	})

	It("are not sent in a small deployment", func() {
		t, _ := newTable(4, 3)
		r := member.HeartbeatRecipients(t.Self(), t.Peers(0))
		Expect(r.Direct).To(HaveLen(11))
		Expect(r.Remote).To(BeEmpty())
	})

	It("contain the live members and the lagging offsets", func() {
		t, all := newTable(2, 30)
		remoteTable := member.NewTable(all[30], second)
		remoteTable.ApplyList(0, all)
		// The last of the 29 peers is one record behind.
		for i, p := range all[31:] {
			remoteTable.ApplyHeartbeat(2*second, p, int64(100-i/28))
		}
		fullSummary := remoteTable.Summary(2*second, 100)
		withoutMembers := fullSummary
		withoutMembers.Members = nil
		t.ApplySummary(2*second, fullSummary)
		t.ApplySummary(5*second, withoutMembers)
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

	It("make a stopped instance of another data centre suspect", func() {
		t, all := newTable(2, 3)
		remoteTable := member.NewTable(all[3], second)
		remoteTable.ApplyList(0, all)
		t.ApplySummary(0, remoteTable.Summary(0, 1))
		remoteTable.ApplyHeartbeat(2*second, all[4], 1)
		nextSummary := remoteTable.Summary(4*second, 1)
		t.ApplySummary(3*second, nextSummary)
		nextSummary.Members = nil
		t.ApplySummary(6*second, nextSummary)
		Expect(t.Owners(6 * second)).To(ContainElements("b-0", "b-1"))
		Expect(t.Owners(6 * second)).NotTo(ContainElement("b-2"))
	})
})
