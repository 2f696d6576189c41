package hosted

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	submitTimeout = 1500 * time.Millisecond // above two repeats of an append; the caller then asks another instance
	// outageWaitFraction of the caller's time is waited for a log that is down for everyone:
	// no other instance could take the job, and half is left for another try.
	outageWaitFraction = 0.4
	readTimeout        = 1500 * time.Millisecond // readers wait 1.5 s longer than they allow
	maxPageBytes       = 900 << 10               // bytes of texts in one answer; the platform allows 1 MB
)

// submit accepts a job: its tasks are stored first, then the record that accepts
// it. Only that record makes it run.
func (n *Instance) submit(c *call) {
	sub, err := platform.DecodeSubmission(c.body)
	switch {
	case err != nil:
		n.respond(c, http.StatusBadRequest, err.Error())
		return
	case c.ID == "" || c.r.Method != http.MethodPost:
		n.respond(c, http.StatusBadRequest, "a submission is a POST with a request id")
		return
	}
	ctx, cancel := n.submitContext(c)
	defer cancel()
	if n.hasJob(ctx, c, c.ID) {
		n.respondAccepted(c, len(sub.Tasks), "known")
		return
	}
	records, err := job.EncodeTasks(sub.Tasks, n.cfg.Settings.Store.RecordBytes/2)
	if err != nil {
		n.respond(c, http.StatusBadRequest, err.Error())
		return
	}
	at, err := n.storeContent(ctx, records)
	if err != nil {
		n.refuse(c, "the tasks were not stored: "+err.Error()) // nothing runs without the accepting record
		return
	}
	n.runner.cacheTasks(c.ID, sub.Tasks)
	switch err := n.appendRecord(ctx, job.Record{Submitted: n.newSubmitted(c, sub, at, n.chooseRunner(ctx, sub.Model))}); {
	case err == nil:
		n.respondAccepted(c, len(sub.Tasks), "new")
	case errors.Is(err, errNotSent):
		n.refuse(c, "the job was not stored: "+err.Error())
	default:
		n.respond(c, http.StatusGatewayTimeout, "it is not known whether the job was stored: "+err.Error())
	}
}

// submitContext bounds how long a submission waits for the log.
func (n *Instance) submitContext(c *call) (context.Context, context.CancelFunc) {
	limit := submitTimeout
	if c.TimeLeft > 0 {
		limit = min(limit, c.TimeLeft)
	}
	ctx, cancel := context.WithCancel(c.r.Context())
	timer := time.AfterFunc(limit, func() {
		rest := time.Duration(outageWaitFraction*float64(c.TimeLeft)) - limit
		if rest <= 0 || !n.logTransport.noPeerReachesLog() {
			cancel()
			return
		}
		time.AfterFunc(rest, cancel)
	})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// runnerMaxAge is how recently the runner of a model's last job must have been seen
// alive: it beats every 0.5 s until the job is whole, and the next job comes soon.
const runnerMaxAge = 3 * time.Second

// chooseRunner returns who is to run a job of the model: the runner of the last one,
// whose connections to the engines are open, or this instance. A stopping instance
// leaves it to whoever claims it.
func (n *Instance) chooseRunner(ctx context.Context, model string) string {
	runner := n.self
	if n.isStopping() {
		runner = ""
	}
	n.stateLoop.do(ctx, func() {
		last := n.stateLoop.state.Runners[model]
		if last.Name != "" && n.clock.Now()-last.LastSeen < runnerMaxAge {
			runner = last.Name
		}
	})
	return runner
}

func (n *Instance) newSubmitted(c *call, sub job.Submission, at []job.Location, runner string) *job.Submitted {
	s := &job.Submitted{
		Job: c.ID, Account: c.account, Route: c.route.Name, Host: c.r.Host, Step: sub.Step, Model: sub.Model,
		MinVersion: sub.MinVersion, GroupsWanted: sub.GroupsWanted, Retention: c.route.Retention.Milliseconds(),
		MaxAttempts: c.route.MaxAttempts, SingleVersion: c.route.SingleVersion, Content: at, Runner: runner,
	}
	groups := map[string]int{}
	for i := range sub.Tasks {
		g, known := groups[sub.Tasks[i].Group]
		if !known {
			g = len(groups)
			groups[sub.Tasks[i].Group] = g
		}
		s.Tasks = append(s.Tasks, job.TaskRef{ID: sub.Tasks[i].ID, Group: g})
	}
	return s
}

func (n *Instance) respondAccepted(c *call, tasks int, how string) {
	n.metrics.jobs.Inc()
	n.log("job accepted", events.F("request", c.ID), events.F("account", c.account), events.F("tasks", fmt.Sprint(tasks)),
		events.F("how", how), events.F("took", (n.clock.Now()-c.started).Round(time.Millisecond).String()))
	platform.SetOwnResponseHeader(c.w.Header(), c.ID, 0)
	c.w.Header().Set("Content-Length", "0")
	c.w.WriteHeader(http.StatusAccepted)
}

// hasJob reports whether the call's account has submitted a job of the id, as far
// as the log was read.
func (n *Instance) hasJob(ctx context.Context, c *call, id string) (known bool) {
	n.stateLoop.do(ctx, func() {
		j := n.stateLoop.state.Jobs[id]
		known = j != nil && j.Account == c.account
	})
	return known
}

// serveJobCall answers a call about a submitted job.
func (n *Instance) serveJobCall(c *call, about platform.JobRequest) {
	ctx, cancel := context.WithTimeout(c.r.Context(), c.Wait+readTimeout)
	defer cancel()
	known, err := n.findJob(ctx, c, about.Job)
	switch {
	case err != nil:
		n.refuse(c, "the log is out of reach: "+err.Error())
	case !known:
		n.respond(c, http.StatusNotFound, "no such job")
	case about.ForTask:
		n.serveTask(ctx, c, about)
	case c.r.Method == http.MethodDelete:
		n.endJob(ctx, c, about.Job)
	default:
		n.serveResults(ctx, c, about)
	}
}

// findJob reports whether the account has the job. Before it says no, it reads
// the log to its end.
func (n *Instance) findJob(ctx context.Context, c *call, id string) (bool, error) {
	if n.hasJob(ctx, c, id) {
		return true, nil
	}
	if err := n.catchUp(ctx); err != nil {
		return false, err
	}
	return n.hasJob(ctx, c, id), nil
}

// catchUp returns once everything is folded that the log held when it was called.
func (n *Instance) catchUp(ctx context.Context) error {
	var next int64
	if !n.stateLoop.do(ctx, func() { next = n.stateLoop.nextOffset }) {
		return ctx.Err()
	}
	batch, err := n.store.Read(ctx, controlTopic, 0, next, 1, 0)
	if err != nil {
		return err
	}
	for {
		changed := n.stateLoop.nextChange()
		if !n.stateLoop.do(ctx, func() { next = n.stateLoop.nextOffset }) {
			return ctx.Err()
		}
		if next >= batch.EndOffset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("folded to %d of %d: %w", next, batch.EndOffset, ctx.Err())
		}
	}
}

