package fold_test

import (
	"fmt"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// site returns a log with a configuration, a lease, keys and a sealed window.
func site() *log {
	l := newLog()
	l.apply(l.id(), "a", 0, record.Config{YAML: []byte(yaml)})
	term := l.apply(l.id(), "a", 0, record.Lease{Name: "deployment", Holder: "a"}).Offset
	l.apply(l.id(), "a", 0, record.KeyGrant{KeyID: "k1", Account: "shop"})
	l.apply(l.id(), "a", term, record.UsageSeal{Lease: "deployment", Window: 60, Figures: []record.UsageFigure{}})
	trainer := l.apply(l.id(), "a", 0, record.Lease{Name: record.TrainerLease("t"), Holder: "a"}).Offset
	l.apply(l.id(), "a", 0, record.Batch{Trainer: "t", Number: 1, Groups: []record.BatchGroup{{ID: "g", Size: 1}}, Term: trainer})
	l.apply(l.id(), "a", 0, record.BatchAck{Trainer: "t", Number: 1})
	return l
}

func restored(l *log) *log {
	parts, err := l.state.CheckpointParts()
	Expect(err).NotTo(HaveOccurred())
	s, err := fold.Restore(parts)
	Expect(err).NotTo(HaveOccurred())
	return &log{state: s, next: l.next}
}

var _ = Describe("Checkpoint", func() {
	It("restores a state that folds on to the same digest", func() {
		whole := site()
		joined := restored(whole)
		for _, l := range []*log{whole, joined} {
			Expect(l.apply(uuid.UUID{1}, "a", 0, record.KeyGrant{KeyID: "x", Account: "shop"}).Verdict).To(Equal(fold.Duplicate), "an id from before the checkpoint")
			Expect(l.apply(l.id(), "b", 1, record.Config{YAML: []byte(yaml)}).Verdict).To(Equal(fold.Accepted))
		}
		Expect(joined.state.HashChain).To(Equal(whole.state.HashChain))
		digest, err := whole.state.Digest()
		Expect(err).NotTo(HaveOccurred())
		Expect(joined.state.Digest()).To(Equal(digest))
	})

	DescribeTable("refuses what does not match its digest", func(spoil func(parts []record.Checkpoint) []record.Checkpoint) {
		parts, err := site().state.CheckpointParts()
		Expect(err).NotTo(HaveOccurred())
		_, err = fold.Restore(spoil(parts))
		Expect(err).To(MatchError(fold.ErrCheckpointMismatch))
	},
		Entry("a changed byte", func(p []record.Checkpoint) []record.Checkpoint { p[0].Data[9] ^= 1; return p }),
		Entry("a wrong offset", func(p []record.Checkpoint) []record.Checkpoint { p[0].Offset++; return p }),
		Entry("a missing part", func([]record.Checkpoint) []record.Checkpoint { return nil }),
	)

	It("counts a checkpoint only when its parts stand together", func() {
		l := site()
		part := func(n int) record.Checkpoint { return record.Checkpoint{Offset: 3, Part: n, Parts: 2} }
		Expect(l.apply(l.id(), "a", 0, part(0)).Verdict).To(Equal(fold.Accepted))
		Expect(l.apply(l.id(), "b", 0, part(1)).Verdict).To(Equal(fold.Conflict), "another author's part")
		Expect(l.apply(l.id(), "a", 0, part(1)).Verdict).To(Equal(fold.Conflict), "a record between")
		Expect(l.state.Checkpoint.Offset).To(BeZero())
		l.apply(l.id(), "a", 0, part(0))
		written := l.apply(l.id(), "a", 0, part(1))
		Expect(written.Verdict).To(Equal(fold.Accepted))
		Expect(l.state.Checkpoint).To(Equal(fold.CheckpointProgress{Offset: 3, EndOffset: written.Offset}))
		Expect(l.apply(l.id(), "b", 0, part(0)).Verdict).To(Equal(fold.Conflict), "an older checkpoint")
	})
})

var _ = Describe("Bounded state", func() {
	It("never seals a forgotten window again", func() {
		l := newLog()
		l.apply(l.id(), "a", 0, record.Config{YAML: []byte(yaml)})
		term := l.apply(l.id(), "a", 0, record.Lease{Name: "deployment", Holder: "a"}).Offset
		seal := func(w int64) fold.Result {
			return l.apply(uuid.New(), "a", term, record.UsageSeal{Lease: "deployment", Window: w, Previous: l.state.Billing.LastSeal})
		}
		for w := range int64(100) {
			Expect(seal(w + 1).Verdict).To(Equal(fold.Accepted))
			l.apply(uuid.New(), "a", 0, record.UsageSent{Window: w + 1})
		}
		Expect(l.state.Windows).To(HaveLen(64))
		Expect(seal(1).Verdict).To(Equal(fold.Conflict))
		Expect(seal(101).Verdict).To(Equal(fold.Accepted))
	})

	It("voids a repeat that is older than the memory of ids", func() {
		l := newLog()
		l.apply(l.id(), "a", 0, record.Config{YAML: []byte(yaml)})
		grant := uuid.New()
		Expect(l.apply(grant, "a", 0, record.KeyGrant{KeyID: "k", Account: "shop"}).Verdict).To(Equal(fold.Accepted))
		Expect(l.apply(l.id(), "a", 0, record.KeyWithdraw{KeyID: "k", Account: "shop"}).Verdict).To(Equal(fold.Accepted))
		for range 1<<14 + 1 {
			l.apply(uuid.New(), "a", 0, record.UsageSent{Window: 1})
		}
		late := l.apply(grant, "a", 0, record.KeyGrant{KeyID: "k", Account: "shop"})
		Expect(late.Verdict).To(Equal(fold.Expired), "the withdrawn key must not come back")
		Expect(l.state.Keys).To(BeEmpty())
	})

	It("drops the keys of a removed account for good", func() {
		l := site()
		without := []byte("deployment: site\ndataCentres: [{name: north}]\ncost: {limitPerHour: 1}\naccounts: [{name: other}]\n")
		at := l.apply(l.id(), "a", 1, record.Config{YAML: without}).Offset
		l.apply(l.id(), "a", at, record.Config{YAML: []byte(yaml)})
		Expect(l.state.Keys).To(BeEmpty())
	})
})

var _ = Describe("Format levels", func() {
	raw := func(version uint8, kind record.Kind) []byte {
		data, err := record.Marshal(record.Envelope{ID: uuid.New(), Kind: kind, Version: version, Body: []byte{0xa0}})
		Expect(err).NotTo(HaveOccurred())
		return data
	}
	DescribeTable("void on every build, or a stop of this one", func(version, format uint8, want error) {
		l := site()
		l.state.Format = format
		before := l.state.Applied
		res, err := l.state.Apply(before+1, raw(version, record.KindUsageSent))
		if want != nil {
			Expect(err).To(MatchError(want))
			Expect(l.state.Applied).To(Equal(before), "the state stays a true prefix")
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Verdict).To(Equal(fold.Malformed))
	},
		Entry("level that is not allowed yet", uint8(2), uint8(1), nil),
		Entry("allowed level that this build cannot read", uint8(2), uint8(2), fold.ErrUnsupportedFormat),
	)
	It("stops at a configuration that this build cannot read", func() {
		l := site()
		data, err := record.Encode(uuid.New(), "a", 1, record.Config{YAML: []byte("control: {format: 2}\n")})
		Expect(err).NotTo(HaveOccurred())
		_, err = l.state.Apply(l.state.Applied+1, data)
		Expect(err).To(MatchError(fold.ErrUnsupportedFormat))
		Expect(fmt.Sprint(l.state.ConfigOffset)).To(Equal("1"))
	})
})

var _ = Describe("Chain", func() {
	It("differs after a different record", func() {
		a, b := site(), site()
		Expect(a.state.HashChain).To(Equal(b.state.HashChain))
		a.apply(a.id(), "a", 0, record.KeyWithdraw{KeyID: "k1", Account: "shop"})
		b.apply(b.id(), "a", 0, record.KeyWithdraw{KeyID: "k2", Account: "shop"})
		Expect(a.state.HashChain).NotTo(Equal(b.state.HashChain))
	})
})
