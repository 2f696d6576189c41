package job_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/job"
)

// gapWorld plays readers that fall behind a log which does not keep what they have not read. Each
// writes from its own state: submissions, of which some are repeated elsewhere, claims, results, ends,
// and requests and answers about jobs that are not whole. A step takes 100 ms.
type gapWorld struct {
	random  *rand.Rand
	oracle  *job.State // has read all records
	readers []*job.State
	applied []int
	log     []job.Record
	queue   []job.Record // not in the log yet
	first   map[string]int64
	step    int64
}

func newGapWorld(seed uint64) *gapWorld {
	w := &gapWorld{random: rand.New(rand.NewPCG(seed, 0)), oracle: job.NewState(), applied: make([]int, 3), first: map[string]int64{}}
	for range w.applied {
		w.readers = append(w.readers, job.NewState())
	}
	return w
}

func (w *gapWorld) now() time.Duration { return time.Duration(w.step) * 100 * time.Millisecond }

func (w *gapWorld) at() int64 { return 1_000_000 + w.now().Milliseconds() }

func (w *gapWorld) append(r job.Record) {
	w.oracle.Apply(int64(len(w.log)), 0, r)
	w.log = append(w.log, r)
}

func (w *gapWorld) read(n, count int) {
	for range min(count, len(w.log)-w.applied[n]) {
		w.readers[n].Apply(int64(w.applied[n]), w.now(), w.log[w.applied[n]])
		w.applied[n]++
	}
}

func (w *gapWorld) write(n int, id string) {
	s, r := w.readers[n], job.Record{Writer: fmt.Sprintf("n%d", n), At: w.at()}
	j := s.Jobs[id]
	switch action := w.random.IntN(10); {
	case action < 2 && j == nil:
		readTo, isNew := s.IsNew(id, w.now())
		if first, found := w.first[id]; !isNew || found && w.at()-first > 12_000 {
			return
		} else if !found {
			w.first[id] = w.at()
		}
		r = submitted(id, r.Writer, "x", "y", "z", "w")
		r.At, r.Submitted.ReadTo = w.at(), readTo
	case action < 3 && len(s.Missing()) > 0:
		r.JobsRequested = &job.JobsRequested{Jobs: s.Missing()}
	case action < 4 && j != nil && !j.Incomplete:
		r.Claimed = &job.Claimed{Job: id, Term: j.Term + 1, Runner: r.Writer}
	case action < 5 && j != nil && w.random.IntN(6) == 0:
		r.Ended = &job.Ended{Job: id}
	case action < 7 && j != nil:
		r.Listed = &job.Listed{Job: id, Results: []job.Result{{Task: w.random.IntN(4), Versions: []int64{w.step}}}}
	case action < 8 && j != nil:
		r.Progress = &job.Progress{Job: id, Term: j.Term, Failed: []int{w.random.IntN(4)}}
	default:
		for id := range s.Requested() {
			if restated, whole := s.Restate(id); whole {
				r.Restated = &restated
			}
		}
	}
	w.queue = append(w.queue, r)
}

func (w *gapWorld) play() {
	w.step++
	n := w.random.IntN(len(w.readers))
	w.write(n, fmt.Sprintf("j%d", w.step/60+w.random.Int64N(3)))
	for len(w.queue) > 0 && w.random.IntN(4) > 0 {
		w.append(w.queue[0])
		w.queue = w.queue[1:]
	}
	if w.random.IntN(60) == 0 {
		w.applied[n] += w.random.IntN(len(w.log) - w.applied[n] + 1)
		w.readers[n].SkipTo(int64(w.applied[n]), 0, w.at())
	}
	if n != 0 || w.random.IntN(8) == 0 { // one of them is mostly behind
		w.read(n, w.random.IntN(12))
	}
}

// check compares the jobs of the readers with those of the oracle.
func (w *gapWorld) check() error {
	for n, s := range w.readers {
		for id, j := range s.Jobs {
			o := w.oracle.Jobs[id]
			if len(j.Results) > len(o.Results) || !reflect.DeepEqual(j.Results, o.Results[:len(j.Results):len(j.Results)]) && len(j.Results) > 0 {
				return fmt.Errorf("reader %d, job %s: results %v, not the first of %v", n, id, j.Results, o.Results)
			}
			if j.Incomplete || w.applied[n] < len(w.log) {
				continue
			}
			if j.Open() != o.Open() || o.Open() && (len(j.Results) != len(o.Results) || j.Term != o.Term || j.Runner != o.Runner || failures(j) != failures(o)) {
				return fmt.Errorf("reader %d, job %s: %+v, not %+v", n, id, *j, *o)
			}
		}
	}
	return nil
}

