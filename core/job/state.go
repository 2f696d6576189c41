package job

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// Job is the state of a submitted job after applying the log.
type Job struct {
	Submitted
	SubmittedAt int64 // Unix milliseconds, by the clock of the accepting instance
	Term        int64 // number of accepted claims
	Ended       bool
	Results     []Result // in the order of the log
	Status      []TaskStatus

	// RunnerSeenAt is when the runner was set or one of its records of the job was last read,
	// by the reader's clock.
	RunnerSeenAt time.Duration
	// FirstSeenAt is when the submission was read. ClosedAt is when the record that closed the
	// job was read; zero: the job is open. Both are by the reader's clock.
	FirstSeenAt, ClosedAt time.Duration
	// RunnerConfirmed is set by a progress or result record of the runner and reset by an
	// accepted claim.
	RunnerConfirmed bool
	// MaxSlotWait is the longest wait of a task for a free slot that a runner has reported.
	MaxSlotWait time.Duration
	// ListedAtClaim is the number of results at the latest accepted claim.
	ListedAtClaim int
	// Incomplete is set while records about the job may have been skipped: Results is then the
	// beginning of the job's results, and the other fields are as of the last record before.
	Incomplete bool

	taskIndex map[string]int
}

// TaskStatus is the state of a task after applying the log.
type TaskStatus struct {
	Listed      bool // has a result
	Resubmitted bool // an earlier job of the account had the task
	Position    int  // index of the result in Results, if listed
	Failures    int  // server errors over all runners
	Chunks      []Chunk
	// Unscored is the first complete output that was stored, nil if there is none. A task
	// that has one needs no further run, only its score.
	Unscored      *CompleteOutput
	ScoreFailures int // server errors of score calls over all runners
}

// Open reports whether tasks of the job may still run.
func (j *Job) Open() bool { return !j.Ended && len(j.Results) < len(j.Tasks) }

// TaskIndex returns the index in Tasks of the task with the id.
func (j *Job) TaskIndex(id string) (int, bool) {
	i, ok := j.taskIndex[id]
	return i, ok
}

// State is the state after applying the log up to a record. It is not safe for concurrent use.
type State struct {
	Jobs       map[string]*Job
	Leases     map[string]fold.Lease
	Windows    map[int64]*Window
	LoadOrders map[string]LoadOrder // latest order, by target

	Instances map[string]Instance // by name
	Runners   map[string]Runner   // latest runner of a job of the model, by model

	tasks   map[taskKey]jobTask // position of each task in the latest job that has it
	streams streams

	skipped   leaseGap            // of leases of which no record was read since; zero: nothing was skipped
	leaseGaps map[string]leaseGap // of the other leases that are unknown, by name
	lastRead  record.Offset       // last record that was applied or skipped
	gap       gap                 // of the jobs whose records may be among the skipped
}

// LoadOrder is an announced load of weights and when it was read, by the reader's clock.
type LoadOrder struct {
	LoadOrdered
	ReadAt time.Duration
}

// Runner is the instance that runs a model's jobs. LastSeen is when it was set or its latest
// record about one of these jobs was read, by the reader's clock.
type Runner struct {
	Name     string // instance and incarnation, as in Record.Writer
	LastSeen time.Duration
}

// taskKey identifies a task over all jobs of an account.
type taskKey struct{ account, task string }

// jobTask identifies a task by its job and its index in the job.
type jobTask struct {
	job  string
	task int
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		Jobs: map[string]*Job{}, Leases: map[string]fold.Lease{}, Windows: map[int64]*Window{},
		LoadOrders: map[string]LoadOrder{}, Instances: map[string]Instance{}, Runners: map[string]Runner{}, tasks: map[taskKey]jobTask{},
		streams: streams{origins: map[string]StreamOrigin{}}, leaseGaps: map[string]leaseGap{}, gap: gap{requests: map[string]request{}},
	}
}

