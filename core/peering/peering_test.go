package peering_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/peering"
)

func TestPeering(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1 // the same spec order in every run
	RunSpecs(t, "core/peering", suite, reporter)
}

const interval = peering.AnnounceInterval

func ip(s string) netip.Addr { return netip.MustParseAddr(s) }

// announcements holds the latest announcement of each instance and reads them like the log.
type announcements struct {
	renewals peering.Renewals
	peers    map[string]peering.Peer
	offset   int64
}

func newAnnouncements() *announcements { return &announcements{peers: map[string]peering.Peer{}} }

func (a *announcements) read(now time.Duration, name, address, fingerprint string) {
	a.offset++
	if name == "self" {
		a.renewals.OwnRead(now)
	}
	a.peers[name] = peering.Peer{Name: name, Address: address, Fingerprint: fingerprint, AnnouncedAt: now, Offset: a.offset}
}

func (a *announcements) set(now time.Duration) *peering.Set {
	var peers []peering.Peer
	for _, p := range a.peers {
		peers = append(peers, p)
	}
	return peering.NewSet(a.renewals.Current(now, peers))
}

// accepted reports whether the key is accepted.
func (a *announcements) accepted(now time.Duration, fingerprint string) bool {
	_, found := a.set(now).AcceptsKey(fingerprint)
	return found
}

var _ = Describe("Instances known from the log", func() {
	var a *announcements
	BeforeEach(func() {
		a = newAnnouncements()
		a.read(0, "self", "10.0.0.1:7001", "k-self")
		a.read(0, "b", "10.0.0.2:7001", "k-b")
	})

	It("are accepted with the key of their latest announcement only", func() {
		Expect(a.accepted(0, "k-b")).To(BeTrue())
		Expect(a.accepted(0, "")).To(BeFalse())
		Expect(a.accepted(0, "k-x")).To(BeFalse(), "a stranger")
		a.read(time.Second, "b", "10.0.0.2:7001", "k-b2")
		Expect(a.accepted(time.Second, "k-b")).To(BeFalse(), "the process has ended")
		Expect(a.accepted(time.Second, "k-b2")).To(BeTrue())
		p, found := a.set(time.Second).At("10.0.0.2:7001")
		Expect(found).To(BeTrue())
		Expect(p.Fingerprint).To(Equal("k-b2"))
	})

	// Guards against an instance that has been removed keeping its access.
	It("lapse three intervals after their last announcement", func() {
		for n := range 4 {
			a.read(time.Duration(n)*interval, "self", "10.0.0.1:7001", "k-self")
		}
		Expect(a.accepted(3*interval, "k-b")).To(BeTrue())
		Expect(a.accepted(3*interval+1, "k-b")).To(BeFalse())
		_, found := a.set(3*interval + 1).At("10.0.0.2:7001")
		Expect(found).To(BeFalse(), "nothing is sent there either")
	})

	DescribeTable("do not lapse while the log is away", func(awayFor time.Duration) {
		end := interval + awayFor
		a.read(interval, "self", "10.0.0.1:7001", "k-self")
		a.read(interval, "b", "10.0.0.2:7001", "k-b")
		for now := interval; now <= end; now += interval / 4 {
			Expect(a.accepted(now, "k-b")).To(BeTrue(), "at %s", now)
		}
		a.read(end, "self", "10.0.0.1:7001", "k-self")
		Expect(a.accepted(end, "k-b")).To(BeTrue(), "its announcement may be a little later than the own one")
		for n := range 4 {
			a.read(end+time.Duration(n)*interval, "self", "10.0.0.1:7001", "k-self")
		}
		Expect(a.accepted(end+3*interval+1, "k-b")).To(BeFalse(), "it has not come back")
	},
		Entry("for three and a half intervals", 3*interval+interval/2),
		Entry("for an hour", time.Hour),
	)

	It("are all accepted by an instance that joins and reads a history of any age, and lapse if they are gone", func() {
		joining := newAnnouncements()
		joining.read(0, "gone", "10.0.0.9:7001", "k-gone")
		joining.read(0, "b", "10.0.0.2:7001", "k-b")
		Expect(joining.accepted(10*interval, "k-b")).To(BeTrue(), "no own announcement was read: the log may not take any")
		for n := range 4 {
			joining.read(time.Duration(10+n)*interval, "self", "10.0.0.1:7001", "k-self")
			joining.read(time.Duration(10+n)*interval, "b", "10.0.0.2:7001", "k-b")
		}
		Expect(joining.accepted(13*interval+1, "k-gone")).To(BeFalse())
		Expect(joining.accepted(13*interval+1, "k-b")).To(BeTrue())
	})

	// Guards against a removed instance that keeps its access, or gets the calls of the one at
	// its address, because the platform gave its address to another machine.
	It("lose an address that another instance has announced later", func() {
		a.read(time.Second, "c", "10.0.0.2:7001", "k-c")
		p, _ := a.set(time.Second).At("10.0.0.2:7001")
		Expect(p.Name).To(Equal("c"))
		Expect(a.accepted(time.Second, "k-b")).To(BeFalse())
		Expect(a.accepted(time.Second, "k-c")).To(BeTrue())
	})

	// Guards against plain connections that stay allowed once an upgrade is over.
	It("speak plain only with a build that announces no key, from and to its address", func() {
		a.read(0, "old", "10.0.0.3:7001", "")
		s := a.set(0)
		Expect(s.AcceptsPlain(ip("10.0.0.3"))).To(BeTrue())
		Expect(s.AcceptsPlain(ip("::ffff:10.0.0.3"))).To(BeTrue())
		Expect(s.AcceptsPlain(ip("10.0.0.2"))).To(BeFalse(), "an instance with a key")
		Expect(s.AcceptsPlain(ip("10.0.0.4"))).To(BeFalse(), "a stranger")
		p, found := s.At("10.0.0.3:7001")
		Expect(found).To(BeTrue())
		Expect(p.Fingerprint).To(BeEmpty())

		a.read(interval, "old", "10.0.0.3:7001", "k-upgraded")
		s = a.set(interval)
		Expect(s.AcceptsPlain(ip("10.0.0.3"))).To(BeFalse())
		Expect(s.Knows(ip("10.0.0.3"))).To(BeTrue())
		Expect(s.Knows(ip("10.0.0.4"))).To(BeFalse())

		a.read(2*interval, "old", "10.0.0.3:7001", "")
		Expect(a.set(2*interval).AcceptsPlain(ip("10.0.0.3"))).To(BeTrue(), "the upgrade was undone")
	})

	It("without a listener are accepted, but nothing is sent to them", func() {
		a.read(0, "silent", "", "k-silent")
		a.read(0, "silent2", "", "k-silent2")
		a.read(0, "bad", "no address", "")
		s := a.set(0)
		Expect(a.accepted(0, "k-silent")).To(BeTrue())
		Expect(a.accepted(0, "k-silent2")).To(BeTrue())
		for _, address := range []string{"", "no address"} {
			_, found := s.At(address)
			Expect(found).To(BeFalse())
		}
	})
})

