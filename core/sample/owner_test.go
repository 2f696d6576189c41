package sample_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/sample"
)

func TestSample(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1 // a fixed order of the specs
	RunSpecs(t, "core/sample", suite, reporter)
}

// newSample returns a finished sample with one segment of 10 tokens per version.
func newSample(j sample.GenerationRequest, versions ...int64) sample.Sample {
	s := sample.Sample{ID: j.Sample, Group: j.Group.ID}
	for _, v := range versions {
		s.Segments = append(s.Segments, sample.Segment{Version: v, Tokens: 10})
	}
	return s
}

var _ = Describe("Owner", func() {
	var o *sample.Owner
	group := sample.Group{ID: "g", Prompt: "p", MaxTokens: 10, Size: 2}
	BeforeEach(func() {
		o = sample.NewOwner(sample.Limits{MaxStaleness: 2, MaxRunning: 8, MaxBuffered: 4, MaxGroups: 4}, fold.DeliveryState{Trainer: "coach"})
	})
	finishAll := func(versions ...int64) {
		GinkgoHelper()
		for _, j := range o.StartJobs() {
			Expect(o.Finish(j.Index, newSample(j, versions...))).To(Succeed())
		}
	}
	recordBatch := func() {
		GinkgoHelper()
		b, ok := o.Propose(sample.Request{Version: 1, MaxGroups: 9})
		Expect(ok).To(BeTrue())
		o.SetDeliveryState(fold.DeliveryState{Trainer: "coach", LastOffset: 1, Number: b.Number, Groups: b.Groups})
	}

	DescribeTable("proposes a group only while its samples are fresh for the version of the request",
		func(trainerVersion int64, fresh bool, segmentVersions ...int64) {
			Expect(o.Submit(group)).To(Succeed())
			finishAll(segmentVersions...)
			_, ok := o.Propose(sample.Request{Version: trainerVersion, MaxGroups: 1})
			Expect(ok).To(Equal(fresh))
			Expect(len(o.StartJobs()) == group.Size).To(Equal(!fresh), "stale samples are generated again")
		},
		Entry("same version", int64(5), true, int64(5)),
		Entry("at the staleness limit", int64(5), true, int64(3)),
		Entry("past the staleness limit", int64(6), false, int64(3)),
		Entry("oldest segment counts", int64(6), false, int64(3), int64(6)),
		Entry("oldest segment counts in any order", int64(6), false, int64(6), int64(3)),
		Entry("trainer behind the engines", int64(1), true, int64(9)),
		Entry("trainer ahead of every engine", int64(99), false, int64(9)),
	)

	It("sends an open batch again with its stale samples regenerated under the same ids", func() {
		Expect(o.Submit(group)).To(Succeed())
		finishAll(1)
		recordBatch()
		first, err := o.OpenBatch(2)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.OpenBatch(4)).To(BeNil())
		finishAll(4)
		second, err := o.OpenBatch(4)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Number).To(Equal(first.Number))
		for i := range second.Samples {
			Expect(second.Samples[i].ID).To(Equal(first.Samples[i].ID))
			Expect(second.Samples[i].OldestVersion()).To(Equal(int64(4)))
		}
	})

	It("reports the missing groups of an open batch, and accepts only the same ones again", func() {
		o.SetDeliveryState(fold.DeliveryState{LastOffset: 1, Number: 1, Groups: []record.BatchGroup{{ID: "g", Size: 2, Digest: group.Digest()}}})
		_, err := o.OpenBatch(1)
		Expect(err).To(MatchError(sample.ErrGroupsUnknown))
		other := group
		other.Prompt = "another"
		Expect(o.Submit(other)).To(MatchError(sample.ErrGroupExists))
		Expect(o.Submit(group)).To(Succeed())
		finishAll(1)
		Expect(o.OpenBatch(1)).NotTo(BeNil())
	})

	// Guards against a batch with samples of a prompt that its group does not have: mirrors of several
	// terms may hold two groups of one id.
	It("restores no samples of another prompt from a mirror", func() {
		other := sample.Sample{ID: sample.ID("g", 0), Group: "g", Prompt: "another", Segments: []sample.Segment{{Version: 1, Tokens: 10}}}
		own := other
		own.ID, own.Prompt = sample.ID("g", 1), group.Prompt
		o.Restore(sample.Snapshot{Groups: []sample.Group{group}, Samples: []sample.Sample{other, own}})
		Expect(o.Snapshot().Samples).To(ConsistOf(own))
	})

	It("rejects a sample with a segment of unknown version or without segments", func() {
		Expect(o.Submit(group)).To(Succeed())
		j := o.StartJobs()[0]
		Expect(o.Finish(j.Index, newSample(j))).To(MatchError(sample.ErrNoWeightVersion))
		Expect(o.Finish(j.Index, newSample(j, 1, 0, 1))).To(MatchError(sample.ErrNoWeightVersion))
	})

	It("stops generating at MaxBuffered and resumes after the trainer acknowledges a batch", func() {
		for _, id := range []string{"a", "b", "c", "d"} {
			g := group
			g.ID = id
			Expect(o.Submit(g)).To(Succeed())
		}
		Expect(o.Submit(sample.Group{ID: "e", Size: 1})).To(MatchError(sample.ErrTooManyGroups))
		finishAll(1)
		Expect(o.StartJobs()).To(BeEmpty())
		recordBatch()
		deliveries := o.DeliveryState()
		logState := fold.New()
		lease := record.TrainerLease("coach")
		for i, body := range []record.Body{
			record.Lease{Name: lease, Holder: "x"},
			record.Batch{Trainer: "coach", Number: 1, Term: 1, Groups: deliveries.Groups},
			record.BatchAck{Trainer: "coach", Number: 1},
		} {
			data, err := record.Encode(record.ID{byte(i + 1)}, "x", 0, body)
			Expect(err).NotTo(HaveOccurred())
			_, err = logState.Apply(record.Offset(i+1), data)
			Expect(err).NotTo(HaveOccurred())
		}
		o.SetDeliveryState(logState.Deliveries["coach"])
		Expect(o.StartJobs()).To(HaveLen(4))
	})

	It("delivers no batch while a running sample would be too stale at the next version", func() {
		o.SetLimits(sample.Limits{MaxStaleness: 2, MaxRunning: 8, MaxBuffered: 8, MaxGroups: 4})
		Expect(o.Submit(group)).To(Succeed())
		long := sample.Group{ID: "long", MaxTokens: 1, Size: 1}
		Expect(o.Submit(long)).To(Succeed())
		var straggler sample.GenerationRequest
		for _, j := range o.StartJobs() {
			o.RecordFirstVersion(j, 3)
			if j.Group.ID == "long" {
				straggler = j
				continue
			}
			Expect(o.Finish(j.Index, newSample(j, 3))).To(Succeed())
		}
		propose := func(version int64, waitForExpiring bool) int {
			b, ok := o.Propose(sample.Request{Version: version, MaxGroups: 1, WaitForExpiring: waitForExpiring})
			Expect(ok).To(Equal(len(b.Groups) > 0))
			return len(b.Groups)
		}
		Expect(propose(4, true)).To(Equal(1), "the sample is still fresh at the next version")
		Expect(propose(5, true)).To(Equal(0))
		Expect(propose(5, false)).To(Equal(1), "the request does not wait for expiring samples")
		Expect(o.Finish(straggler.Index, newSample(straggler, 3, 4, 5))).To(Succeed())
		Expect(propose(5, true)).To(Equal(1))
	})

	It("puts the groups closest to the staleness limit into a batch first", func() {
		newer := sample.Group{ID: "newer", MaxTokens: 1, Size: 1}
		older := sample.Group{ID: "older", MaxTokens: 1, Size: 1}
		Expect(o.Submit(newer)).To(Succeed())
		Expect(o.Submit(older)).To(Succeed())
		versions := map[string]int64{"newer": 5, "older": 4}
		for _, j := range o.StartJobs() {
			Expect(o.Finish(j.Index, newSample(j, versions[j.Group.ID]))).To(Succeed())
		}
		b, ok := o.Propose(sample.Request{Version: 5, MaxGroups: 1})
		Expect(ok).To(BeTrue())
		Expect(b.Groups[0].ID).To(Equal("older"))
	})

	It("starts the group with the longest predicted samples first", func() {
		long := sample.Group{ID: "long", MaxTokens: 200, Size: 1}
		Expect(o.Submit(group)).To(Succeed())
		Expect(o.Submit(long)).To(Succeed())
		Expect(o.StartJobs()[0].Group.ID).To(Equal("long"))
	})
})
