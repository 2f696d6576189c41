package job_test

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// replay encodes, decodes and applies the records at offsets from 0, one second apart. It
// returns the state and which records were accepted.
func replay(records ...job.Record) (*job.State, []bool) {
	s := job.NewState()
	accepted := make([]bool, len(records))
	for i, r := range records {
		data, err := job.Encode(r)
		Expect(err).NotTo(HaveOccurred())
		decoded, err := job.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		accepted[i] = s.Apply(int64(i), time.Duration(i)*time.Second, decoded)
	}
	return s, accepted
}

func submitted(id, runner string, tasks ...string) job.Record {
	s := &job.Submitted{Job: id, Account: "a", Route: "r", Model: "m", Runner: runner, MinVersion: 2}
	for _, t := range tasks {
		s.Tasks = append(s.Tasks, job.TaskRef{ID: t})
	}
	return job.Record{Writer: runner, At: 1000, Submitted: s}
}

func listed(id, writer string, results ...job.Result) job.Record {
	return job.Record{Writer: writer, Listed: &job.Listed{Job: id, Results: results}}
}

func claimed(id string, term int64, runner string) job.Record {
	return job.Record{Writer: runner, Claimed: &job.Claimed{Job: id, Term: term, Runner: runner}}
}

// chunk returns a record with a chunk of a location that all chunks share, and that it goes on after.
func chunk(id string, c job.Chunk) job.Record {
	c.After = &c.Location
	return job.Record{Writer: "n1", Progress: &job.Progress{Job: id, Chunks: []job.Chunk{c}}}
}

