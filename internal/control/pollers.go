package control

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

const (
	readLimit    = 1000                   // records per read
	readWait     = 500 * time.Millisecond // for which a read of the log waits for a record
	readTimeout  = 3 * time.Second
	pollInterval = 250 * time.Millisecond
	pollTimeout  = 2 * time.Second

	shortListInstances = 16 // a list of up to this length is read every pollInterval
	// listIntervalPerInstance limits the reads of a long list to about 4 kB/s.
	listIntervalPerInstance = 60 * time.Millisecond
	readRetryInterval       = 200 * time.Millisecond
	heartbeatSendTimeout    = 500 * time.Millisecond
)

// pollList reads the platform's list of instances repeatedly until ctx ends.
func (l *Loop) pollList(ctx context.Context) error {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		instances, err := l.List.Instances(callCtx)
		cancel()
		if l.noteUnreadable("instances", err) {
			l.post(ctx, listRead{instances})
		}
		clock.Sleep(ctx, listInterval(len(instances)))
	}
	return nil
}

// listInterval returns the time between two reads of a list of n instances. A long list
// is read less often: heartbeats and summaries report sooner which instances have joined,
// are leaving or are unresponsive.
func listInterval(n int) time.Duration {
	if n <= shortListInstances {
		return pollInterval
	}
	return time.Duration(n) * listIntervalPerInstance
}

// readTargets reads a data centre's targets from the platform. If the read fails, the
// current list stays.
func (l *Loop) readTargets(ctx context.Context, dataCentre string) {
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt := l.Clock.Now()
	targets, err := l.Orders(dataCentre).Targets(callCtx)
	if !l.noteUnreadable("targets of "+dataCentre, err) {
		return
	}
	l.post(ctx, targetsRead{dataCentre, targets})
	l.post(ctx, targetsRequested{dataCentre, sentAt})
}

// noteUnreadable reports whether a list that was read with the error can be used. It records which
// lists have entries that cannot be, once until that changes.
func (l *Loop) noteUnreadable(list string, err error) (usable bool) {
	var unreadable *platform.UnreadableError
	if err != nil && !errors.As(err, &unreadable) {
		return false
	}
	text := ""
	if unreadable != nil {
		text = unreadable.Error()
	}
	if last, found := l.unreadable.Swap(list, text); text != "" && (!found || last != text) {
		l.Events.Record("list entries unreadable", events.F("list", list), events.F("error", text))
	}
	return true
}
