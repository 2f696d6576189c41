package hosted

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/forward"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	// submitTimeout bounds how long a submission waits for the log. It is longer than two
	// repeats of an append; after it the caller tries another instance.
	submitTimeout = 1500 * time.Millisecond
	// outageWaitFraction is the fraction of the caller's time for which a submission waits
	// for a log that is down for all instances: no other instance could accept the job, and
	// at least half of the time is left for another try.
	outageWaitFraction = 0.4
	// readTimeout bounds a request about a job, in addition to the wait that the caller
	// requests: callers keep the connection open for 1.5 s after that wait.
	readTimeout  = 1500 * time.Millisecond
	maxPageBytes = 900 << 10 // of outputs in one response; the platform allows responses of 1 MB
)

// submit accepts a job: it stores the tasks, then appends the Submitted record. A job
// without that record never runs.
func (in *Instance) submit(c *forward.CallerRequest) {
	sub, err := platform.DecodeSubmission(c.Body)
	switch {
	case err != nil:
		in.forwarder.Respond(c, http.StatusBadRequest, err.Error())
		return
	case c.ID == "" || c.Request.Method != http.MethodPost:
		in.forwarder.Respond(c, http.StatusBadRequest, "a submission is a POST with a request id")
		return
	}
	ctx, cancel := in.submitContext(c)
	defer cancel()
	if in.hasJob(ctx, c, c.ID) {
		in.respondAccepted(c, len(sub.Tasks), "known")
		return
	}
	if err := checkScorers(c.View.Catalog, sub.Tasks); err != nil {
		in.forwarder.Deny(c, http.StatusBadRequest, err.Error())
		return
	}
	records, err := job.EncodeTasks(sub.Tasks, in.Settings.Store.RecordBytes/2)
	if err != nil {
		in.forwarder.Respond(c, http.StatusBadRequest, err.Error())
		return
	}
	locations, err := in.StoreContent(ctx, records)
	if err != nil {
		in.forwarder.Refuse(c, "the tasks were not stored: "+err.Error()) // without the Submitted record the job never runs
		return
	}
	in.runner.cacheTasks(c.ID, sub.Tasks)
	switch err := in.AppendRecord(ctx, job.Record{Submitted: in.newSubmitted(c, sub, locations, in.chooseRunner(ctx, sub.Model))}); {
	case err == nil:
		in.respondAccepted(c, len(sub.Tasks), "new")
	case errors.Is(err, node.ErrNotAppended):
		in.forwarder.Refuse(c, "the job was not stored: "+err.Error())
	default:
		in.forwarder.Respond(c, http.StatusGatewayTimeout, "it is not known whether the job was stored: "+err.Error())
	}
}

