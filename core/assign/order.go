package assign

import (
	"cmp"
	"slices"
	"time"
)

// lateShare is the share of the starts, one in lateShare, for tasks of groups that cannot be in
// time: their callers wait for them, too.
const lateShare = 8

// hopeFactor is the share of the expected time that a group may need and still count as one
// that can be in time: hints are often far off.
const hopeFactor = 0.6

// Job is what the start order needs to know of a job.
type Job struct {
	Due          time.Duration // when its groups are due; zero: unknown
	GroupsWanted int           // number of complete groups that its caller waits for; zero: all
	Groups       int           // number of its groups
}

// maxDue bounds due times, so that their differences do not overflow.
const maxDue = time.Duration(1 << 60)

type groupKey struct{ job, group string }

// group is the state of a group with tasks that wait or run.
type group struct {
	groupKey
	open    int           // tasks that wait or run
	slowest time.Duration // longest expected remaining time of these; zero: unknown
	unknown bool          // the remaining time of a task is not known
	slack   time.Duration
	tier    tier
}

// tier is the first criterion of the start order.
type tier uint8

const (
	first    tier = iota // resubmitted, or moved off an engine
	needed               // of a group that can be in time and is needed for the wanted number
	optional             // of another group that can be in time
	late                 // of a group that cannot be in time, or is not due while others are
)

// SetJob sets what is known of a job. RemoveJob must follow.
func (s *Scheduler) SetJob(id string, j Job) {
	j.Due = min(max(j.Due, -maxDue), maxDue)
	if s.jobs[id] != j {
		s.jobs[id] = j
		s.unsorted = true
	}
}

// RemoveJob forgets a job.
func (s *Scheduler) RemoveJob(id string) { delete(s.jobs, id) }

func (s *Scheduler) joinGroup(t *Task) {
	key := groupKey{t.Key.Job, t.Group}
	g := s.groups[key]
	if g == nil {
		g = &group{groupKey: key}
		s.groups[key] = g
	}
	g.open++
	t.group = g
}

func (s *Scheduler) leaveGroup(t *Task) {
	if t.group.open--; t.group.open == 0 {
		delete(s.groups, t.group.groupKey)
	}
}

func (s *Scheduler) enqueue(t *Task) {
	s.waiting = append(s.waiting, t)
	s.unsorted = true
}

// sortWaiting sorts the waiting tasks in start order, if one was added or the order is old.
func (s *Scheduler) sortWaiting(now time.Duration) {
	if len(s.waiting) == 0 {
		s.firstLate = 0
		return
	}
	if !s.unsorted && now-s.orderedAt < refreshInterval {
		return
	}
	s.unsorted, s.orderedAt = false, now
	s.rateTasks(now)
	s.rateGroups(now)
	slices.SortFunc(s.waiting, compareStartOrder)
	s.firstLate, _ = slices.BinarySearchFunc(s.waiting, late, func(t *Task, l tier) int { return cmp.Compare(t.tier(), l) })
}

// rateTasks computes the expected remaining times of all tasks and of their groups.
func (s *Scheduler) rateTasks(now time.Duration) {
	for _, g := range s.groups {
		g.slowest, g.unknown = 0, false
	}
	factors, running := time.Duration(0), time.Duration(0) // in millionths: sums of integers have no order
	for _, t := range s.tasks {
		t.remaining = s.remainingTime(now, t)
		t.slack = s.jobs[t.Key.Job].Due - now - t.remaining
		t.group.slowest = max(t.group.slowest, t.remaining)
		t.group.unknown = t.group.unknown || t.remaining == 0
		if t.run != nil {
			factors += time.Duration(1e6 * t.run.engine.speed(t.Model).Factor(now, t.run.engine.load(0)))
			running++
		}
	}
	if running > 0 {
		s.typicalFactor = float64(factors/running) / 1e6
	}
}

// rateGroups sets the slack and the tier of each group. Of the groups that can be in time, the
// ones with the most slack are needed for the wanted number.
func (s *Scheduler) rateGroups(now time.Duration) {
	open := map[string]int{}
	inTime := map[string][]*group{}
	anyDue := false
	for _, g := range s.groups {
		open[g.job]++
		j := s.jobs[g.job]
		left := j.Due - now
		g.slack, g.tier = left-g.slowest, late
		switch {
		case j.Due == 0:
		case g.unknown && left > 0, !g.unknown && time.Duration(hopeFactor*float64(g.slowest)) <= left:
			anyDue = true
			inTime[g.job] = append(inTime[g.job], g)
		}
	}
	for id, groups := range inTime {
		slices.SortFunc(groups, func(a, b *group) int {
			return cmp.Or(cmp.Compare(b.slack, a.slack), cmp.Compare(a.group, b.group))
		})
		j := s.jobs[id]
		missing := len(groups)
		if j.GroupsWanted > 0 {
			missing = j.GroupsWanted - max(0, j.Groups-open[id])
		}
		for i, g := range groups {
			g.tier = optional
			if i < missing {
				g.tier = needed
			}
		}
	}
	if !anyDue { // nothing comes before tasks that are not due
		for _, g := range s.groups {
			if s.jobs[g.job].Due == 0 {
				g.tier = needed
			}
		}
	}
}

func (t *Task) tier() tier {
	if t.Resubmitted || t.moved {
		return first
	}
	return t.group.tier
}

// slackStep is the difference below which the slack of two tasks counts as equal: it is less
// than the error of what it is computed from.
const slackStep = 100 * time.Millisecond

// order returns the slack of the task in steps and the number of open tasks of its group. They
// are zero for all tasks whose order does not depend on them: those whose remaining time is not
// known, and those that cannot be in time or come first in any case.
func (t *Task) order() (slack time.Duration, open int) {
	if t.group.unknown || t.tier() == first || t.tier() == late {
		return 0, 0
	}
	return t.slack / slackStep, t.group.open
}

// compareStartOrder sorts by tier, then the least slack first, then the groups closest to
// completion, then the longest expected output.
//
// The slack is that of the task, not the one of its group: ordered by the slack of groups, the
// short tasks of a group with a long one take the slots that the long tasks of other groups
// need, and the wanted groups are complete 0.2 s later (see the specs of replayed loads).
func compareStartOrder(a, b *Task) int {
	slackA, openA := a.order()
	slackB, openB := b.order()
	return cmp.Or(
		cmp.Compare(a.tier(), b.tier()),
		cmp.Compare(slackA, slackB),
		cmp.Compare(openA, openB),
		cmp.Compare(b.ExpectedTokens, a.ExpectedTokens),
		cmp.Compare(a.Submitted, b.Submitted),
		cmp.Compare(a.Key.Job, b.Key.Job),
		cmp.Compare(a.Key.Task, b.Key.Task),
	)
}
