package batch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
	"unicode/utf8"

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

// Submit accepts a job: it stores the tasks, then appends the Submitted record. A job
// without that record never runs.
func (b *Batch) Submit(c *forward.CallerRequest) {
	sub, err := platform.DecodeSubmission(c.Body)
	switch {
	case err != nil:
		b.forwarder.Respond(c, http.StatusBadRequest, err.Error())
		return
	case c.ID == "" || !utf8.ValidString(c.ID) || c.Request.Method != http.MethodPost: // records hold UTF-8 only
		b.forwarder.Respond(c, http.StatusBadRequest, "a submission is a POST with a request id in UTF-8")
		return
	}
	ctx, cancel := b.submitContext(c)
	defer cancel()
	if known := b.submission(ctx, c.ID); known != nil {
		if known.IsRepeatedBy(callerOf(c), sub.TaskIDs()) {
			b.respondAccepted(c, len(sub.Tasks), "known")
		} else { // the log keeps one job of an id: this one would be lost
			b.forwarder.Respond(c, http.StatusConflict, "another job has the request id")
		}
		return
	}
	readTo, isNew := b.isNewJob(ctx, c.ID)
	if !isNew {
		b.forwarder.Refuse(c, errRecordsSkipped.Error())
		return
	}
	if err := checkScorers(c.View.Catalog, sub.Tasks); err != nil {
		b.forwarder.Deny(c, http.StatusBadRequest, err.Error())
		return
	}
	records, err := job.EncodeTasks(sub.Tasks, b.Settings.Store.RecordBytes/2)
	if err != nil {
		b.forwarder.Respond(c, http.StatusBadRequest, err.Error())
		return
	}
	locations, err := b.StoreContent(ctx, records)
	if err != nil {
		b.refuseUnstored(c, "the tasks were not stored: ", err) // without the Submitted record the job never runs
		return
	}
	b.runner.cacheTasks(cacheKey(c.Account, c.ID), sub.Tasks, locations)
	submitted := b.newSubmitted(c, sub, locations, b.chooseRunner(ctx, sub.Model, c.Route.SingleVersion))
	submitted.ReadTo = readTo
	switch err := b.AppendRecord(ctx, job.Record{Submitted: submitted}); {
	case err == nil:
		b.respondAccepted(c, len(sub.Tasks), "new")
	case errors.Is(err, node.ErrNotAppended):
		b.refuseUnstored(c, "the job was not stored: ", err)
	default:
		b.forwarder.Respond(c, http.StatusGatewayTimeout, "it is not known whether the job was stored: "+err.Error())
	}
}

// refuseUnstored responds to a submission that is not in the log: with status 413 if no instance can
// ever store it, otherwise so that the caller tries again.
func (b *Batch) refuseUnstored(c *forward.CallerRequest, what string, err error) {
	if errors.Is(err, node.ErrTooLarge) {
		b.forwarder.Respond(c, http.StatusRequestEntityTooLarge, what+err.Error())
		return
	}
	b.forwarder.Refuse(c, what+err.Error())
}