// Apply applies the record at offset, read at now by the reader's clock. It reports whether
// the record was accepted. One about a job that is not whole is kept until the job is restated.
func (s *State) Apply(offset int64, now time.Duration, r Record) bool {
	s.lastRead = LeaseOffset(offset)
	if s.keep(s.lastRead, now, r) {
		return false
	}
	return s.apply(offset, now, r)
}

func (s *State) apply(offset int64, now time.Duration, r Record) bool {
	switch {
	case r.Submitted != nil:
		return s.applySubmitted(now, r)
	case r.Claimed != nil:
		return s.applyClaimed(now, *r.Claimed)
	case r.Progress != nil:
		return s.applyProgress(now, r.Writer, *r.Progress)
	case r.Listed != nil:
		return s.applyListed(now, r.Writer, *r.Listed)
	case r.Ended != nil:
		return s.applyEnded(now, *r.Ended)
	case r.Lease != nil:
		return s.applyLease(LeaseOffset(offset), *r.Lease) == fold.Accepted
	case r.UsageCounted != nil:
		return s.applyCounted(r.Writer, *r.UsageCounted)
	case r.UsageSealed != nil:
		return s.applySealed(*r.UsageSealed)
	case r.UsageReported != nil:
		s.windowFor(r.UsageReported.Window).Reported = true
		return true
	case r.LoadOrdered != nil:
		s.LoadOrders[r.LoadOrdered.Target] = LoadOrder{*r.LoadOrdered, now}
		return true
	case r.InstanceStarted != nil:
		return s.applyStarted(offset, now, r.Writer, *r.InstanceStarted)
	case r.StreamStarted != nil:
		return s.applyStreamStarted(now, *r.StreamStarted)
	case r.KnownInstances != nil:
		return s.applyKnown(now, r.Writer, *r.KnownInstances)
	case r.InstanceLeaving != nil:
		return s.removeRunner(r.Writer)
	case r.JobsRequested != nil:
		return s.applyRequested(now, *r.JobsRequested)
	case r.Restated != nil:
		return s.applyRestated(now, r.Writer, *r.Restated)
	default:
		return false
	}
}

func (s *State) applySubmitted(now time.Duration, r Record) bool {
	if s.Jobs[r.Submitted.Job] != nil {
		return false
	}
	j := &Job{
		Submitted: *r.Submitted, SubmittedAt: r.At, RunnerSeenAt: now, FirstSeenAt: now,
		Status: make([]TaskStatus, len(r.Submitted.Tasks)), taskIndex: make(map[string]int, len(r.Submitted.Tasks)),
	}
	s.Jobs[j.Job] = j
	if current := s.Runners[j.Model]; current.Name != j.Runner {
		s.Runners[j.Model] = Runner{j.Runner, now}
	}
	for i, t := range j.Tasks {
		j.taskIndex[t.ID] = i
		s.inheritOutput(j, i)
		s.tasks[taskKey{j.Account, t.ID}] = jobTask{j.Job, i}
	}
	return true
}

func (s *State) applyClaimed(now time.Duration, c Claimed) bool {
	j := s.Jobs[c.Job]
	if j == nil || c.Term != j.Term+1 {
		return false
	}
	s.setRunner(j, c.Term, c.Runner, now)
	return true
}

// setRunner begins a later term of a job.
func (s *State) setRunner(j *Job, term int64, runner string, now time.Duration) {
	j.Term, j.Runner, j.RunnerSeenAt, j.RunnerConfirmed = term, runner, now, false
	j.ListedAtClaim = len(j.Results)
	s.Runners[j.Model] = Runner{runner, now}
}