// Guards against announcements of all instances, several a second, that hold up the heartbeats and
// results in a log that executes ten appends a second.
var _ = DescribeTable("Announcements while the log is slow", func(instances int, slowFor time.Duration) {
	const slowAt = 2 * interval
	random := rand.New(rand.NewPCG(1, 2))
	due, announced := make([]time.Duration, instances), make([]time.Duration, instances)
	for i := range due {
		due[i] = time.Duration(random.Float64() * float64(interval))
	}
	whileSlow, mostInASecond, inThisSecond, oldest := 0, 0, 0, time.Duration(0)
	for now := time.Duration(0); now < 10*interval; now += 10 * time.Millisecond {
		if now%time.Second == 0 {
			inThisSecond = 0
		}
		slow, delay := now >= slowAt && now < slowAt+slowFor, 4*time.Millisecond
		if slow {
			delay = time.Second
		}
		for i := range due {
			if now < due[i] {
				continue
			}
			age := now - announced[i]
			if wait := peering.PutOff(age, delay, random.Float64()); wait > 0 {
				due[i] = now + wait
				continue
			}
			oldest, announced[i], due[i] = max(oldest, age), now, now+interval
			inThisSecond++
			if slow {
				whileSlow++
			}
		}
		mostInASecond = max(mostInASecond, inThisSecond)
	}
	if slowFor <= interval {
		Expect(whileSlow).To(BeZero())
	}
	Expect(oldest).To(BeNumerically("<", 3*interval-10*time.Second), "an entry lapses after three intervals, an append may take 10 s")
	Expect(mostInASecond).To(BeNumerically("<=", max(4, instances/5)), "a sound log executes 500 appends a second")
},
	Entry("9 instances", 9, 8*time.Second),
	Entry("295 instances", 295, 8*time.Second),
	Entry("295 instances, for a minute", 295, interval),
	Entry("295 instances, for good", 295, 10*interval),
	Entry("1,700 instances", 1700, 8*time.Second),
	Entry("1,700 instances, for a minute", 1700, interval),
)
