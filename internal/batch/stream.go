package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/forward"
	"github.com/amaranthfold/amaranthfold/platform"
)

// runEnd is the result of a run.
type runEnd struct {
	run           int64
	key           assign.Key
	taskID        string
	engine        string
	outcome       assign.Outcome
	serverError   bool // the engine responded with status 500
	unprocessable bool // the engine responded with status 422: no engine can process the task
	err           error
}

// taskRun is one run of a task at an engine.
type taskRun struct {
	id            int64
	key           assign.Key
	task          *job.Task
	output        *taskOutput
	host          string
	account       string
	target        directory.Target
	minVersion    int64         // oldest allowed weight version
	singleVersion bool          // one weight version must generate the complete output
	remaining     time.Duration // until the task may be given up
	sentAt        time.Duration // by clock.Now
}

var (
	errStale          = errors.New("the engine's weights are older than the job allows")
	errVersionUnknown = errors.New("the engine states no weight version, of which the job allows one")
	errVersionChanged = errors.New("the weights changed within an output that allows one version")
	errEventGap       = errors.New("event is not the next in sequence")
	errNoEvents       = errors.New("the stream ended before its first event")
	errEndNotStated   = errors.New("the stream ended with its connection, so it may have been cut")
	errOutputTooLarge = errors.New("the output is larger than the log stores")
	errNotStream      = errors.New("the engine did not respond with a stream")
)

// runTask runs the task at the engine until the stream ends, and adds its events to the
// output.
func (b *Batch) runTask(ctx context.Context, r taskRun) runEnd {
	end := runEnd{run: r.id, key: r.key, taskID: r.task.ID, engine: r.target.ID, outcome: assign.Broken}
	if err := b.awaitProbe(ctx, r.target); err != nil {
		end.outcome, end.err = assign.NotRun, err
		return markCanceled(ctx, end)
	}
	lastEvent := r.output.startRun(r.id, originOf(r.target))
	header := platform.TaskHeader(r.task, r.target.ID, r.account, r.remaining, lastEvent)
	req := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: r.target.Address, Opaque: r.task.Path}, Host: r.host,
		Header:        header,
		Body:          forward.NonReplayableBody(http.MethodPost, header, r.task.Body),
		ContentLength: int64(len(r.task.Body)),
	}
	r.sentAt = b.Clock.Now()
	var connection net.Conn
	res, err := b.TargetClient.Do(req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { connection = info.Conn },
	})))
	if err != nil {
		end.err = err
		b.NoteNoAnswer(ctx, r.target)
		return markCanceled(ctx, end)
	}
	defer res.Body.Close()
	response := platform.DecodeResponseHeader(res)
	b.NoteResponse(ctx, r.target, response, r.task.ID, r.sentAt)
	switch {
	case response.RequestID != r.task.ID && (response.RequestID != "" || !response.NotRun):
		end.err = fmt.Errorf("%w: %q", forward.ErrRequestIDMismatch, response.RequestID)
	case response.NotRun:
		end.outcome, end.err = assign.NotRun, fmt.Errorf("refused with status %d", res.StatusCode)
	case res.StatusCode == http.StatusUnprocessableEntity:
		end.unprocessable, end.err = true, errors.New("the engine reports that the task can never be processed")
	case res.StatusCode == http.StatusInternalServerError:
		end.serverError, end.err = true, errors.New("the engine responded with a server error")
	case res.StatusCode != http.StatusOK || response.Signature == "":
		end.err = fmt.Errorf("%w: status %d", errNotStream, res.StatusCode)
	case response.Encoded:
		end.err = fmt.Errorf("%w: it is encoded", errNotStream)
	default:
		r.output.expectMaker(r.id, &maker{
			known: func() bool { return b.StartKnown(r.target, connection) },
			ask:   func(ctx context.Context) error { return b.ConfirmStart(ctx, r.target, connection) },
		})
		end.outcome, end.err = b.readEvents(res.Body, r, response.Version, connection)
		if errors.Is(end.err, errOutputTooLarge) {
			b.Log("output cut", events.F("job", r.key.Job), events.F("task", r.task.ID), events.F("target", r.target.ID), events.F("error", end.err.Error()))
			end.outcome, end.err = assign.Completed, nil // it is refused as a whole one is that is too large
		} else if end.outcome == assign.Completed {
			if end.err = b.checkEnd(ctx, r, res, lastEvent); end.err != nil {
				end.outcome = assign.Broken
			}
		}
		if lastEvent > 0 || end.outcome != assign.Completed { // another run has made a part, or may have to
			if err := b.confirmMaker(ctx, r, connection); err != nil && end.outcome == assign.Completed {
				end.outcome, end.err = assign.Broken, err
			}
		}
	}
	return markCanceled(ctx, end)
}

