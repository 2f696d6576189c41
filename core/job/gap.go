package job

import (
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// resubmitWindow is how long after a submission callers may repeat it: they do so within the time that
// they give it, some seconds.
const resubmitWindow = 20 * time.Second

// maxLateness is by how much a record may be older than an earlier one in the log: the log may be slow,
// and clocks differ.
const maxLateness = 5 * time.Second

// maxKeptRecords bounds the records of jobs that are not whole.
const maxKeptRecords = 2048

// Restated repeats the state of a job as of the record ReadTo, for readers that have skipped records
// about it. Its writer has read them all, unless nobody who has is left: then what it has read is what
// the job goes on with.
type Restated struct {
	Submitted   Submitted      `cbor:"1,keyasint"` // with the present runner
	SubmittedAt int64          `cbor:"2,keyasint"` // as in Job
	Term        int64          `cbor:"3,keyasint"`
	Ended       bool           `cbor:"4,keyasint,omitempty"`
	Results     []Result       `cbor:"5,keyasint,omitempty"`
	Tasks       []RestatedTask `cbor:"6,keyasint,omitempty"`
	ReadTo      record.Offset  `cbor:"7,keyasint"`
}

// RestatedTask is the state of a task that has no result and is not in its first state.
type RestatedTask struct {
	Task          int             `cbor:"1,keyasint"`
	Resubmitted   bool            `cbor:"2,keyasint,omitempty"`
	Failures      int             `cbor:"3,keyasint,omitempty"`
	Chunks        []Chunk         `cbor:"4,keyasint,omitempty"`
	Unscored      *CompleteOutput `cbor:"5,keyasint,omitempty"`
	ScoreFailures int             `cbor:"6,keyasint,omitempty"`
}

// JobsRequested asks the instances for which the jobs are whole to restate them.
type JobsRequested struct {
	Jobs []string `cbor:"1,keyasint"`
}

// gap is what the state knows of jobs whose records may be among those that were skipped. What was read
// of them before stays as it is, and what is read after waits in kept, until they are restated.
type gap struct {
	from     record.Offset // the records about jobs that are not whole are in kept from here on
	since    int64         // when the first record after the gap was written, Unix milliseconds; zero: not read
	oldest   int64         // since is between oldest and newest, whatever its writer's clock shows
	newest   int64
	readAt   time.Duration      // when that record was read, by the reader's clock
	kept     []keptRecord       // in order
	requests map[string]request // of jobs that are whole
	asked    map[string]Asked   // of jobs that are not
}

// Asked is when the first and the latest request for a job that is not whole were read.
type Asked struct{ First, Last time.Duration }

type keptRecord struct {
	job    string
	offset record.Offset
	readAt time.Duration
	record Record
}

// request is a request to restate a job.
type request struct {
	offset record.Offset // of the latest
	readAt time.Duration // of the first, by the reader's clock
}

// skipJobs marks the jobs about which records before from may be missing: all without a full list of
// results, which nothing changes.
func (s *State) skipJobs(from record.Offset, oldest, newest int64) {
	s.gap = gap{from: from, oldest: oldest, newest: newest, requests: s.gap.requests, asked: map[string]Asked{}}
	for id, j := range s.Jobs {
		if len(j.Results) < len(j.Tasks) {
			j.Incomplete = true
			delete(s.gap.requests, id)
		}
	}
}

// keep keeps a record about a job that is not whole. It returns false if the record is not such a one.
func (s *State) keep(offset record.Offset, now time.Duration, r Record) bool {
	if s.skipped.last == 0 {
		return false
	}
	if s.gap.since == 0 {
		s.gap.since, s.gap.readAt = max(s.gap.oldest, min(r.At, s.gap.newest)), now
	}
	id, found := r.job()
	if !found || s.isWhole(id, r) {
		return false
	}
	s.gap.kept = append(s.gap.kept, keptRecord{id, offset, now, r})
	if len(s.gap.kept) > maxKeptRecords {
		s.gap.from = s.gap.kept[0].offset + 1
		s.gap.kept = slices.Delete(s.gap.kept, 0, 1)
	}
	return true
}

// isWhole reports whether all records about the job were read, or r is the first of them: either its
// writer knew no such job and this reader has read what that writer has not, or, by the clocks, nobody
// repeats an earlier submission any more.
func (s *State) isWhole(id string, r Record) bool {
	switch {
	case s.Jobs[id] != nil:
		return !s.Jobs[id].Incomplete
	case r.Submitted == nil || s.hasKept(id):
		return false
	case r.Submitted.ReadTo > 0:
		return r.Submitted.ReadTo >= s.skipped.last
	default: // earlier builds state nothing
		return r.At >= s.gap.since+resubmitWindow.Milliseconds()
	}
}

func (s *State) hasKept(id string) bool {
	return slices.ContainsFunc(s.gap.kept, func(k keptRecord) bool { return k.job == id })
}

// IsNew reports whether a job that the state does not have was never submitted, as far as the log was
// read at now by the reader's clock, and returns the ReadTo of its submission.
func (s *State) IsNew(id string, now time.Duration) (readTo record.Offset, isNew bool) {
	if s.skipped.last == 0 {
		return s.lastRead, true
	}
	known := now - s.gap.readAt + time.Duration(s.gap.newest-s.gap.since)*time.Millisecond // since the gap
	return s.lastRead, s.gap.since != 0 && known >= resubmitWindow && !s.hasKept(id)
}

// MayHaveSkipped reports whether a record that was written at the time or later, in Unix milliseconds,
// may be among those that were skipped.
func (s *State) MayHaveSkipped(wallMillis int64) bool {
	return s.skipped.last != 0 && (s.gap.since == 0 || wallMillis <= s.gap.since+maxLateness.Milliseconds())
}

// Missing returns the jobs that are known not to be whole, in order.
func (s *State) Missing() []string {
	var out []string
	for id, j := range s.Jobs {
		if j.Incomplete {
			out = append(out, id)
		}
	}
	for _, k := range s.gap.kept {
		out = append(out, k.job)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Requested returns when each request for a job that is whole was read which no record has met.
func (s *State) Requested() map[string]time.Duration {
	out := make(map[string]time.Duration, len(s.gap.requests))
	for id, r := range s.gap.requests {
		out[id] = r.readAt
	}
	return out
}

func (s *State) applyRequested(now time.Duration, r JobsRequested) bool {
	for _, id := range r.Jobs {
		if j := s.Jobs[id]; j == nil || j.Incomplete {
			s.noteAsked(now, id)
			continue
		}
		first, found := s.gap.requests[id]
		if !found {
			first.readAt = now
		}
		s.gap.requests[id] = request{s.lastRead, first.readAt}
	}
	return true
}

func (s *State) noteAsked(now time.Duration, id string) {
	if s.skipped.last == 0 {
		return
	}
	a, found := s.gap.asked[id]
	if !found {
		a.First = now
	}
	a.Last = now
	s.gap.asked[id] = a
}

// Asked returns when a job that is not whole was asked for, false if no request was read.
func (s *State) Asked(id string) (Asked, bool) {
	a, found := s.gap.asked[id]
	return a, found
}

// Restate returns the state of a job that is whole.
func (s *State) Restate(id string) (Restated, bool) {
	j := s.Jobs[id]
	if j == nil || j.Incomplete {
		return Restated{}, false
	}
	return j.restate(s.lastRead), true
}

// RestateAsRead returns the state of a job that is not whole, as it was before the skipped records.
func (s *State) RestateAsRead(id string) (Restated, bool) {
	j := s.Jobs[id]
	if j == nil || !j.Incomplete {
		return Restated{}, false
	}
	return j.restate(s.gap.from - 1), true
}

func (j *Job) restate(readTo record.Offset) Restated {
	out := Restated{
		Submitted: j.Submitted, SubmittedAt: j.SubmittedAt, Term: j.Term, Ended: j.Ended,
		Results: slices.Clone(j.Results), ReadTo: readTo,
	}
	for i, t := range j.Status {
		if !t.Listed && (t.Resubmitted || t.Failures > 0 || len(t.Chunks) > 0 || t.Unscored != nil || t.ScoreFailures > 0) {
			out.Tasks = append(out.Tasks, RestatedTask{i, t.Resubmitted, t.Failures, slices.Clone(t.Chunks), t.Unscored, t.ScoreFailures})
		}
	}
	return out
}

// applyRestated makes a job whole: its state as of ReadTo, and the records after that, which were kept.
func (s *State) applyRestated(now time.Duration, writer string, r Restated) bool {
	id := r.Submitted.Job
	if q, found := s.gap.requests[id]; found && r.ReadTo >= q.offset {
		delete(s.gap.requests, id)
	}
	known := s.Jobs[id]
	if s.skipped.last == 0 || r.ReadTo+1 < s.gap.from || known != nil && !known.isEarlierThan(r) {
		return false
	}
	j := &Job{
		Submitted: r.Submitted, SubmittedAt: r.SubmittedAt, Term: r.Term, RunnerSeenAt: now, FirstSeenAt: now,
		RunnerConfirmed: writer == r.Submitted.Runner, Status: make([]TaskStatus, len(r.Submitted.Tasks)),
		taskIndex: make(map[string]int, len(r.Submitted.Tasks)),
	}
	for i, t := range j.Tasks {
		j.taskIndex[t.ID] = i
		if _, found := s.tasks[taskKey{j.Account, t.ID}]; !found {
			s.tasks[taskKey{j.Account, t.ID}] = jobTask{id, i}
		}
	}
	for _, t := range r.Tasks {
		if t.Task >= 0 && t.Task < len(j.Status) {
			j.Status[t.Task] = TaskStatus{Resubmitted: t.Resubmitted, Failures: t.Failures, Chunks: t.Chunks, Unscored: t.Unscored, ScoreFailures: t.ScoreFailures}
		}
	}
	for _, result := range r.Results {
		j.list(now, result)
	}
	j.ListedAtClaim = len(j.Results)
	if r.Ended {
		j.markClosed(now)
		j.Ended = true
	}
	if known != nil {
		j.FirstSeenAt, j.MaxSlotWait = known.FirstSeenAt, known.MaxSlotWait
	}
	s.Jobs[id] = j
	delete(s.gap.asked, id)
	if s.Runners[j.Model].Name == "" && j.Open() {
		s.Runners[j.Model] = Runner{j.Runner, now}
	}
	kept := s.gap.kept
	s.gap.kept = nil
	for _, k := range kept {
		switch {
		case k.job != id:
			s.gap.kept = append(s.gap.kept, k)
		case k.offset > r.ReadTo:
			s.apply(int64(k.offset)-1, k.readAt, k.record)
		}
	}
	return true
}

// isEarlierThan reports whether r may restate the job, which is not whole: with the same tasks, and the
// results that it has.
func (j *Job) isEarlierThan(r Restated) bool {
	if !j.Incomplete || len(j.Tasks) != len(r.Submitted.Tasks) || len(j.Results) > len(r.Results) {
		return false
	}
	return slices.EqualFunc(j.Results, r.Results[:len(j.Results)], func(a, b Result) bool { return a.Task == b.Task })
}

// job returns the id of the job that the record is about, false if it is about none.
func (r *Record) job() (string, bool) {
	switch {
	case r.Submitted != nil:
		return r.Submitted.Job, true
	case r.Claimed != nil:
		return r.Claimed.Job, true
	case r.Progress != nil:
		return r.Progress.Job, true
	case r.Listed != nil:
		return r.Listed.Job, true
	case r.Ended != nil:
		return r.Ended.Job, true
	default:
		return "", false
	}
}