// submitContext returns a context that bounds how long a submission waits for the log:
// submitTimeout, or outageWaitFraction of the caller's time if that is longer and the log
// is down for all instances.
func (in *Instance) submitContext(c *forward.CallerRequest) (context.Context, context.CancelFunc) {
	limit := submitTimeout
	if c.TimeLeft > 0 {
		limit = min(limit, c.TimeLeft)
	}
	ctx, cancel := context.WithCancel(c.Request.Context())
	timer := time.AfterFunc(limit, func() {
		extra := time.Duration(outageWaitFraction*float64(c.TimeLeft)) - limit
		if extra <= 0 || !in.LogTransport.NoPeerReachesLog() {
			cancel()
			return
		}
		time.AfterFunc(extra, cancel)
	})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// runnerMaxAge is how old the last record from a model's runner may be for the runner to
// get the model's next job. It sends heartbeats every 0.5 s until a job is complete, and
// the next job follows soon.
const runnerMaxAge = 3 * time.Second

// chooseRunner returns the runner for a new job of the model: the runner of the latest
// job, whose connections to the engines are open, or else this instance. An instance that is
// stopping or reaches no target returns an empty name instead of its own, so that another
// instance claims the job.
func (in *Instance) chooseRunner(ctx context.Context, model string) string {
	runner := ""
	in.StateLoop.Do(ctx, func() {
		last := in.StateLoop.State.Runners[model]
		if last.Name != "" && last.Name != in.Self && in.Clock.Now()-last.LastSeen < runnerMaxAge {
			runner = last.Name
		}
	})
	if runner == "" && !in.IsStopping() && in.Links.Confirm(ctx) {
		return in.Self
	}
	return runner
}

// newSubmitted returns the Submitted record of a job. It numbers the groups in the order
// of their first tasks.
func (in *Instance) newSubmitted(c *forward.CallerRequest, sub job.Submission, locations []job.Location, runner string) *job.Submitted {
	s := &job.Submitted{
		Job: c.ID, Account: c.Account, Route: c.Route.Name, Host: c.Request.Host, Step: sub.Step, Model: sub.Model,
		MinVersion: sub.MinVersion, GroupsWanted: sub.GroupsWanted, Retention: c.Route.Retention.Milliseconds(),
		MaxAttempts: c.Route.MaxAttempts, SingleVersion: c.Route.SingleVersion, Content: locations, Runner: runner,
	}
	groups := map[string]int{}
	for i := range sub.Tasks {
		g, exists := groups[sub.Tasks[i].Group]
		if !exists {
			g = len(groups)
			groups[sub.Tasks[i].Group] = g
		}
		s.Tasks = append(s.Tasks, job.TaskRef{ID: sub.Tasks[i].ID, Group: g})
	}
	return s
}

// respondAccepted responds with status 202 to a submission that is in the log. how is
// "new", or "known" if an earlier request submitted the job.
func (in *Instance) respondAccepted(c *forward.CallerRequest, tasks int, how string) {
	in.Metrics.Jobs.Inc()
	in.Log("job accepted", events.F("request", c.ID), events.F("account", c.Account), events.F("tasks", fmt.Sprint(tasks)),
		events.F("how", how), events.F("took", (in.Clock.Now()-c.Started).Round(time.Millisecond).String()))
	platform.SetOwnResponseHeader(c.Writer.Header(), c.ID, 0)
	c.Writer.Header().Set("Content-Length", "0")
	c.Writer.WriteHeader(http.StatusAccepted)
}

// hasJob reports whether the account of the request has a job of the id, as far as the
// log was read.
func (in *Instance) hasJob(ctx context.Context, c *forward.CallerRequest, id string) (found bool) {
	in.StateLoop.Do(ctx, func() {
		j := in.StateLoop.State.Jobs[id]
		found = j != nil && j.Account == c.Account
	})
	return found
}

// serveJobRequest serves a request about a submitted job.
func (in *Instance) serveJobRequest(c *forward.CallerRequest, jobRequest platform.JobRequest) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), c.Wait+readTimeout)
	defer cancel()
	idle := !in.Busy()
	defer in.Pace.BeginJobRequest()()
	found, err := in.findJob(ctx, c, jobRequest.Job)
	if found && idle {
		in.readLatestRecords(ctx)
	}
	switch {
	case err != nil:
		in.forwarder.Refuse(c, "the log is out of reach: "+err.Error())
	case !found:
		in.forwarder.Respond(c, http.StatusNotFound, "no such job")
	case jobRequest.ForTask:
		in.serveTask(ctx, c, jobRequest)
	case c.Request.Method == http.MethodDelete:
		in.endJob(ctx, c, jobRequest.Job)
	default:
		in.serveResults(ctx, c, jobRequest)
	}
}

// findJob reports whether the account of the request has the job. Before it returns
// false, it waits until the log is applied to its end.
func (in *Instance) findJob(ctx context.Context, c *forward.CallerRequest, id string) (bool, error) {
	if in.hasJob(ctx, c, id) {
		return true, nil
	}
	if err := in.CatchUp(ctx); err != nil {
		return false, err
	}
	return in.hasJob(ctx, c, id), nil
}

// readLatestRecords reads the log to its end at an instance that reads it with pauses, so
// that callers see results as soon as at a busy one. If the log is out of reach, the request
// is served from what was read before.
func (in *Instance) readLatestRecords(ctx context.Context) {
	if err := in.CatchUp(ctx); err != nil {
		in.Log("log not read to its end", events.F("error", err.Error()))
	}
}

