package fold_test

import (
	"fmt"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// populatedLog returns a log with a configuration, two leases, a key, a sealed window and
// an acknowledged batch.
func populatedLog() *testLog {
	l := newTestLog()
	l.apply(l.newID(), "a", 0, record.Config{YAML: []byte(configYAML)})
	term := l.apply(l.newID(), "a", 0, record.Lease{Name: "deployment", Holder: "a"}).Offset
	l.apply(l.newID(), "a", 0, record.KeyGrant{KeyID: "k1", Account: "shop"})
	l.apply(l.newID(), "a", term, record.UsageSeal{Lease: "deployment", Window: 60, Figures: []record.UsageFigure{}})
	trainerTerm := l.apply(l.newID(), "a", 0, record.Lease{Name: record.TrainerLease("t"), Holder: "a"}).Offset
	l.apply(l.newID(), "a", 0, record.Batch{Trainer: "t", Number: 1, Groups: []record.BatchGroup{{ID: "g", Size: 1}}, Term: trainerTerm})
	l.apply(l.newID(), "a", 0, record.BatchAck{Trainer: "t", Number: 1})
	return l
}

// restoredLog returns a log whose state is restored from a checkpoint of l.
func restoredLog(l *testLog) *testLog {
	parts, err := l.state.CheckpointParts()
	Expect(err).NotTo(HaveOccurred())
	s, err := fold.Restore(parts)
	Expect(err).NotTo(HaveOccurred())
	return &testLog{state: s, lastID: l.lastID}
}

var _ = Describe("Checkpoint", func() {
	It("restores a state that reaches the same digest after further records", func() {
		original := populatedLog()
		restored := restoredLog(original)
		for _, l := range []*testLog{original, restored} {
			Expect(l.apply(uuid.UUID{1}, "a", 0, record.KeyGrant{KeyID: "x", Account: "shop"}).Verdict).To(Equal(fold.Duplicate), "an id from before the checkpoint")
			Expect(l.apply(l.newID(), "b", 1, record.Config{YAML: []byte(configYAML)}).Verdict).To(Equal(fold.Accepted))
		}
		Expect(restored.state.HashChain).To(Equal(original.state.HashChain))
		digest, err := original.state.Digest()
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.state.Digest()).To(Equal(digest))
	})

	DescribeTable("rejects parts that do not match the digest or the offset", func(corrupt func(parts []record.Checkpoint) []record.Checkpoint) {
		parts, err := populatedLog().state.CheckpointParts()
		Expect(err).NotTo(HaveOccurred())
		_, err = fold.Restore(corrupt(parts))
		Expect(err).To(MatchError(fold.ErrCheckpointMismatch))
	},
		Entry("a changed byte", func(p []record.Checkpoint) []record.Checkpoint { p[0].Data[9] ^= 1; return p }),
		Entry("a wrong offset", func(p []record.Checkpoint) []record.Checkpoint { p[0].Offset++; return p }),
		Entry("no parts", func([]record.Checkpoint) []record.Checkpoint { return nil }),
	)

	It("completes a checkpoint only from contiguous parts of one author", func() {
		l := populatedLog()
		part := func(n int) record.Checkpoint { return record.Checkpoint{Offset: 3, Part: n, Parts: 2} }
		Expect(l.apply(l.newID(), "a", 0, part(0)).Verdict).To(Equal(fold.Accepted))
		Expect(l.apply(l.newID(), "b", 0, part(1)).Verdict).To(Equal(fold.Conflict), "another author's part")
		Expect(l.apply(l.newID(), "a", 0, part(1)).Verdict).To(Equal(fold.Conflict), "a record between the parts")
		Expect(l.state.Checkpoint.Offset).To(BeZero())
		l.apply(l.newID(), "a", 0, part(0))
		lastPart := l.apply(l.newID(), "a", 0, part(1))
		Expect(lastPart.Verdict).To(Equal(fold.Accepted))
		Expect(l.state.Checkpoint).To(Equal(fold.CheckpointProgress{Offset: 3, EndOffset: lastPart.Offset}))
		Expect(l.apply(l.newID(), "b", 0, part(0)).Verdict).To(Equal(fold.Conflict), "an older checkpoint")
	})
})