// submitContext returns a context that bounds how long a submission waits for the log:
// submitTimeout, or outageWaitFraction of the caller's time if that is longer and the log
// is down for all instances.
func (b *Batch) submitContext(c *forward.CallerRequest) (context.Context, context.CancelFunc) {
	limit := submitTimeout
	if c.TimeLeft > 0 {
		limit = min(limit, c.TimeLeft)
	}
	ctx, cancel := context.WithCancel(c.Request.Context())
	timer := time.AfterFunc(limit, func() {
		extra := time.Duration(outageWaitFraction*float64(c.TimeLeft)) - limit
		if extra <= 0 || !b.LogTransport.NoPeerReachesLog() {
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
// job, whose connections to the engines are open, unless it is unfit for the job, or else this
// instance. An instance that is stopping or reaches no target returns an empty name instead of its own,
// so that another instance claims the job.
func (b *Batch) chooseRunner(ctx context.Context, model string, singleVersion bool) string {
	runner := ""
	b.StateLoop.Do(ctx, func() {
		last := b.StateLoop.State.Runners[model]
		if last.Name != "" && last.Name != b.Self && b.Clock.Now()-last.LastSeen < runnerMaxAge &&
			!b.StateLoop.State.IsUnfit(singleVersion, last.Name, instanceOf(last.Name)) {
			runner = last.Name
		}
	})
	if runner == "" && !b.IsStopping() && b.Links.Confirm(ctx) {
		return b.Self
	}
	return runner
}

// newSubmitted returns the Submitted record of a job. It numbers the groups in the order
// of their first tasks.
func (b *Batch) newSubmitted(c *forward.CallerRequest, sub job.Submission, locations []job.Location, runner string) *job.Submitted {
	s := &job.Submitted{
		Job: c.ID, Account: c.Account, Route: c.Route.Name, Host: c.Request.Host, Step: sub.Step, Model: sub.Model,
		MinVersion: sub.MinVersion, GroupsWanted: sub.GroupsWanted, Retention: c.Route.Retention.Milliseconds(),
		MaxAttempts: c.Route.MaxAttempts, SingleVersion: c.Route.SingleVersion, Content: locations, Runner: runner,
		Configuration: c.View.Catalog.Version,
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
func (b *Batch) respondAccepted(c *forward.CallerRequest, tasks int, how string) {
	b.Metrics.Jobs.Inc()
	b.Log("job accepted", events.F("request", c.ID), events.F("account", c.Account), events.F("tasks", fmt.Sprint(tasks)),
		events.F("how", how), events.F("took", (b.Clock.Now()-c.Started).Round(time.Millisecond).String()))
	platform.SetOwnResponseHeader(c.Writer.Header(), c.ID, 0)
	c.Writer.Header().Set("Content-Length", "0")
	c.Writer.WriteHeader(http.StatusAccepted)
}

// ServeJobRequest serves a request about a submitted job, with status 400 if it is malformed. It
// reports false, without a response, if there is no such job that the caller may use.
func (b *Batch) ServeJobRequest(c *forward.CallerRequest, jobRequest platform.JobRequest, malformed error) (found bool) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), c.Wait+readTimeout)
	defer cancel()
	idle := !b.Busy()
	defer b.Pace.BeginJobRequest()()
	found, err := b.findJob(ctx, c, jobRequest.Job)
	if found && idle {
		b.readLatestRecords(ctx)
	}
	switch {
	case err != nil:
		b.forwarder.Refuse(c, "the log is out of reach: "+err.Error())
		return true
	case !found:
	case malformed != nil:
		b.forwarder.Respond(c, http.StatusBadRequest, malformed.Error())
	case jobRequest.ForTask:
		b.serveTask(ctx, c, jobRequest)
	case c.Request.Method == http.MethodDelete:
		b.endJob(ctx, c, jobRequest.Job)
	default:
		b.serveResults(ctx, c, jobRequest)
	}
	return found
}

// readLatestRecords reads the log to its end at an instance that reads it with pauses, so
// that callers see results as soon as at a busy one. If the log is out of reach, the request
// is served from what was read before.
func (b *Batch) readLatestRecords(ctx context.Context) {
	if err := b.CatchUp(ctx); err != nil {
		b.Log("log not read to its end", events.F("error", err.Error()))
	}
}

// serveResults responds with a job's results from a position on. If there is none, it
// waits for one as long as the caller requests.
func (b *Batch) serveResults(ctx context.Context, c *forward.CallerRequest, jobRequest platform.JobRequest) {
	waitUntil := b.Clock.Now() + c.Wait
	for {
		changed := b.StateLoop.NextChange()
		var total int
		var entries []job.Result
		var ids []string
		incomplete := false
		if !b.StateLoop.Do(ctx, func() {
			j := b.StateLoop.State.Jobs[jobRequest.Job]
			if j == nil {
				return
			}
			total = len(j.Tasks)
			incomplete = j.Incomplete
			entries = page(j.Results, jobRequest.After)
			for _, e := range entries {
				ids = append(ids, j.Tasks[e.Task].ID)
			}
		}) {
			b.forwarder.Refuse(c, "the caller's wait is over")
			return
		}
		remaining := waitUntil - b.Clock.Now()
		if len(entries) == 0 && remaining <= 0 && incomplete {
			b.forwarder.Refuse(c, "records about the job were skipped")
			return
		}
		if len(entries) > 0 || remaining <= 0 {
			b.sendResults(ctx, c, jobRequest, total, entries, ids)
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
func (b *Batch) sendResults(ctx context.Context, c *forward.CallerRequest, jobRequest platform.JobRequest, total int, entries []job.Result, ids []string) {
	if len(entries) == 0 && !b.LogCurrent() {
		b.forwarder.Refuse(c, "newer results may be listed")
		return
	}
	locations := make([]job.Location, len(entries))
	for i, e := range entries {
		locations[i] = e.Location
	}
	outputs, err := b.LoadContent(ctx, locations)
	if err != nil {
		b.forwarder.Refuse(c, "a text is out of reach: "+err.Error())
		return
	}
	results := make([]platform.Result, len(entries))
	for i, e := range entries {
		results[i] = platform.Result{ID: ids[i], Completed: e.Completed, Output: outputs[i], Versions: e.Versions, Score: e.Score}
	}
	body, err := platform.EncodeResults(total, jobRequest.After, results)
	if err != nil {
		b.forwarder.Respond(c, http.StatusInternalServerError, err.Error())
		return
	}
	b.sendBody(c, "application/json", body)
}

func (b *Batch) sendBody(c *forward.CallerRequest, contentType string, body []byte) {
	platform.SetOwnResponseHeader(c.Writer.Header(), c.ID, 0)
	c.Writer.Header().Set("Content-Type", contentType)
	c.Writer.Header().Set("Content-Length", fmt.Sprint(len(body)))
	c.Writer.WriteHeader(http.StatusOK)
	_, _ = c.Writer.Write(body) // a caller that has disconnected reads again
}

// serveTask responds with a task's body.
func (b *Batch) serveTask(ctx context.Context, c *forward.CallerRequest, jobRequest platform.JobRequest) {
	tasks, err := b.tasksOf(ctx, jobRequest.Job)
	if err != nil {
		b.forwarder.Refuse(c, "the tasks are out of reach: "+err.Error())
		return
	}
	for i := range tasks {
		if tasks[i].ID == jobRequest.Task {
			b.sendBody(c, "application/octet-stream", tasks[i].Body)
			return
		}
	}
	b.forwarder.Respond(c, http.StatusNotFound, "the job has no such task")
}

// tasksOf returns a job's tasks, from the cache or the content topic.
func (b *Batch) tasksOf(ctx context.Context, id string) ([]job.Task, error) {
	var locations []job.Location
	b.StateLoop.Do(ctx, func() {
		if j := b.StateLoop.State.Jobs[id]; j != nil {
			locations = j.Content
		}
	})
	records, err := b.LoadContent(ctx, locations)
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
func (b *Batch) endJob(ctx context.Context, c *forward.CallerRequest, id string) {
	ended := false
	b.StateLoop.Do(ctx, func() {
		j := b.StateLoop.State.Jobs[id]
		ended = j != nil && j.Ended
	})
	if !ended {
		if err := b.AppendRecord(ctx, job.Record{Ended: &job.Ended{Job: id}}); err != nil {
			if errors.Is(err, node.ErrNotAppended) {
				b.forwarder.Refuse(c, "the end was not stored: "+err.Error())
				return
			}
			b.forwarder.Respond(c, http.StatusGatewayTimeout, "it is not known whether the end was stored: "+err.Error())
			return
		}
	}
	b.Log("job ended", events.F("request", id), events.F("account", c.Account))
	b.sendBody(c, "text/plain", nil)
}
