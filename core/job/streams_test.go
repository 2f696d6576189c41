package job_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/job"
)

var _ = Describe("Software versions", func() {
	var s *job.State
	BeforeEach(func() { s = job.NewState() })

	startedAt := func(at time.Duration, id, service, software string) bool {
		return s.Apply(0, at, job.Record{StreamStarted: &job.StreamStarted{Request: id, Service: service, Software: software}})
	}
	started := func(at time.Duration, id, software string) bool { return startedAt(at, id, "", software) }

	It("that begin streams are known unless the records of the request differ or state none", func() {
		Expect(started(0, "r", "v1")).To(BeTrue())
		Expect(started(time.Second, "r", "v1")).To(BeFalse())
		origin, known := s.StreamOrigin("r")
		Expect(known).To(BeTrue())
		Expect(origin).To(Equal(job.StreamOrigin{Software: "v1"}), "a record of an earlier build")
		Expect(startedAt(0, "moved", "desk", "v1")).To(BeTrue())
		origin, _ = s.StreamOrigin("moved")
		Expect(origin).To(Equal(job.StreamOrigin{Service: "desk", Software: "v1"}))
		startedAt(2*time.Second, "moved", "models", "v1")
		started(2*time.Second, "r", "v2")
		started(3*time.Second, "r", "v1")
		started(3*time.Second, "unstated", "")
		for _, request := range []string{"r", "moved", "unstated", "other"} {
			_, known = s.StreamOrigin(request)
			Expect(known).To(BeFalse(), request)
		}
	})

	It("that begin streams are forgotten when they can no longer be taken up", func() {
		for i := range 1000 {
			started(time.Duration(i)*time.Second, fmt.Sprint(i), "v1")
		}
		_, known := s.StreamOrigin("900")
		Expect(known).To(BeTrue())
		_, known = s.StreamOrigin("800")
		Expect(known).To(BeFalse())
	})

	It("of a task's stored events are never mixed", func() {
		s.Apply(0, 0, job.Record{Writer: "n1", Submitted: &job.Submitted{Job: "j", Account: "a", Tasks: []job.TaskRef{{ID: "t"}}, Runner: "n1"}})
		for _, c := range []job.Chunk{
			{First: 1, Last: 8, Versions: []int64{1}, Software: "v1"},
			{First: 9, Last: 12, Versions: []int64{1}, Software: "v2"}, // of another runner
			{First: 9, Last: 16, Versions: []int64{1}, Software: "v1"},
			{First: 1, Last: 8, Versions: []int64{1}, Software: "v2"}, // started over
			{First: 17, Last: 20, Versions: []int64{1}, Software: "v1"},
			{First: 9, Last: 10, Versions: []int64{1}, Software: "v1"},
		} {
			c.After = &c.Location // of all of them
			s.Apply(0, 0, job.Record{Writer: "n1", Progress: &job.Progress{Job: "j", Chunks: []job.Chunk{c}}})
		}
		chunks := s.Jobs["j"].Status[0].ContiguousChunks(0)
		Expect(chunks).To(HaveLen(1))
		Expect(chunks[0].Software).To(Equal("v2"))
	})

	It("of another service do not go on with a task's stored events; an earlier build states none", func() {
		s.Apply(0, 0, job.Record{Writer: "n1", Submitted: &job.Submitted{Job: "j", Account: "a", Tasks: []job.TaskRef{{ID: "t"}}, Runner: "n1"}})
		for i, service := range []string{"", "s", "other", "s", ""} {
			first := int64(len(s.Jobs["j"].Status[0].Chunks)) + 1
			c := job.Chunk{First: first, Last: first, Versions: []int64{1}, Software: "v1", Service: service, After: &job.Location{}}
			s.Apply(0, 0, job.Record{Writer: "n1", Progress: &job.Progress{Job: "j", Chunks: []job.Chunk{c}}})
			Expect(s.Jobs["j"].Status[0].Chunks).To(HaveLen([]int{1, 2, 2, 3, 4}[i]))
		}
	})

	Describe("and numbers", func() {
		var at int64 // location of the latest chunk
		const none = int64(-1)
		store := func(writer string, first, last, after int64) int64 {
			at++
			c := job.Chunk{First: first, Last: last, Versions: []int64{1}, Software: "v1", Location: job.Location{Offset: at, Records: 1}}
			if after != none {
				c.After = &job.Location{Offset: after, Records: 1}
			}
			s.Apply(0, 0, job.Record{Writer: writer, Progress: &job.Progress{Job: "j", Chunks: []job.Chunk{c}}})
			return at
		}
		stored := func() (out []int64) {
			for _, c := range s.Jobs["j"].Status[0].ContiguousChunks(0) {
				out = append(out, c.Location.Offset)
			}
			return out
		}
		BeforeEach(func() {
			at = 0
			s.Apply(0, 0, job.Record{Writer: "n1", Submitted: &job.Submitted{Job: "j", Account: "a", Tasks: []job.TaskRef{{ID: "t"}}, Runner: "n1"}})
		})

		It("do not make the events of two runs fit: an instance's events follow those that it has stored or loaded", func() {
			a := store("n1", 1, 8, none)
			b := store("n1", 9, 16, a) // arrives while n2, which has loaded 1 to 8, takes the job over
			c := store("n2", 9, 16, a)
			store("n2", 17, 24, c)
			Expect(stored()).To(Equal([]int64{a, b}), "n2's run went on after event 8 of n1")
			d := store("n3", 17, 20, b)
			store("n1", 21, 24, store("n1", 17, 20, b))
			e := store("n3", 21, 28, d)
			Expect(stored()).To(Equal([]int64{a, b, d, e}))
		})

		It("do not make the events of two runs of one instance fit", func() {
			a := store("n1", 1, 8, none)
			b := store("n1", 9, 16, a) // of the output before n1 lost the job and loaded it again
			store("n1", 17, 24, store("n1", 9, 16, a))
			Expect(stored()).To(Equal([]int64{a, b}))
		})

		It("do not make events fit to others than those that were loaded", func() {
			a := store("n1", 1, 8, none)
			b := store("n2", 1, 8, none) // n2 could not read them and starts again
			store("n3", 9, 16, a)
			store("n3", 9, 16, none) // of an earlier build
			Expect(stored()).To(Equal([]int64{b}))
		})
	})
})