var _ = Describe("Jobs", func() {
	It("accepts the first submission of an id only", func() {
		s, accepted := replay(submitted("j", "n1", "x"), submitted("j", "n2", "x"))
		Expect(accepted).To(Equal([]bool{true, false}))
		Expect(s.Jobs["j"].Runner).To(Equal("n1"))
	})

	// Guards against a result with several weight versions on a route that allows one, by whatever path or build.
	It("list no result of other than one weight version where one is allowed, whoever wrote it", func() {
		single := submitted("j", "n1", "x", "y")
		single.Submitted.SingleVersion = true
		mixed, own := job.Result{Task: 0, Completed: true, Versions: []int64{2, 3}}, job.Result{Task: 0, Completed: true, Versions: []int64{3}}
		s, accepted := replay(single, listed("j", "n1", mixed), listed("j", "n2", mixed), listed("j", "n2", job.Result{Task: 0, Completed: true}),
			listed("j", "n2", own), listed("j", "n1", job.Result{Task: 1}))
		Expect(accepted).To(Equal([]bool{true, false, false, false, true, true}))
		Expect(s.Jobs["j"].Results).To(Equal([]job.Result{own, {Task: 1}}))
		Expect(s.Jobs["j"].Open()).To(BeFalse())
		s, _ = replay(submitted("j", "n1", "x"), listed("j", "n1", mixed))
		Expect(s.Jobs["j"].Results).To(Equal([]job.Result{mixed}), "a route that allows several")
	})

	It("accepts the first result of a task from any runner and keeps its position", func() {
		s, accepted := replay(submitted("j", "n1", "x", "y"),
			listed("j", "n1", job.Result{Task: 1, Completed: true, Versions: []int64{2}}),
			listed("j", "n2", job.Result{Task: 1, Completed: true, Versions: []int64{3}}, job.Result{Task: 0}),
			listed("j", "n2", job.Result{Task: 0, Completed: true}),
			listed("j", "n2", job.Result{Task: 7}),
		)
		Expect(accepted).To(Equal([]bool{true, true, true, false, false}))
		Expect(s.Jobs["j"].Results).To(HaveLen(2))
		Expect(s.Jobs["j"].Results[0].Versions).To(Equal([]int64{2}))
		Expect(s.Jobs["j"].Open()).To(BeFalse())
	})

	It("accepts the first claim of the next term only", func() {
		s, accepted := replay(submitted("j", "n1", "x"), claimed("j", 1, "n2"), claimed("j", 1, "n3"), claimed("j", 3, "n3"), claimed("j", 2, ""))
		Expect(accepted).To(Equal([]bool{true, true, false, false, true}))
		Expect(s.Jobs["j"].Runner).To(BeEmpty())
		Expect(s.Jobs["j"].Term).To(Equal(int64(2)))
	})

	// Guards against two runners until the end of a job: the log has removed claims before this
	// instance has read them.
	It("have the runner of a later term, though its claim was not read", func() {
		heartbeat := func(writer string, term int64) job.Record {
			return job.Record{Writer: writer, Progress: &job.Progress{Job: "j", Term: term}}
		}
		s, accepted := replay(submitted("j", "n1", "x"), claimed("j", 3, "n3"), heartbeat("n3", 3), heartbeat("n2", 2), heartbeat("n1", 0), claimed("j", 3, "n4"))
		Expect(accepted[5]).To(BeFalse())
		Expect(s.Jobs["j"].Runner).To(Equal("n3"))
		Expect(s.Jobs["j"].RunnerConfirmed).To(BeTrue())
		Expect(s.Apply(6, 0, claimed("j", 4, "n4"))).To(BeTrue())
		Expect(s.Jobs["j"].Runner).To(Equal("n4"))
	})

	It("sets the time when the runner was last seen only by the runner's own records", func() {
		s, _ := replay(submitted("j", "n1", "x"),
			job.Record{Writer: "n2", Progress: &job.Progress{Job: "j"}},
			job.Record{Writer: "n1", Progress: &job.Progress{Job: "j"}})
		Expect(s.Jobs["j"].RunnerSeenAt).To(Equal(2 * time.Second))
	})

	It("keeps the runner of a model until another instance claims a job of the model", func() {
		s, _ := replay(submitted("j", "n1", "x"), job.Record{Writer: "n1", Progress: &job.Progress{Job: "j"}})
		Expect(s.Jobs["j"].RunnerConfirmed).To(BeTrue())
		Expect(s.Runners["m"]).To(Equal(job.Runner{Name: "n1", LastSeen: time.Second}))
		s, _ = replay(submitted("j", "n1", "x"), job.Record{Writer: "n1", Progress: &job.Progress{Job: "j"}}, claimed("j", 1, "n2"))
		Expect(s.Jobs["j"].RunnerConfirmed).To(BeFalse())
		Expect(s.Runners["m"].Name).To(Equal("n2"))
	})

	It("removes a stopping runner from the model's runners but not from its current jobs", func() {
		s, accepted := replay(submitted("j", "n1", "x"), job.Record{Writer: "n2", InstanceLeaving: &job.InstanceLeaving{}},
			job.Record{Writer: "n1", InstanceLeaving: &job.InstanceLeaving{}})
		Expect(accepted).To(Equal([]bool{true, false, true}))
		Expect(s.Runners).To(BeEmpty())
		Expect(s.Jobs["j"].Runner).To(Equal("n1"))
	})

	It("counts server errors over all runners", func() {
		s, _ := replay(submitted("j", "n1", "x"),
			job.Record{Writer: "n1", Progress: &job.Progress{Job: "j", Failed: []int{0}}},
			claimed("j", 1, "n2"),
			job.Record{Writer: "n2", Progress: &job.Progress{Job: "j", Failed: []int{0, 9}}})
		Expect(s.Jobs["j"].Status[0].Failures).To(Equal(2))
	})

	It("accepts the first end of a job only and keeps the recorded results", func() {
		s, accepted := replay(submitted("j", "n1", "x", "y"), listed("j", "n1", job.Result{Task: 0}),
			job.Record{Ended: &job.Ended{Job: "j"}}, job.Record{Ended: &job.Ended{Job: "j"}})
		Expect(accepted[2:]).To(Equal([]bool{true, false}))
		Expect(s.Jobs["j"].Open()).To(BeFalse())
		Expect(s.Jobs["j"].Results).To(HaveLen(1))
	})

	It("rejects records of unknown jobs", func() {
		_, accepted := replay(listed("j", "n1", job.Result{}), claimed("j", 1, "n1"), job.Record{Ended: &job.Ended{Job: "j"}})
		Expect(accepted).To(Equal([]bool{false, false, false}))
	})

	DescribeTable("returns the contiguous chunks of a task from event 1",
		func(chunks []job.Chunk, minVersion, last int64) {
			records := []job.Record{submitted("j", "n1", "x")}
			for _, c := range chunks {
				records = append(records, chunk("j", c))
			}
			s, _ := replay(records...)
			stored := s.Jobs["j"].Status[0].ContiguousChunks(minVersion)
			if last == 0 {
				Expect(stored).To(BeEmpty())
				return
			}
			Expect(stored[len(stored)-1].Last).To(Equal(last))
		},
		Entry("contiguous", []job.Chunk{{First: 1, Last: 3, Versions: []int64{2}}, {First: 4, Last: 5, Versions: []int64{2}}}, int64(2), int64(5)),
		Entry("a gap", []job.Chunk{{First: 1, Last: 3, Versions: []int64{2}}, {First: 5, Last: 6, Versions: []int64{2}}}, int64(2), int64(3)),
		Entry("twice", []job.Chunk{{First: 1, Last: 3, Versions: []int64{2}}, {First: 3, Last: 4, Versions: []int64{2}}}, int64(2), int64(3)),
		Entry("a restart from event 1", []job.Chunk{{First: 1, Last: 3, Versions: []int64{2}}, {First: 1, Last: 2, Versions: []int64{3}}}, int64(3), int64(2)),
		Entry("weights older than allowed", []job.Chunk{{First: 1, Last: 3, Versions: []int64{1, 2}}}, int64(2), int64(0)),
		Entry("weights older than allowed in the first of two chunks", []job.Chunk{{First: 1, Last: 3, Versions: []int64{1}}, {First: 4, Last: 5, Versions: []int64{2}}}, int64(2), int64(0)),
	)

	It("copies the chunks of a resubmitted task and finds its earlier result", func() {
		s, _ := replay(submitted("j1", "n1", "x", "y"),
			chunk("j1", job.Chunk{Task: 0, First: 1, Last: 3, Versions: []int64{2}}),
			listed("j1", "n1", job.Result{Task: 1, Completed: true, Versions: []int64{2}}),
			submitted("j2", "n2", "y", "x", "z"),
			chunk("j2", job.Chunk{Task: 1, First: 4, Last: 6, Versions: []int64{3}}),
		)
		j := s.Jobs["j2"]
		Expect(j.Status[1].Resubmitted).To(BeTrue())
		Expect(j.Status[2].Resubmitted).To(BeFalse())
		Expect(j.Status[1].ContiguousChunks(2)).To(HaveLen(2))
		Expect(s.Jobs["j1"].Status[0].ContiguousChunks(2)).To(HaveLen(1), "later chunks are not added to the earlier job")
		e, found := s.EarlierResult(j, 0)
		Expect(found).To(BeTrue())
		Expect(e.Versions).To(Equal([]int64{2}))
		_, found = s.EarlierResult(j, 2)
		Expect(found).To(BeFalse())
	})

	It("returns how long a job was open until its end or its last result", func() {
		s, _ := replay(submitted("j", "n1", "x"), submitted("k", "n1", "x"),
			listed("j", "n1", job.Result{Task: 0, Completed: true}),
			job.Record{Ended: &job.Ended{Job: "j"}},
			job.Record{Ended: &job.Ended{Job: "k"}})
		Expect(s.Jobs["j"].OpenDuration(time.Minute)).To(Equal(2*time.Second), "the job was closed before its end")
		Expect(s.Jobs["k"].OpenDuration(time.Minute)).To(Equal(3 * time.Second))
		s, _ = replay(submitted("j", "n1", "x"))
		Expect(s.Jobs["j"].OpenDuration(time.Minute)).To(Equal(time.Minute))
	})

	It("prunes closed jobs after the retention, open ones after twice the retention", func() {
		s, _ := replay(submitted("open", "n1", "x"), submitted("done", "n1", "y"), listed("done", "n1", job.Result{}))
		readableFor := 100 * time.Second
		s.Prune(1000+readableFor.Milliseconds(), readableFor, 0)
		Expect(s.Jobs).To(HaveLen(2))
		s.Prune(1000+(readableFor+11*time.Second).Milliseconds(), readableFor, 0)
		Expect(s.Jobs).To(HaveKey("open"))
		Expect(s.Jobs).NotTo(HaveKey("done"))
		s.Prune(1000+2*readableFor.Milliseconds(), readableFor, 0)
		Expect(s.Jobs).To(BeEmpty())
	})
})

