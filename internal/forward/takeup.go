package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

// takeUpReadTimeout bounds the read of the log for the record of a stream that a caller takes
// up.
const takeUpReadTimeout = 400 * time.Millisecond

var errStreamUnknown = errors.New("it is not known which software version began the stream")

// recordStream records in the log which software version begins a caller's stream, so that
// every instance can send the rest of the stream to that version. It does not wait for the
// log: a stream whose record is lost cannot be taken up.
func (f *Forwarder) recordStream(c *CallerRequest, r *AttemptResult) {
	if !c.Route.Resumable || c.TakesUpStream || r.relayed { // the instance that relays it knows the version
		return
	}
	f.AppendRecordAsync(job.Record{StreamStarted: &job.StreamStarted{Request: c.ID, Software: r.Target.Software}})
}

// softwareFor returns the software version that the request is restricted to, as it takes up
// a stream. It returns nil for any other request, and errStreamUnknown if no instance has
// recorded the beginning of the stream.
func (f *Forwarder) softwareFor(ctx context.Context, c *CallerRequest) (*string, error) {
	if c.Route.Kind != catalog.Stream || !c.TakesUpStream {
		return nil, nil
	}
	software, known := f.streamSoftware(ctx, c.Resumes)
	if !known && c.Resumes != "" {
		ctx, cancel := context.WithTimeout(ctx, takeUpReadTimeout)
		defer cancel()
		if err := f.CatchUp(ctx); err != nil {
			return nil, fmt.Errorf("%w: read the log: %w", errStreamUnknown, err)
		}
		software, known = f.streamSoftware(ctx, c.Resumes)
	}
	if !known {
		return nil, errStreamUnknown
	}
	f.Metrics.StreamsTakenUp.Inc()
	f.Log("stream taken up", events.F("request", c.ID), events.F("resumes", c.Resumes), events.F("software", software))
	return &software, nil
}

func (f *Forwarder) streamSoftware(ctx context.Context, request string) (software string, known bool) {
	f.StateLoop.Do(ctx, func() { software, known = f.StateLoop.State.StreamSoftware(request) })
	return software, known
}
