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

var (
	errStreamUnknown = errors.New("it is not known which software version began the stream")
	errStreamMoved   = errors.New("the route no longer leads to the service that began the stream")
)

// recordStream records in the log which software version of which service makes a caller's stream,
// so that every instance can send the rest of the stream to that version. It records it only once it is sure
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
	f.AppendRecordAsync(job.Record{StreamStarted: &job.StreamStarted{Request: c.ID, Service: r.Target.Service, Software: r.Target.Software}})
}

// destination returns the service that the request goes to, and the software version that it is
// restricted to as it takes up a stream; nil: any. It fails if no instance has recorded what began
// the stream, or if the route no longer leads to that service: versions of two services do not
// compare.
func (f *Forwarder) destination(ctx context.Context, c *CallerRequest) (service string, software *string, err error) {
	service = c.Route.Pick(f.Rand64())
	if c.Route.Kind != catalog.Stream || !c.TakesUpStream {
		return service, nil, nil
	}
	origin, known := f.streamOrigin(ctx, c.Resumes)
	if !known && c.Resumes != "" {
		ctx, cancel := context.WithTimeout(ctx, takeUpReadTimeout)
		defer cancel()
		if err := f.CatchUp(ctx); err != nil {
			return "", nil, fmt.Errorf("%w: read the log: %w", errStreamUnknown, err)
		}
		origin, known = f.streamOrigin(ctx, c.Resumes)
	}
	switch {
	case !known:
		return "", nil, errStreamUnknown
	case origin.Service == "": // recorded by an earlier build
	case c.Route.Serves(origin.Service):
		service = origin.Service
	default:
		return "", nil, fmt.Errorf("%w: %s", errStreamMoved, origin.Service)
	}
	f.Metrics.StreamsTakenUp.Inc()
	f.Log("stream taken up", events.F("request", c.ID), events.F("resumes", c.Resumes), events.F("service", service), events.F("software", origin.Software))
	return service, &origin.Software, nil
}

func (f *Forwarder) streamOrigin(ctx context.Context, request string) (origin job.StreamOrigin, known bool) {
	f.StateLoop.Do(ctx, func() { origin, known = f.StateLoop.State.StreamOrigin(request) })
	return origin, known
}