// failures returns the number of failures of the tasks that are not listed.
func failures(j *job.Job) (n int) {
	for _, t := range j.Status {
		if !t.Listed {
			n += t.Failures
		}
	}
	return n
}

// settle makes up for the skipped records. It returns the jobs that only some readers have whole.
func (w *gapWorld) settle() (apart []string) {
	for range 2 {
		for n, s := range w.readers {
			w.read(n, len(w.log))
			w.append(job.Record{JobsRequested: &job.JobsRequested{Jobs: s.Missing()}})
		}
		for n, s := range w.readers {
			w.read(n, len(w.log))
			for id := range s.Requested() {
				if restated, whole := s.Restate(id); whole {
					w.append(job.Record{Writer: fmt.Sprintf("n%d", n), Restated: &restated})
				}
			}
		}
	}
	for n, s := range w.readers {
		w.read(n, len(w.log))
		for _, id := range s.Missing() {
			if slices.ContainsFunc(w.readers, func(s *job.State) bool { return s.Jobs[id] != nil && !s.Jobs[id].Incomplete }) {
				apart = append(apart, id)
			}
		}
	}
	return apart
}

// Guards against other results at a position, and results that do not come again, at an instance that
// has skipped records of the log.
var _ = Describe("Skipped records", func() {
	It("never change the position of a result, and are made up for", func() {
		for seed := range uint64(100) {
			w := newGapWorld(seed)
			for range 600 {
				w.play()
				Expect(w.check()).To(Succeed(), "seed %d", seed)
			}
			Expect(w.settle()).To(BeEmpty(), "seed %d", seed)
			Expect(w.check()).To(Succeed(), "seed %d", seed)
		}
	})

	It("that no reader has read cost a job no more than what was in them", func() {
		var readers []*job.State
		apply := func(offset int64, r job.Record) {
			for _, s := range readers {
				s.Apply(offset, time.Duration(offset)*time.Second, r)
			}
		}
		for range 2 {
			readers = append(readers, job.NewState())
		}
		apply(0, submitted("j", "n0", "x", "y", "z"))
		apply(1, job.Record{Writer: "n0", Listed: &job.Listed{Job: "j", Results: []job.Result{{Task: 1}}}})
		for _, s := range readers {
			s.SkipTo(5, 0, 0)
		}
		apply(5, job.Record{Writer: "n0", Listed: &job.Listed{Job: "j", Results: []job.Result{{Task: 2}}}})
		apply(6, job.Record{JobsRequested: &job.JobsRequested{Jobs: []string{"j"}}})
		apply(8, job.Record{JobsRequested: &job.JobsRequested{Jobs: []string{"j"}}})
		asked, found := readers[1].Asked("j")
		Expect(found).To(BeTrue())
		Expect(asked).To(Equal(job.Asked{First: 6 * time.Second, Last: 8 * time.Second}))
		restated, known := readers[1].RestateAsRead("j")
		Expect(known).To(BeTrue())
		apply(9, job.Record{Writer: "n1", Restated: &restated})
		for _, s := range readers {
			Expect(s.Jobs["j"].Incomplete).To(BeFalse())
			Expect(s.Jobs["j"].Results).To(Equal([]job.Result{{Task: 1}, {Task: 2}}))
			Expect(s.Missing()).To(BeEmpty())
		}
	})

	// Guards against submissions that are refused, and windows that are not reported, for as long as the
	// clock of the writer of one record was ahead, and against repetitions that count as new.
	DescribeTable("are told from later ones whatever the clock of a writer shows", func(at int64) {
		s := job.NewState()
		s.SkipTo(7, 980_000, 1_000_000)
		s.Apply(7, 0, job.Record{At: at, InstanceLeaving: &job.InstanceLeaving{}})
		for now, after := range map[time.Duration]bool{-21 * time.Second: false, 20 * time.Second: true} {
			_, isNew := s.IsNew("j", now)
			Expect([]bool{isNew, s.MayHaveSkipped(1_000_000 + now.Milliseconds())}).To(Equal([]bool{after, !after}), "after %s", now)
		}
	},
		Entry("the time", int64(990_000)),
		Entry("an hour ahead", int64(4_590_000)),
		Entry("an hour behind", int64(-2_610_000)),
	)
})