var _ = Describe("Instances", func() {
	started := func(incarnation string, startedAt int64) job.Record {
		return job.Record{Writer: incarnation, InstanceStarted: &job.InstanceStarted{Instance: "n1", StartedAt: startedAt}}
	}
	It("release the jobs and leases of their earlier incarnation and of no other instance", func() {
		s, accepted := replay(started("n1/a", 10), submitted("j", "n1/a", "x"), submitted("k", "n2/a", "x"),
			job.Record{Lease: &job.Lease{Body: record.Lease{Name: "l", Holder: "n1/a"}}},
			started("n1/b", 20), claimed("j", 1, "n1/b"), started("n1/a", 10), started("n1/b", 20))
		Expect(accepted).To(Equal([]bool{true, true, true, true, true, true, false, false}))
		Expect(s.Jobs["j"].Runner).To(Equal("n1/b"))
		Expect(s.Jobs["k"].Runner).To(Equal("n2/a"))
		Expect(s.Leases["l"].Holder).To(BeEmpty())
		Expect(s.Leases["l"].LastOffset).To(Equal(record.Offset(4)), "the next claim supersedes the last accepted record")
		Expect(s.Instances["n1"].Incarnation).To(Equal("n1/b"))
	})

	It("are known with the key of their incarnation and the time of their latest announcement", func() {
		keyed := started("n1/b", 20)
		keyed.InstanceStarted.KeyFingerprint = "k"
		s, _ := replay(started("n1/a", 10), keyed, started("n1/a", 10), keyed)
		Expect(s.Instances["n1"].KeyFingerprint).To(Equal("k"))
		Expect(s.Instances["n1"].AnnouncedAt).To(Equal(3 * time.Second))
		Expect(s.Instances["n1"].AnnouncedOffset).To(Equal(int64(3)))
		s, _ = replay(keyed, started("n1/c", 30))
		Expect(s.Instances["n1"].KeyFingerprint).To(BeEmpty(), "an older build has taken its place")
	})

	// Guards against jobs and leases that are taken from a running incarnation: one call that reaches
	// the log late has two announcements of the incarnation before.
	It("are not replaced by an incarnation that had not read their announcement", func() {
		read := func(r job.Record, to record.Offset) job.Record {
			r.InstanceStarted.ReadTo = to
			return r
		}
		s, accepted := replay(started("n1/a", 10), read(started("n1/b", 20), 0), submitted("j", "n1/b", "x"), read(started("n1/a", 10), 0), read(started("n1/a", 10), 1))
		Expect(accepted).To(Equal([]bool{true, true, true, false, false}))
		Expect(s.Jobs["j"].Runner).To(Equal("n1/b"))
		s, _ = replay(started("n1/a", 20), read(started("n1/b", 10), 0), read(started("n1/a", 20), 1), read(started("n1/b", 10), 2))
		Expect(s.Instances["n1"].Incarnation).To(Equal("n1/a"), "its latest announcement was not read")
		Expect(s.Apply(4, 0, read(started("n1/b", 10), 4))).To(BeTrue(), "the wall clock was set back")
		Expect(s.Instances["n1"].Incarnation).To(Equal("n1/b"))
	})

	// Guards against jobs for one weight version that stay with a build which may mix them, and against two
	// instances that take them from each other.
	It("are unfit for a job of one weight version only if their own announcement says so", func() {
		keeps := started("n2/x", 5)
		keeps.InstanceStarted.Instance, keeps.InstanceStarted.KeepsVersion = "n2", true
		all, _ := replay(started("n1/a", 1000), keeps)
		Expect(all.IsUnfit(true, "n1/a", "n1")).To(BeTrue())
		Expect(all.IsUnfit(false, "n1/a", "n1")).To(BeFalse())
		Expect(all.IsUnfit(true, "n1/b", "n1")).To(BeFalse(), "an incarnation that was not announced")
		Expect(all.IsUnfit(true, "n2/x", "n2")).To(BeFalse())
		for _, writer := range []string{"n2/x", "n1/a", "n3/unknown"} {
			young := job.NewState()
			young.Apply(0, 0, keeps)
			young.SkipTo(7, 0, 0)
			young.Apply(7, 90*time.Second, job.Record{Writer: writer, KnownInstances: &job.KnownInstances{
				Instances: all.KnownInstances(9*time.Second, 5*time.Second, func(name string) bool { return name == "n1" }),
			}})
			Expect(young.Instances).To(HaveKey("n1"))
			Expect(young.IsUnfit(true, "n1/a", "n1")).To(Equal(writer == "n2/x"), writer)
		}
	})

	It("are known from a repeated announcement as they were announced, to those only that have not read it", func() {
		all, _ := replay(started("n1/a", 1000), started("n1/a", 1000), submitted("j", "n1/a", "x"))
		known := job.Record{Writer: "n2/x", KnownInstances: &job.KnownInstances{Instances: all.KnownInstances(9*time.Second, 5*time.Second, func(string) bool { return true })}}
		Expect(all.Apply(7, 10*time.Second, known)).To(BeFalse(), "all of them were read")
		young := job.NewState()
		young.SkipTo(7, 0, 0)
		Expect(young.Apply(7, 90*time.Second, known)).To(BeTrue())
		i := young.Instances["n1"]
		Expect([]any{i.Incarnation, i.StartedAt, i.AnnouncedOffset, i.AnnouncedAt}).To(Equal([]any{"n1/a", int64(1000), int64(1), 82 * time.Second}))
		Expect(young.Apply(8, 91*time.Second, known)).To(BeFalse())

		paused, _ := replay(started("n1/old", 500), submitted("j", "n1/old", "x"))
		Expect(paused.Apply(7, 90*time.Second, known)).To(BeTrue())
		Expect(paused.Jobs["j"].Runner).To(BeEmpty(), "its former incarnation has ended")
		restarted := job.NewState()
		restarted.Apply(8, 91*time.Second, started("n1/b", 2000))
		Expect(restarted.Apply(9, 92*time.Second, known)).To(BeFalse(), "a later start is known")
		Expect(all.KnownInstances(9*time.Second, 9*time.Second, func(string) bool { return true })).To(BeEmpty(), "the log still keeps it")
	})
	// Guards against an instance that restarts and stays unknown, because the wall clock of its
	// machine was set back.
	It("are replaced by an incarnation that claims an earlier start once it has announced itself twice in a row, in an earlier build", func() {
		s, accepted := replay(started("n1/a", 20), started("n1/b", 10), started("n1/a", 20), started("n1/b", 10))
		Expect(accepted).To(Equal([]bool{true, false, false, false}), "the announcement that was appended late")
		Expect(s.Instances["n1"].Incarnation).To(Equal("n1/a"))
		s, accepted = replay(started("n1/a", 20), submitted("j", "n1/a", "x"), started("n1/b", 10), started("n1/b", 10))
		Expect(accepted).To(Equal([]bool{true, true, false, true}))
		Expect(s.Instances["n1"].Incarnation).To(Equal("n1/b"))
		Expect(s.Jobs["j"].Runner).To(BeEmpty())
	})
})