func (s *State) applyProgress(now time.Duration, writer string, p Progress) bool {
	j := s.Jobs[p.Job]
	if j == nil {
		return false
	}
	if p.Term > j.Term { // the log had removed the claims before they were read
		s.setRunner(j, p.Term, writer, now)
	}
	s.markRunnerSeen(j, writer, now)
	j.MaxSlotWait = max(j.MaxSlotWait, time.Duration(p.MaxSlotWait)*time.Millisecond)
	for _, i := range p.Failed {
		if i >= 0 && i < len(j.Status) {
			j.Status[i].Failures++
		}
	}
	for _, c := range p.Chunks {
		if c.Task >= 0 && c.Task < len(j.Status) {
			c.writer = writer
			j.Status[c.Task].appendChunk(c)
		}
	}
	for _, o := range p.Unscored {
		if o.Task >= 0 && o.Task < len(j.Status) && j.Status[o.Task].Unscored == nil {
			j.Status[o.Task].Unscored = &o
		}
	}
	for _, f := range p.ScoreFailures {
		if f.Task >= 0 && f.Task < len(j.Status) {
			j.Status[f.Task].ScoreFailures += f.Count
		}
	}
	return true
}

// markRunnerSeen records that a record of writer about the job was read at now, if the writer
// is the runner of the job or of the model.
func (s *State) markRunnerSeen(j *Job, writer string, now time.Duration) {
	if writer == j.Runner {
		j.RunnerSeenAt, j.RunnerConfirmed = now, true
	}
	if s.Runners[j.Model].Name == writer {
		s.Runners[j.Model] = Runner{writer, now}
	}
}

// applyListed adds the first result of each task that the job allows, whoever wrote it. It returns false if it
// adds none.
func (s *State) applyListed(now time.Duration, writer string, listed Listed) bool {
	j := s.Jobs[listed.Job]
	if j == nil {
		return false
	}
	s.markRunnerSeen(j, writer, now)
	changed := false
	for _, result := range listed.Results {
		changed = j.list(now, result) || changed
	}
	return changed
}

// list adds a result if it is the first of its task that the job allows.
func (j *Job) list(now time.Duration, result Result) bool {
	if result.Task < 0 || result.Task >= len(j.Status) || j.Status[result.Task].Listed {
		return false
	}
	if result.Completed && !j.AllowsResult(result.Versions) {
		return false
	}
	if len(j.Results)+1 == len(j.Tasks) {
		j.markClosed(now)
	}
	j.Status[result.Task].Listed, j.Status[result.Task].Position = true, len(j.Results)
	j.Results = append(j.Results, result)
	return true
}

func (s *State) applyEnded(now time.Duration, e Ended) bool {
	j := s.Jobs[e.Job]
	if j == nil || j.Ended {
		return false
	}
	j.markClosed(now)
	j.Ended = true
	return true
}

// markClosed sets ClosedAt if the job is open. Its caller then closes the job.
func (j *Job) markClosed(now time.Duration) {
	if j.Open() {
		j.ClosedAt = now
	}
}

// OpenDuration returns how long the job was open, or has been open if it still is, by the
// reader's clock.
func (j *Job) OpenDuration(now time.Duration) time.Duration {
	if j.Open() {
		return now - j.FirstSeenAt
	}
	return j.ClosedAt - j.FirstSeenAt
}

// Prune removes old jobs and the windows before oldestWindow. readableFor is how long results
// must stay readable after the submission; wallMillis is the current time in Unix
// milliseconds. Closed jobs are kept for readableFor and a margin, open ones for OpenRetentions
// times readableFor.
func (s *State) Prune(wallMillis int64, readableFor time.Duration, oldestWindow int64) {
	for id, j := range s.Jobs {
		age := time.Duration(wallMillis-j.SubmittedAt) * time.Millisecond
		if age < OpenRetentions*readableFor && (age < readableFor+clockSkewMargin || j.Open()) {
			continue
		}
		delete(s.Jobs, id)
		delete(s.gap.requests, id)
		delete(s.gap.asked, id)
		for i, t := range j.Tasks {
			key := taskKey{j.Account, t.ID}
			if s.tasks[key] == (jobTask{id, i}) {
				delete(s.tasks, key)
			}
		}
	}
	for id := range s.Windows {
		if id < oldestWindow {
			delete(s.Windows, id)
		}
	}
}

// OpenRetentions is for how many times the time in which results must stay readable a job is kept
// that is open.
const OpenRetentions = 2

// clockSkewMargin covers clock differences between the instances, as ages are computed from
// another instance's clock.
const clockSkewMargin = 10 * time.Second