var _ = Describe("Bounded state", func() {
	It("rejects a seal of an evicted window", func() {
		l := newTestLog()
		l.apply(l.newID(), "a", 0, record.Config{YAML: []byte(configYAML)})
		term := l.apply(l.newID(), "a", 0, record.Lease{Name: "deployment", Holder: "a"}).Offset
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

	It("rejects a duplicate whose id was evicted", func() {
		l := newTestLog()
		l.apply(l.newID(), "a", 0, record.Config{YAML: []byte(configYAML)})
		grantID := uuid.New()
		Expect(l.apply(grantID, "a", 0, record.KeyGrant{KeyID: "k", Account: "shop"}).Verdict).To(Equal(fold.Accepted))
		Expect(l.apply(l.newID(), "a", 0, record.KeyWithdraw{KeyID: "k", Account: "shop"}).Verdict).To(Equal(fold.Accepted))
		for range 1<<14 + 1 {
			l.apply(uuid.New(), "a", 0, record.UsageSent{Window: 1})
		}
		repeated := l.apply(grantID, "a", 0, record.KeyGrant{KeyID: "k", Account: "shop"})
		Expect(repeated.Verdict).To(Equal(fold.Expired), "the duplicate must not restore the withdrawn key")
		Expect(l.state.Keys).To(BeEmpty())
	})

	It("deletes the keys of a removed account permanently", func() {
		l := populatedLog()
		withoutShop := []byte("deployment: site\ndataCentres: [{name: north}]\ncost: {limitPerHour: 1}\naccounts: [{name: other}]\n")
		configOffset := l.apply(l.newID(), "a", 1, record.Config{YAML: withoutShop}).Offset
		l.apply(l.newID(), "a", configOffset, record.Config{YAML: []byte(configYAML)})
		Expect(l.state.Keys).To(BeEmpty())
	})
})

var _ = Describe("Format levels", func() {
	// encodeEmpty encodes a record whose body is an empty CBOR map.
	encodeEmpty := func(version uint8, kind record.Kind) []byte {
		data, err := record.Marshal(record.Envelope{ID: uuid.New(), Kind: kind, Version: version, Body: []byte{0xa0}})
		Expect(err).NotTo(HaveOccurred())
		return data
	}
	DescribeTable("rejects a record of a level that is not allowed, and returns ErrUnsupportedFormat for an allowed one that this build cannot read", func(version, format uint8, want error) {
		l := populatedLog()
		l.state.Format = format
		before := l.state.Applied
		res, err := l.state.Apply(before+1, encodeEmpty(version, record.KindUsageSent))
		if want != nil {
			Expect(err).To(MatchError(want))
			Expect(l.state.Applied).To(Equal(before), "the state equals that of the log's prefix")
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Verdict).To(Equal(fold.Malformed))
	},
		Entry("level that is not allowed yet", uint8(2), uint8(1), nil),
		Entry("allowed level that this build cannot read", uint8(2), uint8(2), fold.ErrUnsupportedFormat),
	)
	It("returns ErrUnsupportedFormat for a configuration that this build cannot read", func() {
		l := populatedLog()
		data, err := record.Encode(uuid.New(), "a", 1, record.Config{YAML: []byte("control: {format: 2}\n")})
		Expect(err).NotTo(HaveOccurred())
		_, err = l.state.Apply(l.state.Applied+1, data)
		Expect(err).To(MatchError(fold.ErrUnsupportedFormat))
		Expect(fmt.Sprint(l.state.ConfigOffset)).To(Equal("1"))
	})
})

var _ = Describe("Chain", func() {
	It("differs after a different record", func() {
		a, b := populatedLog(), populatedLog()
		Expect(a.state.HashChain).To(Equal(b.state.HashChain))
		a.apply(a.newID(), "a", 0, record.KeyWithdraw{KeyID: "k1", Account: "shop"})
		b.apply(b.newID(), "a", 0, record.KeyWithdraw{KeyID: "k2", Account: "shop"})
		Expect(a.state.HashChain).NotTo(Equal(b.state.HashChain))
	})
})