// Guards against an upgrade during which old builds cannot read the records of new ones.
var _ = Describe("Records of a newer build", func() {
	It("are decoded without the fields that this build does not know", func() {
		data, err := cbor.Marshal(map[int]any{1: "n1/a", 99: "new", 13: map[int]any{1: "n1", 2: "10.0.0.1:7001", 3: 5, 4: "k", 98: []int{1}}})
		Expect(err).NotTo(HaveOccurred())
		r, err := job.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(job.Record{Writer: "n1/a", InstanceStarted: &job.InstanceStarted{
			Instance: "n1", PeerAddress: "10.0.0.1:7001", StartedAt: 5, KeyFingerprint: "k",
		}}))
	})
})

var _ = Describe("Usage", func() {
	count := func(writer string, window int64, n int64) job.Record {
		return job.Record{Writer: writer, UsageCounted: &job.UsageCounted{Window: window, Counts: map[string]int64{"a": n}}}
	}
	It("adds up the latest counts of all writers", func() {
		s, _ := replay(count("n1", 7, 1), count("n1", 7, 3), count("n2", 7, 2), count("n2", 8, 9))
		Expect(s.Windows[7].Total()).To(Equal(map[string]int64{"a": 5}))
	})
	It("ignores a count that is read after a later one of its writer, from another partition", func() {
		s, _ := replay(count("n1", 7, 3), count("n1", 7, 1))
		Expect(s.Windows[7].Total()).To(Equal(map[string]int64{"a": 3}))
	})
	It("keeps the first seal, even an empty one, and ignores later counts", func() {
		seal := func(counts map[string]int64) job.Record {
			return job.Record{UsageSealed: &job.UsageSealed{Window: 7, Counts: counts}}
		}
		s, accepted := replay(seal(nil), count("n1", 7, 1), seal(map[string]int64{"a": 1}), job.Record{UsageReported: &job.UsageReported{Window: 7}})
		Expect(accepted).To(Equal([]bool{true, false, false, true}))
		Expect(s.Windows[7].SealedCounts).To(BeEmpty())
		Expect(s.Windows[7].SealedCounts).NotTo(BeNil())
		Expect(s.Windows[7].Reported).To(BeTrue())
	})
})

var _ = Describe("Tasks", func() {
	It("encodes tasks as records up to the limit and a larger task as its own record", func() {
		tasks := []job.Task{{ID: "a", Body: make([]byte, 100)}, {ID: "b", Body: make([]byte, 100)}, {ID: "c", Body: make([]byte, 5000)}, {ID: "d"}}
		records, err := job.EncodeTasks(tasks, 600)
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(HaveLen(3))
		var ids []string
		for _, r := range records {
			decoded, err := job.DecodeTasks(r)
			Expect(err).NotTo(HaveOccurred())
			for _, t := range decoded {
				ids = append(ids, t.ID)
			}
		}
		Expect(ids).To(Equal([]string{"a", "b", "c", "d"}))
	})
	It("reports the size of a record that it cannot decode", func() {
		_, err := job.Decode([]byte{0xff})
		Expect(err).To(MatchError(ContainSubstring("record of 1 bytes")))
	})
})
