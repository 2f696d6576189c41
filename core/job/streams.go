package job

import "time"

// streamRetention is how long it is known which software version began a stream: callers take
// a stream up within the time that they give the request, some tens of seconds at most.
const streamRetention = 2 * time.Minute

// streams holds the software versions that began the streams of the latest records.
type streams struct {
	software map[string]string // by request; empty: records of the request name several versions
	order    []startedStream   // oldest first
}

type startedStream struct {
	request string
	readAt  time.Duration
}

// applyStreamStarted records the software version that began a stream. Where the records of one
// request name several versions, nothing is known of its streams.
func (s *State) applyStreamStarted(now time.Duration, r StreamStarted) bool {
	t := &s.streams
	expired := 0
	for expired < len(t.order) && now-t.order[expired].readAt > streamRetention {
		delete(t.software, t.order[expired].request)
		expired++
	}
	t.order = t.order[expired:]
	if known, found := t.software[r.Request]; found {
		if known != r.Software {
			t.software[r.Request] = ""
		}
		return false
	}
	if r.Request == "" || r.Software == "" {
		return false
	}
	t.software[r.Request] = r.Software
	t.order = append(t.order, startedStream{r.Request, now})
	return true
}

// StreamSoftware returns the software version of the target that began the stream of the
// request. It reports false if that is not known.
func (s *State) StreamSoftware(request string) (string, bool) {
	software := s.streams.software[request]
	return software, software != ""
}
