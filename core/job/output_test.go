package job_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/job"
)

func unscored(id string, task int, offset int64, versions ...int64) job.Record {
	o := job.CompleteOutput{Task: task, Versions: versions, Location: job.Location{Offset: offset, Records: 1}}
	return job.Record{Writer: "n1", Progress: &job.Progress{Job: id, Unscored: []job.CompleteOutput{o}}}
}

func scoreFailures(id string, task, count int) job.Record {
	return job.Record{Writer: "n1", Progress: &job.Progress{Job: id, ScoreFailures: []job.ScoreFailure{{Task: task, Count: count}}}}
}

var _ = Describe("Outputs that wait for a score", func() {
	It("are the first that was stored, whichever runner stored it", func() {
		s, _ := replay(submitted("j", "n1", "x", "y"), unscored("j", 1, 7, 2), unscored("j", 1, 9, 3), unscored("j", 5, 1, 2))
		Expect(s.Jobs["j"].Status[1].Unscored.Location.Offset).To(Equal(int64(7)))
		Expect(s.Jobs["j"].Status[0].Unscored).To(BeNil())
	})

	It("are kept for a later job of the same tasks that allows their versions", func() {
		newer := submitted("k", "n1", "z", "x", "y")
		newer.Submitted.MinVersion = 3
		s, _ := replay(submitted("j", "n1", "x", "y"), unscored("j", 0, 7, 3, 4), unscored("j", 1, 8, 2, 3), newer, unscored("k", 2, 9, 3))
		status := s.Jobs["k"].Status
		Expect(*status[1].Unscored).To(Equal(job.CompleteOutput{Task: 1, Versions: []int64{3, 4}, Location: job.Location{Offset: 7, Records: 1}}))
		Expect(status[2].Unscored.Location.Offset).To(Equal(int64(9)), "the output of the earlier job is too old")
	})

	It("count the server errors of their score calls over all runners", func() {
		s, _ := replay(submitted("j", "n1", "x"), scoreFailures("j", 0, 2), claimed("j", 1, "n2"), scoreFailures("j", 0, 1), scoreFailures("j", 3, 1))
		Expect(s.Jobs["j"].Status[0].ScoreFailures).To(Equal(3))
	})
})
