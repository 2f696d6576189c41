// Package score decides when the complete outputs of tasks are scored, how many score
// calls are in flight, and how long a call may take.
//
// Some tasks are listed only with a score, which a plain service computes in some tens of
// milliseconds. Outputs become complete in bursts: the tasks of a step have similar
// lengths, and after an outage of the log a whole step may wait at once. The targets of
// the service also serve callers, who go first: score calls use a bounded share of the
// slots. Within it, the job that was submitted first goes first, because it is due first,
// and in it the group that lacks the fewest outputs, because trainers wait for whole
// groups.
//
// The package has no clock and no I/O. The caller makes the calls and passes in the time.
package score

import (
	"cmp"
	"slices"
	"time"
)

const (
	// callerShare is the share of each target's slots that score calls leave to callers.
	callerShare = 1.0 / 3
	// A call may take this fraction of the time that its job has left, so that several tries
	// fit into it.
	callFraction = 1.0 / 8
	// A call may take at least this multiple of the route's target latency, also for a job
	// that is overdue.
	minLatencies = 4
	minBackoff   = 50 * time.Millisecond // after the first failed call of an output
	maxBackoff   = time.Second
)

// Key identifies a task by its job and its index in the job.
type Key struct {
	Job  string
	Task int
}

// Item is a complete output that waits for its score.
type Item struct {
	Key       Key
	Group     int           // index of the task's group in the job
	Submitted time.Duration // time of the job's submission
	// Incomplete is the number of the group's tasks without a complete output. The latest
	// value for a group applies to all its items.
	Incomplete int
}

type item struct {
	Item
	addedAt   time.Duration
	notBefore time.Duration // earliest start of the next call
	failures  int           // calls without a score
	calling   bool
}

type groupKey struct {
	job   string
	group int
}

// Queue holds the outputs of one instance that wait for their scores or have a call in
// flight. It is not safe for concurrent use.
type Queue struct {
	items      map[Key]*item
	incomplete map[groupKey]int
	inFlight   int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{items: map[Key]*item{}, incomplete: map[groupKey]int{}}
}

// Add adds an output. It ignores one that is in the queue already.
func (q *Queue) Add(now time.Duration, i Item) {
	q.incomplete[groupKey{i.Key.Job, i.Group}] = i.Incomplete
	if q.items[i.Key] == nil {
		q.items[i.Key] = &item{Item: i, addedAt: now}
	}
}

// Next returns the outputs whose calls start now, so that at most limit calls are in
// flight. Retry or Remove must follow for each.
func (q *Queue) Next(now time.Duration, limit int) []Key {
	if q.inFlight >= limit {
		return nil
	}
	var ready []*item
	for _, i := range q.items {
		if !i.calling && now >= i.notBefore {
			ready = append(ready, i)
		}
	}
	slices.SortFunc(ready, q.compare)
	ready = ready[:min(len(ready), limit-q.inFlight)]
	keys := make([]Key, len(ready))
	for k, i := range ready {
		i.calling = true
		keys[k] = i.Key
	}
	q.inFlight += len(ready)
	return keys
}

// compare sorts items in the order of their calls.
func (q *Queue) compare(a, b *item) int {
	return cmp.Or(
		cmp.Compare(a.Submitted, b.Submitted),
		cmp.Compare(a.Key.Job, b.Key.Job),
		cmp.Compare(q.incomplete[groupKey{a.Key.Job, a.Group}], q.incomplete[groupKey{b.Key.Job, b.Group}]),
		cmp.Compare(a.addedAt, b.addedAt),
		cmp.Compare(a.Key.Task, b.Key.Task),
	)
}

// Retry records that the call of an output ended without a score. The output's next call
// starts after a backoff, which doubles with each call up to maxBackoff.
func (q *Queue) Retry(now time.Duration, k Key) {
	i := q.items[k]
	if i == nil || !i.calling {
		return
	}
	i.calling = false
	q.inFlight--
	i.notBefore = now + min(minBackoff<<min(i.failures, 10), maxBackoff)
	i.failures++
}

// Remove removes an output, whether its call is in flight or not.
func (q *Queue) Remove(k Key) {
	i := q.items[k]
	if i == nil {
		return
	}
	if i.calling {
		q.inFlight--
	}
	delete(q.items, k)
}

// RemoveJob removes all outputs of a job and returns them.
func (q *Queue) RemoveJob(job string) []Key {
	var removed []Key
	for k := range q.items {
		if k.Job == job {
			removed = append(removed, k)
		}
	}
	for _, k := range removed {
		q.Remove(k)
	}
	for g := range q.incomplete {
		if g.job == job {
			delete(q.incomplete, g)
		}
	}
	return removed
}

// Jobs returns the jobs that have outputs in the queue, sorted.
func (q *Queue) Jobs() []string {
	var jobs []string
	for k := range q.items {
		if !slices.Contains(jobs, k.Job) {
			jobs = append(jobs, k.Job)
		}
	}
	slices.Sort(jobs)
	return jobs
}

// NextRetry returns the time until an output that waits for its backoff may be called. It
// reports false if there is none.
func (q *Queue) NextRetry(now time.Duration) (time.Duration, bool) {
	earliest, found := time.Duration(0), false
	for _, i := range q.items {
		if i.calling || i.notBefore <= now {
			continue
		}
		if !found || i.notBefore-now < earliest {
			earliest, found = i.notBefore-now, true
		}
	}
	return earliest, found
}

// Stalled reports whether outputs could be called now but no call is in flight: Next has
// allowed none.
func (q *Queue) Stalled(now time.Duration) bool {
	if q.inFlight > 0 {
		return false
	}
	for _, i := range q.items {
		if now >= i.notBefore {
			return true
		}
	}
	return false
}

// Limit returns how many score calls one instance may have in flight at a service whose
// ready targets have the slots. runners is the number of instances that score outputs.
// Together they leave callerShare of each target to callers. The limit is at least one for
// each ready target, so that no runner starves.
func Limit(slots []int, runners int) int {
	total := 0
	for _, s := range slots {
		total += max(1, int(float64(s)*(1-callerShare))/max(1, runners))
	}
	return total
}

// CallTimeout returns how long a score call may take. left is the time until the results
// of the job are due, negative for an overdue job; targetLatency is that of the route.
func CallTimeout(left, targetLatency time.Duration) time.Duration {
	return max(time.Duration(callFraction*float64(left)), minLatencies*targetLatency)
}
