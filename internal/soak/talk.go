package soak

import (
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

const (
	talkInterval = 150 * time.Millisecond
	talkEvents   = 60 // of one stream
	talkAttempts = 4  // the first one and those that take the stream up
)

// softwareVersions are the software versions of the engines, in turn.
var softwareVersions = []string{hostplatform.FirstSoftware, "v2"}

// talk sends a request for a stream. When the stream breaks, it takes it up at the next
// instance. All events must be of one software version, in sequence, and of runs that go on after
// each other.
func (l *load) talk(id string, instance int) {
	var events []string
	first := "" // id of the attempt that brought the first event
	for attempt := range talkAttempts {
		p := l.env.instances[(instance+attempt)%len(l.env.instances)]
		r := hostplatform.StreamRequest{
			Front: p.callerAddress, Host: routeHost, Key: l.env.key(), ID: fmt.Sprintf("%s-%d", id, attempt),
			Total: talkEvents, Resumes: first, LastEvent: len(events),
		}
		_, received, complete := hostplatform.ReceiveStream(l.client, r)
		if first == "" && len(received) > 0 {
			first = r.ID
		}
		events = append(events, received...)
		if complete {
			break
		}
	}
	if err := checkRuns(id, events, l.env.runOf); err != nil {
		l.env.recordViolation("stream %s: %v", id, err)
	}
	if events = withoutMarks(events); !hostplatform.IsOutputOfOne(softwareVersions, events) {
		l.env.recordViolation("stream %s holds the events %q", id, events)
	}
}
