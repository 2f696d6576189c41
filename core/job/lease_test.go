package job_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/lease"
	"github.com/amaranthfold/amaranthfold/core/record"
)

var _ = Describe("Leases", func() {
	lease := func(holder string, supersedes int64) job.Record {
		return job.Record{Lease: &job.Lease{Supersedes: record.Offset(supersedes), Body: record.Lease{Name: "l", Holder: holder, Duration: time.Second}}}
	}
	It("accepts the first of several claims and keeps the fencing number through renewals", func() {
		s, accepted := replay(lease("n1", 0), lease("n2", 0), lease("n1", 1), lease("n2", 1), lease("n2", 3))
		Expect(accepted).To(Equal([]bool{true, false, true, false, true}))
		Expect(s.Leases["l"]).To(Equal(fold.Lease{Name: "l", Holder: "n2", Term: 5, LastOffset: 5, Duration: int64(time.Second)}))
	})
	It("never gives two holders the same fencing number", func() {
		s, _ := replay(lease("n1", 0))
		first := s.Leases["l"].Term
		s, _ = replay(lease("n1", 0), lease("", 1), lease("n2", 2))
		Expect(s.Leases["l"].Term).To(BeNumerically(">", first))
	})

	// applyFrom applies the records from the offset on, as a reader that finds the earlier ones removed.
	applyFrom := func(from int, records ...job.Record) *job.State {
		s := job.NewState()
		s.SkipTo(int64(from), 0, 0)
		for i, r := range records[from:] {
			s.Apply(int64(from+i), 0, r)
		}
		return s
	}
	renewal := func(holder string, supersedes, term int64) job.Record {
		r := lease(holder, supersedes)
		r.Lease.Term = record.Offset(term)
		return r
	}
	readTo := func(holder string, offset int64) job.Record {
		r := lease(holder, 0)
		r.Lease.ReadTo = record.Offset(offset)
		return r
	}

	DescribeTable("have one holder and fencing number, also to a reader that begins after their first records",
		func(from int, records ...job.Record) {
			all, _ := replay(records...)
			Expect(applyFrom(from, records...).Leases).To(Equal(all.Leases))
		},
		Entry("renewals", 1, lease("n1", 0), renewal("n1", 1, 1), renewal("n1", 2, 1)),
		Entry("a claim that had lost before", 1, lease("n1", 0), lease("n2", 0), renewal("n1", 1, 1), renewal("n1", 3, 1)),
		Entry("a release", 1, lease("n1", 0), renewal("n1", 1, 1), lease("", 2)),
		Entry("a release and a claim", 1, lease("n1", 0), lease("", 1), lease("n2", 2)),
		Entry("a claim of another reader that begins late", 1, lease("n1", 0), readTo("n2", 1), lease("n1", 1)),
		Entry("two of them", 1, lease("n1", 0), readTo("n2", 1), readTo("n3", 1)),
		Entry("one that the holder has preceded", 1, lease("n1", 0), renewal("n1", 1, 1), readTo("n2", 1), renewal("n1", 2, 1), renewal("n1", 4, 1)),
		Entry("one that a lost claim has preceded", 2, lease("n1", 0), renewal("n1", 1, 1), lease("n2", 1), readTo("n3", 2), renewal("n2", 3, 3), renewal("n3", 4, 4)),
	)

	It("are unknown until a record after the gap was superseded, and known again after it", func() {
		s := applyFrom(1, lease("n1", 0), renewal("n1", 1, 1), lease("n2", 0))
		last, to, unknown := s.UnknownLease("l")
		Expect(unknown).To(BeTrue())
		Expect([]record.Offset{last, to}).To(Equal([]record.Offset{3, 3}))
		Expect(s.Apply(3, 0, renewal("n1", 2, 1))).To(BeTrue())
		_, _, unknown = s.UnknownLease("l")
		Expect(unknown).To(BeFalse())
		s.SkipTo(9, 0, 0)
		_, _, unknown = s.UnknownLease("l")
		Expect(unknown).To(BeTrue())
	})

	// Builds before Term and ReadTo write no other records.
	It("have one holder, also to a reader that begins after the first records of older builds", func() {
		records := []job.Record{lease("n1", 0), lease("n1", 1), lease("n1", 2), lease("n1", 3), lease("n2", 3), lease("n2", 4)}
		all, _ := replay(records...)
		Expect(applyFrom(1, records[:4]...).Leases["l"].Holder).To(Equal("n1"))
		Expect(applyFrom(1, records...).Leases).To(Equal(all.Leases), "the fencing number too, once the holder has changed")
	})

	It("have one holder at a time while instances start late, the log removes records, and appends are late", func() {
		for seed := range uint64(300) {
			w := newLeaseWorld(seed)
			for range 1500 {
				w.step(true)
			}
			w.late = nil
			for range 600 { // 18 s of quiet, the longest pause among them
				w.step(false)
			}
			Expect(w.holders()).To(HaveLen(1), "seed %d", seed)
		}
	})
})

