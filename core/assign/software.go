package assign

import "time"

// Kept is the part of a task's output that earlier runs have left. A run resumes after it only
// on an engine with the same software version, because the events of two versions do not fit
// together; on any other it starts from the first event.
type Kept struct {
	Events   int64 // number of the last event; zero: none
	Software string
}

// resumes reports whether a run of the task on the engine goes on after the kept events.
func (t *Task) resumes(e *engine) bool { return t.Kept.Events > 0 && t.Kept.Software == e.Software }

// class is what a task requires of an engine: tasks of one class can run on the same
// engines.
type class struct {
	service, model string
	minVersion     int64
	resumes        bool // only on engines with the software version software
	software       string
}

func (s *Scheduler) class(now time.Duration, t *Task) class {
	c := class{service: t.Service, model: t.Model, minVersion: t.MinVersion}
	if !s.mayStartOver(now, t) {
		c.resumes, c.software = true, t.Kept.Software
	}
	return c
}

// classToMove is the class of a task whose run is to move: it keeps the events of the run.
func (s *Scheduler) classToMove(now time.Duration, r *run) class {
	t := *r.task
	if r.events > 0 {
		t.Kept, t.WaitingSince = Kept{r.events, r.engine.Software}, now
	}
	return s.class(now, &t)
}

// mayStartOver reports whether a run of the task may start from the first event: nothing is
// kept of it, no engine is left that it could resume on, or it has waited for one longer than
// it takes to generate the kept events again.
func (s *Scheduler) mayStartOver(now time.Duration, t *Task) bool {
	return t.Kept.Events == 0 || s.waitedLong(now, t) || !s.canResume(t)
}

// waitedLong reports whether the task has waited longer than it takes to generate its kept
// events again.
func (s *Scheduler) waitedLong(now time.Duration, t *Task) bool {
	return now-t.WaitingSince > time.Duration(t.Kept.Events)*s.service(t.Service).Interval()
}

// canResume reports whether there is an engine on which the task can resume, now or later.
func (s *Scheduler) canResume(t *Task) bool {
	for _, e := range s.engines {
		if e.Ready && e.Service == t.Service && t.resumes(e) && e.Versions[t.Model] >= t.MinVersion {
			return true
		}
	}
	return false
}