// serveResults responds with a job's results from a position on. If there is none, it
// waits for one as long as the caller requests.
func (in *Instance) serveResults(ctx context.Context, c *forward.CallerRequest, jobRequest platform.JobRequest) {
	waitUntil := in.Clock.Now() + c.Wait
	for {
		changed := in.StateLoop.NextChange()
		var total int
		var entries []job.Result
		var ids []string
		if !in.StateLoop.Do(ctx, func() {
			j := in.StateLoop.State.Jobs[jobRequest.Job]
			if j == nil {
				return
			}
			total = len(j.Tasks)
			entries = page(j.Results, jobRequest.After)
			for _, e := range entries {
				ids = append(ids, j.Tasks[e.Task].ID)
			}
		}) {
			in.forwarder.Refuse(c, "the caller's wait is over")
			return
		}
		remaining := waitUntil - in.Clock.Now()
		if len(entries) > 0 || remaining <= 0 {
			in.sendResults(ctx, c, jobRequest, total, entries, ids)
			return
		}
		timer := time.NewTimer(remaining)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// page returns the results from position after on whose outputs fit into one response,
// but at least one if there is any.
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

// sendResults reads the outputs and responds with the results. Without results it refuses
// the request if the log may contain some that this instance has not read.
func (in *Instance) sendResults(ctx context.Context, c *forward.CallerRequest, jobRequest platform.JobRequest, total int, entries []job.Result, ids []string) {
	if len(entries) == 0 && !in.LogCurrent() {
		in.forwarder.Refuse(c, "newer results may be listed")
		return
	}
	locations := make([]job.Location, len(entries))
	for i, e := range entries {
		locations[i] = e.Location
	}
	outputs, err := in.LoadContent(ctx, locations)
	if err != nil {
		in.forwarder.Refuse(c, "a text is out of reach: "+err.Error())
		return
	}
	results := make([]platform.Result, len(entries))
	for i, e := range entries {
		results[i] = platform.Result{ID: ids[i], Completed: e.Completed, Output: outputs[i], Versions: e.Versions, Score: e.Score}
	}
	body, err := platform.EncodeResults(total, jobRequest.After, results)
	if err != nil {
		in.forwarder.Respond(c, http.StatusInternalServerError, err.Error())
		return
	}
	in.sendBody(c, "application/json", body)
}

func (in *Instance) sendBody(c *forward.CallerRequest, contentType string, body []byte) {
	platform.SetOwnResponseHeader(c.Writer.Header(), c.ID, 0)
	c.Writer.Header().Set("Content-Type", contentType)
	c.Writer.Header().Set("Content-Length", fmt.Sprint(len(body)))
	c.Writer.WriteHeader(http.StatusOK)
	_, _ = c.Writer.Write(body) // a caller that has disconnected reads again
}

// serveTask responds with a task's body.
func (in *Instance) serveTask(ctx context.Context, c *forward.CallerRequest, jobRequest platform.JobRequest) {
	tasks, err := in.tasksOf(ctx, jobRequest.Job)
	if err != nil {
		in.forwarder.Refuse(c, "the tasks are out of reach: "+err.Error())
		return
	}
	for i := range tasks {
		if tasks[i].ID == jobRequest.Task {
			in.sendBody(c, "application/octet-stream", tasks[i].Body)
			return
		}
	}
	in.forwarder.Respond(c, http.StatusNotFound, "the job has no such task")
}

// tasksOf returns a job's tasks, from the cache or the content topic.
func (in *Instance) tasksOf(ctx context.Context, id string) ([]job.Task, error) {
	var locations []job.Location
	in.StateLoop.Do(ctx, func() {
		if j := in.StateLoop.State.Jobs[id]; j != nil {
			locations = j.Content
		}
	})
	records, err := in.LoadContent(ctx, locations)
	if err != nil {
		return nil, err
	}
	var tasks []job.Task
	for _, data := range records {
		decoded, err := job.DecodeTasks(data)
		if err != nil {
			return nil, err
		}
		tasks = append(tasks, decoded...)
	}
	return tasks, nil
}

// endJob ends a job and responds once the Ended record is in the log.
func (in *Instance) endJob(ctx context.Context, c *forward.CallerRequest, id string) {
	ended := false
	in.StateLoop.Do(ctx, func() {
		j := in.StateLoop.State.Jobs[id]
		ended = j != nil && j.Ended
	})
	if !ended {
		if err := in.AppendRecord(ctx, job.Record{Ended: &job.Ended{Job: id}}); err != nil {
			if errors.Is(err, node.ErrNotAppended) {
				in.forwarder.Refuse(c, "the end was not stored: "+err.Error())
				return
			}
			in.forwarder.Respond(c, http.StatusGatewayTimeout, "it is not known whether the end was stored: "+err.Error())
			return
		}
	}
	in.Log("job ended", events.F("request", id), events.F("account", c.Account))
	in.sendBody(c, "text/plain", nil)
}
