package size

import (
	"slices"
	"time"
)

const (
	// loadWindow is how long an observation of a job counts: several steps of a trainer.
	loadWindow = 30 * time.Second
	// minStepInterval is the shortest interval of two steps: jobs that an instance reads together
	// after its start say nothing of the interval.
	minStepInterval = 500 * time.Millisecond
	// maxSteps is how many submissions of a stream are kept for the estimate of its interval.
	maxSteps = 6
	// overdueFactor is by how many intervals a step may be late before its stream counts as
	// ended. A late step waits for late groups, which at most doubles its interval.
	overdueFactor = 3
)

// Job is what the log says of a job of the service.
type Job struct {
	Stream      string        // the trainer that submits one job after the other
	SubmittedAt time.Duration // as read by the instance
	ClosedAt    time.Duration // zero: it is open
	OpenTasks   int           // without a result
	SlotWait    time.Duration // longest wait of a task for a free slot
	Deadline    time.Duration // from the submission until its results are due; zero: none
}

// elapsed returns how long the job was open, or has been.
func (j *Job) elapsed(now time.Duration) time.Duration {
	if j.ClosedAt > 0 {
		return j.ClosedAt - j.SubmittedAt
	}
	return now - j.SubmittedAt
}

// Load is the expected load of a service.
type Load struct {
	PeakTasks int           // recent maximum of tasks waiting or running at the same time
	PeakAge   time.Duration // since then
	Short     bool          // a job called for more targets lately, see NeedsMoreTargets
	// JobTime and Deadline are those of the recent job that took the largest part of its
	// deadline; zero: there was none.
	JobTime, Deadline time.Duration
	NextStep          time.Duration // when the next job is expected; zero: none is
	Ends              time.Duration // when the last result of an open or expected job is due
}

// Forecast estimates the load of a service from its jobs.
//
// Load pattern: each trainer submits a step of a few hundred tasks, and the next one seconds
// after the results; steps end without notice. The peak of the last steps is expected again
// as long as the next step is not overdue.
type Forecast struct {
	peak       int
	peakAt     time.Duration
	shortAt    time.Duration
	short      bool
	slowest    Job
	slowTime   time.Duration
	slowSeenAt time.Duration
	streams    map[string][]time.Duration // submissions, the latest last
}

// NewForecast returns a forecast that has seen no jobs.
func NewForecast() *Forecast { return &Forecast{streams: map[string][]time.Duration{}} }

// Observe updates the forecast from the service's jobs and returns the load.
func (f *Forecast) Observe(now time.Duration, jobs []Job) Load {
	tasks, ends := 0, time.Duration(0)
	if now-f.slowSeenAt > loadWindow {
		f.slowTime = 0
	}
	for _, j := range jobs {
		if j.ClosedAt > 0 && now-j.ClosedAt > loadWindow {
			continue
		}
		f.noteStep(j)
		elapsed := j.elapsed(now)
		if NeedsMoreTargets(j.SlotWait, elapsed, j.Deadline) {
			f.short, f.shortAt = true, now
		}
		if j.Deadline > 0 && (f.slowTime == 0 || float64(elapsed)/float64(j.Deadline) >= float64(f.slowTime)/float64(f.slowest.Deadline)) {
			f.slowest, f.slowTime, f.slowSeenAt = j, elapsed, now
		}
		if j.ClosedAt > 0 {
			continue
		}
		tasks += j.OpenTasks
		due := j.SubmittedAt + j.Deadline
		if j.Deadline <= 0 {
			due = now + loadWindow // not known to end
		}
		ends = max(ends, due)
	}
	if tasks >= f.peak || now-f.peakAt > loadWindow {
		f.peak, f.peakAt = tasks, now
	}
	next := f.nextStep(now)
	if next > 0 {
		ends = max(ends, next+f.slowest.Deadline)
	}
	return Load{
		PeakTasks: f.peak, PeakAge: now - f.peakAt, Short: f.short && now-f.shortAt <= loadWindow,
		JobTime: f.slowTime, Deadline: f.slowest.Deadline, NextStep: next, Ends: ends,
	}
}

// noteStep adds the submission of a job to its stream.
func (f *Forecast) noteStep(j Job) {
	steps := f.streams[j.Stream]
	at, _ := slices.BinarySearch(steps, j.SubmittedAt)
	if at > 0 && j.SubmittedAt-steps[at-1] < minStepInterval || at < len(steps) && steps[at]-j.SubmittedAt < minStepInterval {
		return
	}
	steps = slices.Insert(steps, at, j.SubmittedAt)
	f.streams[j.Stream] = steps[max(0, len(steps)-maxSteps):]
}

// nextStep returns when the next job is expected, not before now; zero: none is. It drops the
// streams that have ended.
func (f *Forecast) nextStep(now time.Duration) time.Duration {
	next := time.Duration(0)
	for stream, steps := range f.streams {
		last := steps[len(steps)-1]
		if len(steps) < 2 {
			if now-last > 2*loadWindow {
				delete(f.streams, stream)
			}
			continue
		}
		intervals := make([]time.Duration, 0, len(steps))
		for i := 1; i < len(steps); i++ {
			intervals = append(intervals, steps[i]-steps[i-1])
		}
		slices.Sort(intervals)
		interval := min(intervals[len(intervals)/2], loadWindow)
		if now > last+overdueFactor*interval {
			delete(f.streams, stream)
			continue
		}
		if expected := max(now, last+interval); next == 0 || expected < next {
			next = expected
		}
	}
	return next
}
