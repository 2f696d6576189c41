package control

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

// steppedClock is a clock for tests of a single goroutine, which set now.
type steppedClock struct{ now time.Duration }

func (c *steppedClock) Now() time.Duration { return c.now }
func (c *steppedClock) Wall() time.Time    { return time.UnixMilli(0).Add(c.now) }

func newConfiguredLoop(t testing.TB, c *steppedClock) *Loop {
	l := New(Options{Self: member.Peer{ID: "a"}, Clock: c, Events: events.New("a", nil, c.Wall)})
	yaml, err := config.Marshal(&config.Config{
		Deployment: "d", Region: "r", DataCentres: []config.DataCentre{{Name: "dc"}},
		Services: []config.Service{{Name: "s", Kind: config.KindEngine, Model: "m", MinTargets: 1, MaxTargets: 20000, Concurrency: 8, QueueLimit: 8}},
		Accounts: []config.Account{{Name: "acc", Weight: 1, Services: []string{"s"}}},
		Cost:     config.Cost{LimitPerHour: 1},
		Usage:    config.Usage{Window: time.Second},
		Control:  config.Control{LeaseTerm: 6 * time.Second, DriftMargin: time.Second, Heartbeat: time.Second, FreshFor: time.Second, OrderFlight: time.Second},
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	applyBody(t, l, record.Config{YAML: yaml}, "c")
	return l
}

func applyBody(t testing.TB, l *Loop, body record.Body, id string) {
	g := NewWithT(t)
	var rid record.ID
	copy(rid[:], id)
	data, err := record.Encode(rid, "a", 0, body)
	g.Expect(err).NotTo(HaveOccurred())
	res, err := l.state.Apply(l.state.Applied+1, data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Err).NotTo(HaveOccurred())
	l.onRecordApplied(l.Clock.Now(), res)
}

func runningTargets(n int) []platform.Target {
	out := make([]platform.Target, n)
	for i := range out {
		out[i] = platform.Target{ID: fmt.Sprintf("t%05d", n-i), Service: "s", DataCentre: "dc", URL: "http://x", State: platform.TargetRunning}
	}
	return out
}

func TestRoutesAreRebuiltOnlyOnChange(t *testing.T) {
	g := NewWithT(t)
	c := &steppedClock{now: time.Second}
	l := newConfiguredLoop(t, c)
	targetsRead{"dc", runningTargets(3)}.handle(l)
	l.publish()
	first := l.Snapshot().RoutingTable
	g.Expect(first.Targets("s")).To(HaveLen(3))

	targetsRead{"dc", runningTargets(3)}.handle(l)
	l.publish()
	g.Expect(l.Snapshot().RoutingTable).To(BeIdenticalTo(first), "the list has not changed")

	ownLoads{[]TargetLoad{{Target: "t00001", Load: 5}}}.handle(l)
	l.publish()
	g.Expect(l.Snapshot().RoutingTable).To(BeIdenticalTo(first), "a load changed within loadInterval")
	c.now += loadInterval
	l.publish()
	g.Expect(l.Snapshot().Target("s", "t00001").Load).To(Equal(5))

	ownLoads{[]TargetLoad{{Target: "t00001", Load: 5, Leaving: true}}}.handle(l)
	l.publish()
	g.Expect(l.Snapshot().Target("s", "t00001").Unavailable).To(BeTrue(), "a terminating target becomes unavailable at once")

	listRead{[]platform.ListedInstance{{ID: "b", State: platform.InstanceLive}}}.handle(l)
	l.publish()
	for _, target := range l.Snapshot().RoutingTable.Targets("s") {
		g.Expect(target.Owner).To(Equal(member.Owner(target.ID, []string{"a", "b"})))
	}

	targetsRead{"dc", runningTargets(2)}.handle(l)
	l.publish()
	g.Expect(l.Snapshot().RoutingTable.Targets("s")).To(HaveLen(2))
}

func TestKeyIndexFollowsTheLog(t *testing.T) {
	g := NewWithT(t)
	l := newConfiguredLoop(t, &steppedClock{})
	for i := range 50 {
		applyBody(t, l, record.KeyGrant{KeyID: fmt.Sprint(i), Account: "acc", Digest: testDigest(i)}, fmt.Sprintf("g%d", i))
	}
	before := l.keys
	applyBody(t, l, record.KeyWithdraw{KeyID: "7", Account: "acc"}, "w")
	_, held := l.keys.Get(testDigest(7))
	g.Expect(held).To(BeFalse())
	_, held = before.Get(testDigest(7))
	g.Expect(held).To(BeTrue(), "a published index does not change")
	g.Expect(l.keys.Len()).To(Equal(49))
	rebuilt := NewKeyIndex(l.state.Keys)
	for i := range 50 {
		want, wantHeld := rebuilt.Get(testDigest(i))
		got, gotHeld := l.keys.Get(testDigest(i))
		g.Expect(gotHeld).To(Equal(wantHeld))
		g.Expect(got).To(Equal(want))
	}
}

func testDigest(i int) (d [32]byte) {
	d[0], d[1], d[2] = byte(i), byte(i>>8), byte(i>>16)
	d[31] = 1
	return d
}

const manyKeys = 100_000

func testKeys(n int) map[string]fold.Key {
	keys := make(map[string]fold.Key, n)
	for i := range n {
		keys[fmt.Sprint(i)] = fold.Key{ID: fmt.Sprint(i), Account: "acc", Digest: testDigest(i)}
	}
	return keys
}

func BenchmarkKeyChange(b *testing.B) {
	x := NewKeyIndex(testKeys(manyKeys))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d := testDigest(i % manyKeys)
		x = x.Without(d).With(fold.Key{Digest: d})
	}
}

func BenchmarkKeyIndexRebuild(b *testing.B) {
	keys := testKeys(manyKeys)
	for b.Loop() {
		NewKeyIndex(keys)
	}
}

func BenchmarkPublish(b *testing.B) {
	c := &steppedClock{now: time.Second}
	l := newConfiguredLoop(b, c)
	targetsRead{"dc", runningTargets(12_000)}.handle(l)
	l.publish()
	b.Run("unchanged", func(b *testing.B) {
		for b.Loop() {
			l.publish()
		}
	})
	b.Run("loads", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			c.now += time.Second
			ownLoads{[]TargetLoad{{Target: "t00001", Load: i + 1}}}.handle(l)
			l.publish()
		}
	})
	b.Run("owners", func(b *testing.B) {
		var owners []string
		for i := range 1700 {
			owners = append(owners, fmt.Sprintf("i%04d", i))
		}
		for i := 0; b.Loop(); i++ {
			l.routingTable(c.now, owners[i%2:])
		}
	})
}

func BenchmarkKeyCheck(b *testing.B) {
	secret := "amk-QF3rjZg-s0cHJa5WvAwZk2BlrQxuebchRTdBiGUvl8M"
	keys := testKeys(manyKeys)
	keys["k"] = fold.Key{ID: "k", Digest: sha256.Sum256([]byte(secret))}
	s := &Snapshot{Keys: NewKeyIndex(keys)}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.Key(secret); !ok {
			b.Fatal("not granted")
		}
	}
}
