package soak

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
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
// instance. All events must be of one software version, in sequence.
func (l *load) talk(id string, instance int) {
	var data []string
	first := "" // id of the attempt that brought the first event
	for attempt := range talkAttempts {
		attemptID := fmt.Sprintf("%s-%d", id, attempt)
		received, complete := l.receiveEvents(instance+attempt, attemptID, first, len(data))
		if first == "" && len(received) > 0 {
			first = attemptID
		}
		data = append(data, received...)
		if complete {
			break
		}
	}
	if first == "" {
		return
	}
	software := softwareVersions[0]
	for _, version := range softwareVersions[1:] {
		if strings.HasSuffix(data[0], "-"+version) {
			software = version
		}
	}
	for i, d := range data {
		if suffix := fmt.Sprintf("-%d", i+1); software == hostplatform.FirstSoftware && !strings.HasSuffix(d, suffix) ||
			software != hostplatform.FirstSoftware && !strings.HasSuffix(d, suffix+"-"+software) {
			l.env.recordViolation("stream %s began at software %s and has the event %q at position %d", id, software, d, i+1)
			return
		}
	}
}

// receiveEvents makes one attempt at a stream and returns the data of the complete events that
// arrived, and whether the stream is complete. first is empty or the attempt whose stream is
// taken up after lastEvent.
func (l *load) receiveEvents(instance int, id, first string, lastEvent int) (data []string, complete bool) {
	p := l.env.instances[instance%len(l.env.instances)]
	req, err := http.NewRequest(http.MethodPost, "http://"+p.callerAddress+"/talk/x", nil)
	if err != nil {
		l.env.recordViolation("%v", err)
		return nil, false
	}
	req.Host, req.Close = routeHost, true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Credential", l.env.key())
	req.Header.Set("Deadline-Ms", "8000")
	req.Header.Set("Token-Usage", fmt.Sprintf("10,%d", talkEvents))
	if first != "" {
		req.Header.Set("Resumes", first)
		req.Header.Set("Last-Event-Id", fmt.Sprint(lastEvent))
	}
	res, err := l.client.Do(req)
	if err != nil {
		return nil, false // the instance is down, paused or unreachable
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, false
	}
	event := ""
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), "data: "); found {
			event = value
		} else if lines.Text() == "" && event != "" {
			data, event = append(data, event), ""
		}
	}
	return data, lastEvent+len(data) == talkEvents
}