// checkEnd returns an error unless the end of a response shows that the output is complete. Other
// runs have added events up to lastEvent.
func (b *Batch) checkEnd(ctx context.Context, r taskRun, res *http.Response, lastEvent int64) error {
	added, _ := r.output.runProgress()
	mediaType := platform.MediaType(res.Header)
	switch {
	case added > 0 && platform.StatesEnd(res):
		return nil
	case added > 0:
		return errEndNotStated // a further run tells whether there are more events
	case lastEvent == 0:
		return errNoEvents
	case mediaType != "" && mediaType != platform.EventStream:
		return fmt.Errorf("%w: its media type is %.40q", errNotStream, mediaType)
	case !platform.StatesEnd(res):
		// The connection of an engine that crashes ends like that of one that has nothing to add.
		if err := b.CheckStart(ctx, r.target); err != nil {
			return fmt.Errorf("%w: %w", errEndNotStated, err)
		}
	}
	return nil
}

// confirmMaker finds out at the end of a run whether its engine has the software version that the
// registry states.
func (b *Batch) confirmMaker(ctx context.Context, r taskRun, connection net.Conn) error {
	if r.output.makerToAsk(0) == nil {
		return nil
	}
	err := b.ConfirmStart(ctx, r.target, connection)
	if err != nil && ctx.Err() == nil {
		b.Log("run at unknown software", events.F("job", r.key.Job), events.F("task", r.task.ID), events.F("target", r.target.ID), events.F("error", err.Error()))
	}
	return err
}

// markCanceled sets the outcome to Canceled if this instance has canceled the run: its
// error is then no failure of the engine.
func markCanceled(ctx context.Context, end runEnd) runEnd {
	if ctx.Err() != nil && end.outcome != assign.Completed {
		end.outcome = assign.Canceled
	}
	return end
}

// readEvents adds the events of a stream to the output until the stream ends. version is
// the engine's weight version at the start of the stream.
func (b *Batch) readEvents(body io.Reader, r taskRun, version int64, connection net.Conn) (assign.Outcome, error) {
	reader := platform.NewEventReader(body)
	defer reader.Close()
	for {
		// A response without events states no version: that to a run which resumes after the last
		// event, because an earlier run was stopped just before the end of its stream.
		if version > 0 && version < r.minVersion {
			return assign.Stale, fmt.Errorf("%w: %d, oldest %d", errStale, version, r.minVersion)
		}
		e, err := reader.Next()
		if errors.Is(err, io.EOF) && !r.output.startedOver() {
			return assign.Broken, errNoEvents // the output holds events of another version
		}
		if errors.Is(err, io.EOF) && r.singleVersion && !r.output.hasVersion() {
			r.output.reset()
			return assign.Broken, errVersionUnknown
		}
		if errors.Is(err, io.EOF) {
			return assign.Completed, nil
		}
		if err != nil {
			return assign.Broken, err
		}
		b.HeardOn(r.target, connection, r.sentAt)
		if e.Version > 0 {
			version = e.Version
		}
		if r.singleVersion && r.output.isOfOtherVersion(version) {
			r.output.reset()
			return assign.Broken, errVersionChanged
		}
		if version < r.minVersion {
			return assign.Stale, fmt.Errorf("%w: %d, oldest %d", errStale, version, r.minVersion)
		}
		if !r.output.addEvent(r.id, e.Number, e.Data, version, b.Clock.Now()) {
			return assign.Broken, fmt.Errorf("%w: number %d", errEventGap, e.Number)
		}
		if size := r.output.size(); size > b.Settings.Store.RecordBytes {
			return assign.Broken, fmt.Errorf("%w: %d bytes", errOutputTooLarge, size)
		}
	}
}
