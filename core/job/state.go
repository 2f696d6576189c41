package job

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// Job is a submitted job as the log tells it.
type Job struct {
	Submitted
	SubmittedAt int64 // Unix milliseconds, by the clock of the accepting instance
	Term        int64 // counts changes of the runner
	Ended       bool
	Results     []Result // by position
	Status      []TaskStatus

	// RunnerSeenAt is when this reader last saw a record of the runner, by its own clock.
	RunnerSeenAt time.Duration
	// FirstSeenAt is when this reader learned of the job, Closed when it learned that nothing
	// of it runs any more; zero: the job is open.
	FirstSeenAt, ClosedAt time.Duration
	// RunnerConfirmed tells that the runner has shown that it runs the job.
	RunnerConfirmed bool
	// MaxSlotWait is the longest that any of its tasks was told to have waited for a slot.
	MaxSlotWait time.Duration

	taskIndex map[string]int
}

// TaskStatus is what the log tells of a task.
type TaskStatus struct {
	Listed      bool
	Resubmitted bool // an earlier job of the account had the task
	Position    int  // of the result, when listed
	Failures    int  // server errors over all runners
	Chunks      []Chunk
}

// Open reports whether tasks of the job may still run.
func (j *Job) Open() bool { return !j.Ended && len(j.Results) < len(j.Tasks) }

// TaskIndex returns the index of a task by its id.
func (j *Job) TaskIndex(id string) (int, bool) {
	i, ok := j.taskIndex[id]
	return i, ok
}

// ContiguousChunks returns the chunks that hold the task's events from 1 on without a gap,
// of versions from min on.
func (s *TaskStatus) ContiguousChunks(minVersion int64) []Chunk {
	var out []Chunk
	next := int64(1)
	for _, c := range s.Chunks {
		if c.First != next || len(c.Versions) == 0 || c.Versions[0] < minVersion {
			continue
		}
		out = append(out, c)
		next = c.Last + 1
	}
	return out
}

// State is the fold of the log. It is not safe for concurrent use.
type State struct {
	Jobs       map[string]*Job
	Leases     map[string]fold.Lease
	Windows    map[int64]*Window
	LoadOrders map[string]LoadOrder // the latest order by target

	Instances map[string]Instance // by name
	Runners   map[string]Runner   // of the latest job, by model

	tasks map[taskKey]taskLocation
}

// LoadOrder is an announced order and when this reader saw it, by its own clock.
type LoadOrder struct {
	LoadOrdered
	ReadAt time.Duration
}

// Instance is the latest incarnation of an instance.
type Instance struct {
	Incarnation string // as records name their writer
	PeerAddress string // listener for other instances, IP and port
	StartedAt   int64  // start of the process, Unix milliseconds
}

// Runner is who runs a model's jobs, and when this reader last saw a record of it,
// by its own clock.
type Runner struct {
	Name     string
	LastSeen time.Duration
}

type taskKey struct{ account, task string }

type taskLocation struct {
	job  string
	task int
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		Jobs: map[string]*Job{}, Leases: map[string]fold.Lease{}, Windows: map[int64]*Window{},
		LoadOrders: map[string]LoadOrder{}, Instances: map[string]Instance{}, Runners: map[string]Runner{}, tasks: map[taskKey]taskLocation{},
	}
}

// LeaseOffset returns the log's offset as leases count it: from 1.
func LeaseOffset(offset int64) record.Offset { return record.Offset(offset + 1) }

// Apply folds one record, read at now by the reader's clock. It reports whether
// the record had an effect.
func (s *State) Apply(offset int64, now time.Duration, r Record) bool {
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
		return s.applyStarted(r.Writer, *r.InstanceStarted)
	case r.InstanceLeaving != nil:
		return s.removeRunner(r.Writer)
	default:
		return false
	}
}

// applyStarted replaces an instance's incarnation and frees the jobs and leases of the
// one before. An announcement that comes late changes nothing.
func (s *State) applyStarted(writer string, b InstanceStarted) bool {
	known := s.Instances[b.Instance]
	if known.Incarnation == writer || known.StartedAt >= b.StartedAt {
		return false
	}
	s.Instances[b.Instance] = Instance{writer, b.PeerAddress, b.StartedAt}
	if known.Incarnation == "" {
		return true
	}
	for _, j := range s.Jobs {
		if j.Runner == known.Incarnation {
			j.Runner = ""
		}
	}
	s.removeRunner(known.Incarnation)
	for name, l := range s.Leases {
		if l.Holder == known.Incarnation {
			l.Holder = ""
			s.Leases[name] = l
		}
	}
	return true
}

// removeRunner forgets that an incarnation runs the jobs of models. It keeps those that it
// has until others claim them.
func (s *State) removeRunner(writer string) bool {
	left := false
	for model, r := range s.Runners {
		if r.Name == writer {
			delete(s.Runners, model)
			left = true
		}
	}
	return left
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
	if known := s.Runners[j.Model]; known.Name != j.Runner {
		s.Runners[j.Model] = Runner{j.Runner, now}
	}
	for i, t := range j.Tasks {
		j.taskIndex[t.ID] = i
		s.inheritChunks(j, i)
		s.tasks[taskKey{j.Account, t.ID}] = taskLocation{j.Job, i}
	}
	return true
}

