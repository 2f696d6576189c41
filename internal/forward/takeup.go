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

// recordStream records in the log which software version makes a caller's stream, so that every
// instance can send the rest of the stream to that version. It records it only once it is sure
// that the target is still the one that its registry entry describes. The stream does not wait
// for that: one without a record cannot be taken up.
func (f *Forwarder) recordStream(ctx context.Context, c *CallerRequest, r *AttemptResult) {
	if !c.Route.Resumable || r.relayed || r.Target.Software == "" { // the instance that relays it records it
		return
	}
	if err := f.ConfirmStart(ctx, r.Target, r.connection); err != nil {
		f.Log("stream not recorded", events.F("request", c.ID), events.F("target", r.Target.ID), events.F("error", err.Error()))
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
