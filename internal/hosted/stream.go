package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/platform"
)

// runEnd is how a run ended.
type runEnd struct {
	run           int64
	key           assign.Key
	engine        string
	outcome       assign.Outcome
	serverError   bool // the engine answered with a server error
	unprocessable bool // the engine answered that the task can never be done
	err           error
}

// taskRun is one run of a task at an engine.
type taskRun struct {
	id            int64
	key           assign.Key
	task          *job.Task
	text          *taskOutput
	host          string
	account       string
	target        directory.Target
	minVersion    int64 // oldest weight version that may make an event
	singleVersion bool  // one version for the whole text
	remaining     time.Duration
}

var (
	errStale          = errors.New("the engine's weights are older than the job allows")
	errVersionChanged = errors.New("the weights changed within a text that allows one version")
	errEventGap       = errors.New("an event does not follow the last one")
	errNotStream      = errors.New("the engine did not answer with a stream")
)

// runTask runs the task until its stream ends, adding its events to the text.
func (n *Instance) runTask(ctx context.Context, r taskRun) runEnd {
	end := runEnd{run: r.id, key: r.key, engine: r.target.ID, outcome: assign.Broken}
	kept := r.text.setActiveRun(r.id)
	header := platform.TaskHeader(r.task, r.target.ID, r.account, r.remaining, kept)
	req := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: r.target.Address, Opaque: r.task.Path}, Host: r.host,
		Header:        header,
		Body:          nonReplayableBody(http.MethodPost, header, r.task.Body),
		ContentLength: int64(len(r.task.Body)),
	}
	res, err := n.targets.Do(req.WithContext(ctx))
	if err != nil {
		end.err = err
		return markCanceled(ctx, end)
	}
	defer res.Body.Close()
	answer := platform.DecodeResponseHeader(res)
	switch {
	case answer.RequestID != r.task.ID && !answer.NotRun:
		end.err = fmt.Errorf("%w: %q", errRequestIDMismatch, answer.RequestID)
	case answer.NotRun:
		end.outcome, end.err = assign.NotRun, fmt.Errorf("refused with status %d", res.StatusCode)
	case res.StatusCode == http.StatusUnprocessableEntity:
		end.unprocessable, end.err = true, errors.New("the engine says that the task can never be done")
	case res.StatusCode == http.StatusInternalServerError:
		end.serverError, end.err = true, errors.New("the engine failed")
	case res.StatusCode != http.StatusOK || !answer.Signed:
		end.err = fmt.Errorf("%w: status %d", errNotStream, res.StatusCode)
	default:
		end.outcome, end.err = n.readEvents(res.Body, r, answer.Version)
	}
	return markCanceled(ctx, end)
}

// markCanceled tells runs that this side has ended from those that broke.
func markCanceled(ctx context.Context, end runEnd) runEnd {
	if ctx.Err() != nil && end.outcome != assign.Completed {
		end.outcome = assign.Canceled
	}
	return end
}

func (n *Instance) readEvents(body io.Reader, r taskRun, version int64) (assign.Outcome, error) {
	reader := platform.NewEventReader(body)
	for {
		if version < r.minVersion {
			return assign.Stale, fmt.Errorf("%w: %d, oldest %d", errStale, version, r.minVersion)
		}
		e, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return assign.Completed, nil
		}
		if err != nil {
			return assign.Broken, err
		}
		if e.Version > 0 && e.Version != version {
			if r.singleVersion {
				r.text.reset()
				return assign.Broken, errVersionChanged
			}
			version = e.Version
			if version < r.minVersion {
				continue
			}
		}
		if !r.text.add(r.id, e.Number, e.Data, version, n.clock.Now()) {
			return assign.Broken, fmt.Errorf("%w: number %d", errEventGap, e.Number)
		}
	}
}