// serveResults answers with the results from a position on, waiting for the first
// as long as the caller allows.
func (n *Instance) serveResults(ctx context.Context, c *call, about platform.JobRequest) {
	until := n.clock.Now() + c.Wait
	for {
		changed := n.stateLoop.nextChange()
		var total int
		var entries []job.Result
		var ids []string
		if !n.stateLoop.do(ctx, func() {
			j := n.stateLoop.state.Jobs[about.Job]
			if j == nil {
				return
			}
			total = len(j.Tasks)
			entries = page(j.Results, about.After)
			for _, e := range entries {
				ids = append(ids, j.Tasks[e.Task].ID)
			}
		}) {
			n.refuse(c, "the caller's wait is over")
			return
		}
		left := until - n.clock.Now()
		if len(entries) > 0 || left <= 0 {
			n.sendResults(ctx, c, about, total, entries, ids)
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// page returns the results from a position on that fit into one answer.
func page(results []job.Result, after int) []job.Result {
	if after >= len(results) {
		return nil
	}
	size := 0
	for i, e := range results[after:] {
		size += e.Location.Bytes
		if i > 0 && size > maxPageBytes {
			return results[after : after+i]
		}
	}
	return results[after:]
}

func (n *Instance) sendResults(ctx context.Context, c *call, about platform.JobRequest, total int, entries []job.Result, ids []string) {
	if len(entries) == 0 && !n.logCurrent() {
		n.refuse(c, "newer results may be listed")
		return
	}
	at := make([]job.Location, len(entries))
	for i, e := range entries {
		at[i] = e.Location
	}
	texts, err := n.loadContent(ctx, at)
	if err != nil {
		n.refuse(c, "a text is out of reach: "+err.Error())
		return
	}
	results := make([]platform.Result, len(entries))
	for i, e := range entries {
		results[i] = platform.Result{ID: ids[i], Completed: e.Completed, Text: texts[i], Versions: e.Versions}
	}
	body, err := platform.EncodeResults(total, about.After, results)
	if err != nil {
		n.respond(c, http.StatusInternalServerError, err.Error())
		return
	}
	n.send(c, "application/json", body)
}

func (n *Instance) send(c *call, contentType string, body []byte) {
	platform.SetOwnResponseHeader(c.w.Header(), c.ID, 0)
	c.w.Header().Set("Content-Type", contentType)
	c.w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	c.w.WriteHeader(http.StatusOK)
	_, _ = c.w.Write(body) // a caller that has left reads again
}

// serveTask answers with a task's body.
func (n *Instance) serveTask(ctx context.Context, c *call, about platform.JobRequest) {
	tasks, err := n.tasksOf(ctx, about.Job)
	if err != nil {
		n.refuse(c, "the tasks are out of reach: "+err.Error())
		return
	}
	for i := range tasks {
		if tasks[i].ID == about.Task {
			n.send(c, "application/octet-stream", tasks[i].Body)
			return
		}
	}
	n.respond(c, http.StatusNotFound, "the job has no such task")
}

// tasksOf loads a job's tasks.
func (n *Instance) tasksOf(ctx context.Context, id string) ([]job.Task, error) {
	var at []job.Location
	n.stateLoop.do(ctx, func() {
		if j := n.stateLoop.state.Jobs[id]; j != nil {
			at = j.Content
		}
	})
	records, err := n.loadContent(ctx, at)
	if err != nil {
		return nil, err
	}
	var tasks []job.Task
	for _, data := range records {
		part, err := job.DecodeTasks(data)
		if err != nil {
			return nil, err
		}
		tasks = append(tasks, part...)
	}
	return tasks, nil
}

// endJob ends a job and answers once the store has acknowledged it.
func (n *Instance) endJob(ctx context.Context, c *call, id string) {
	ended := false
	n.stateLoop.do(ctx, func() {
		j := n.stateLoop.state.Jobs[id]
		ended = j != nil && j.Ended
	})
	if !ended {
		if err := n.appendRecord(ctx, job.Record{Ended: &job.Ended{Job: id}}); err != nil {
			if errors.Is(err, errNotSent) {
				n.refuse(c, "the end was not stored: "+err.Error())
				return
			}
			n.respond(c, http.StatusGatewayTimeout, "it is not known whether the end was stored: "+err.Error())
			return
		}
	}
	n.log("job ended", events.F("request", id), events.F("account", c.account))
	n.send(c, "text/plain", nil)
}