// inheritChunks takes over what is stored of a task from the job that had it before.
func (s *State) inheritChunks(j *Job, task int) {
	place, known := s.tasks[taskKey{j.Account, j.Tasks[task].ID}]
	if !known || s.Jobs[place.job] == nil {
		return
	}
	before := s.Jobs[place.job]
	j.Status[task].Resubmitted = true
	if before.Model != j.Model || before.Route != j.Route {
		return
	}
	j.Status[task].Chunks = before.Status[place.task].Chunks
}

// EarlierResult returns the completed result that an earlier job of the account lists
// for the task.
func (s *State) EarlierResult(j *Job, task int) (Result, bool) {
	for _, other := range s.Jobs {
		if other == j || other.Account != j.Account || other.Model != j.Model || other.Route != j.Route {
			continue
		}
		i, ok := other.taskIndex[j.Tasks[task].ID]
		if !ok || !other.Status[i].Listed {
			continue
		}
		if e := other.Results[other.Status[i].Position]; e.Completed {
			return e, true
		}
	}
	return Result{}, false
}

func (s *State) applyClaimed(now time.Duration, c Claimed) bool {
	j := s.Jobs[c.Job]
	if j == nil || c.Term != j.Term+1 {
		return false
	}
	j.Term, j.Runner, j.RunnerSeenAt, j.RunnerConfirmed = c.Term, c.Runner, now, false
	s.Runners[j.Model] = Runner{c.Runner, now}
	return true
}

func (s *State) applyProgress(now time.Duration, writer string, p Progress) bool {
	j := s.Jobs[p.Job]
	if j == nil {
		return false
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
			j.Status[c.Task].appendChunk(c)
		}
	}
	return true
}

// markRunnerSeen notes a sign of life of a job's runner.
func (s *State) markRunnerSeen(j *Job, writer string, now time.Duration) {
	if writer == j.Runner {
		j.RunnerSeenAt, j.RunnerConfirmed = now, true
	}
	if s.Runners[j.Model].Name == writer {
		s.Runners[j.Model] = Runner{writer, now}
	}
}

// appendChunk notes a chunk that goes on where the stored ones end, or starts them anew.
// Invariant: the chunks of a task follow each other without a gap.
func (s *TaskStatus) appendChunk(c Chunk) {
	last := int64(0)
	if n := len(s.Chunks); n > 0 {
		last = s.Chunks[n-1].Last
	}
	switch c.First {
	case last + 1:
		s.Chunks = append(s.Chunks[:len(s.Chunks):len(s.Chunks)], c) // inherited by later jobs
	case 1:
		s.Chunks = []Chunk{c}
	}
}

func (s *State) applyListed(now time.Duration, writer string, l Listed) bool {
	j := s.Jobs[l.Job]
	if j == nil {
		return false
	}
	s.markRunnerSeen(j, writer, now)
	changed := false
	for _, e := range l.Results {
		if e.Task < 0 || e.Task >= len(j.Status) || j.Status[e.Task].Listed {
			continue
		}
		if len(j.Results)+1 == len(j.Tasks) {
			j.markClosed(now)
		}
		j.Status[e.Task].Listed, j.Status[e.Task].Position = true, len(j.Results)
		j.Results = append(j.Results, e)
		changed = true
	}
	return changed
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

// markClosed notes the end of the last run of an open job.
func (j *Job) markClosed(now time.Duration) {
	if j.Open() {
		j.ClosedAt = now
	}
}

// OpenDuration returns how long the job was open, by this reader's clock, until now at most.
func (j *Job) OpenDuration(now time.Duration) time.Duration {
	if j.Open() {
		return now - j.FirstSeenAt
	}
	return j.ClosedAt - j.FirstSeenAt
}

// applyLease folds a lease record and tells what became of it.
func (s *State) applyLease(at record.Offset, l Lease) fold.Verdict {
	current := s.Leases[l.Body.Name]
	if l.Supersedes != current.LastOffset {
		return fold.Conflict
	}
	next := fold.Lease{
		Name: l.Body.Name, Holder: l.Body.Holder, Term: current.Term, LastOffset: at, Duration: int64(l.Body.Duration),
	}
	if l.Body.Holder != current.Holder || current.LastOffset == 0 {
		next.Term = at
	}
	s.Leases[l.Body.Name] = next
	return fold.Accepted
}

// Prune forgets jobs that nobody may ask for any more, and old windows. statusFor
// is how long results stay readable after a submission; wall is Unix milliseconds.
func (s *State) Prune(wall int64, statusFor time.Duration, oldestWindow int64) {
	for id, j := range s.Jobs {
		age := time.Duration(wall-j.SubmittedAt) * time.Millisecond
		if age < 2*statusFor && (age < statusFor+clockSkewMargin || j.Open()) {
			continue
		}
		delete(s.Jobs, id)
		for i, t := range j.Tasks {
			key := taskKey{j.Account, t.ID}
			if s.tasks[key] == (taskLocation{id, i}) {
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

// clockSkewMargin covers clocks that differ between instances.
const clockSkewMargin = 10 * time.Second