// leaseWorld has four instances with one lease, a log that removes old records, and a reader that
// has read them all.
type leaseWorld struct {
	random    *rand.Rand
	seed      uint64
	now       time.Duration
	log       []job.Record
	first     int // oldest record kept
	late      []job.Record
	whole     *job.State
	after     []fold.Lease // lease after each record, to the reader of all
	instances []*leaseInstance
	started   int
}

type leaseInstance struct {
	name    string
	state   *job.State
	machine *lease.Machine
	next    int

	pausedUntil time.Duration
}

var leaseTiming = lease.Timing{Duration: 3 * time.Second, DriftMargin: 200 * time.Millisecond}

func newLeaseWorld(seed uint64) *leaseWorld {
	w := &leaseWorld{random: rand.New(rand.NewPCG(seed, 0)), seed: seed, whole: job.NewState()}
	for range 4 {
		w.instances = append(w.instances, w.start())
	}
	return w
}

func (w *leaseWorld) start() *leaseInstance {
	w.started++
	name := fmt.Sprintf("n%d", w.started)
	in := &leaseInstance{name: name, state: job.NewState(), machine: lease.NewMachine("l", name, leaseTiming, w.now)}
	in.machine.SetClaimDelay(time.Duration(w.random.IntN(4)) * 100 * time.Millisecond)
	return in
}

// step lets 30 ms pass. With trouble, instances are killed, pause or hand the lease over, records
// are removed, and appends are lost or late.
func (w *leaseWorld) step(trouble bool) {
	w.now += 30 * time.Millisecond
	chance := func(oneIn int) bool { return trouble && w.random.IntN(oneIn) == 0 }
	if chance(200) {
		w.instances[w.random.IntN(len(w.instances))] = w.start()
	}
	if chance(600) { // of all
		for i := range w.instances {
			w.instances[i] = w.start()
		}
	}
	if chance(150) {
		w.first += w.random.IntN(len(w.log) - w.first + 1)
	}
	if len(w.late) > 0 && chance(20) {
		w.append(w.late[0])
		w.late = w.late[1:]
	}
	for _, in := range w.instances {
		if chance(300) {
			in.pausedUntil = w.now + time.Duration(w.random.IntN(9000))*time.Millisecond
		}
		if chance(4) || w.now < in.pausedUntil {
			continue
		}
		in.read(w)
		r := in.tick(w.now)
		fate := w.random.IntN(10)
		switch {
		case r == nil, trouble && fate == 0: // lost
		case trouble && fate == 1:
			w.late = append(w.late, *r)
		default:
			w.append(*r)
		}
		if chance(300) {
			in.machine.StepDown(w.now, 100*time.Millisecond)
		} else if !trouble || chance(50) {
			in.machine.Resume()
		}
	}
	Expect(len(w.holders())).To(BeNumerically("<=", 1), "seed %d at %s: %v", w.seed, w.now, w.holders())
}

func (w *leaseWorld) append(r job.Record) {
	w.whole.Apply(int64(len(w.log)), w.now, r)
	w.log = append(w.log, r)
	w.after = append(w.after, w.whole.Leases["l"])
}

func (w *leaseWorld) holders() (names []string) {
	for _, in := range w.instances {
		if _, held := in.machine.HeldFor(w.now, 0); held {
			names = append(names, in.name)
		}
	}
	return names
}

func (in *leaseInstance) read(w *leaseWorld) {
	if in.next < w.first {
		in.next = w.first
		in.state.SkipTo(int64(w.first), 0, 0)
	}
	for ; in.next < len(w.log); in.next++ {
		r := w.log[in.next]
		verdict := fold.Conflict
		if in.state.Apply(int64(in.next), w.now, r) {
			verdict = fold.Accepted
		}
		in.machine.Observe(w.now, r.Lease.ID, verdict, in.state.Leases["l"])
		if last, _, unknown := in.state.UnknownLease("l"); unknown {
			in.machine.ObserveGap(w.now, last)
		} else {
			Expect(in.state.Leases["l"]).To(Equal(w.after[in.next]), "seed %d, %s at offset %d", w.seed, in.name, in.next)
		}
	}
}

// tick returns the record that the instance appends now, as the controller does.
func (in *leaseInstance) tick(now time.Duration) *job.Record {
	last, readTo, unknown := in.state.UnknownLease("l")
	if unknown {
		in.machine.ObserveGap(now, last)
	} else {
		readTo = 0
	}
	request := in.machine.Tick(now, uuid.New)
	if request == nil {
		return nil
	}
	return &job.Record{Lease: &job.Lease{ID: request.ID, Supersedes: request.Supersedes, Body: request.Body, Term: request.Term, ReadTo: readTo}}
}
