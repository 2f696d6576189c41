package job

import "time"

// streamRetention is how long it is known what began a stream: callers take a stream up within
// the time that they give the request, some tens of seconds at most.
const streamRetention = 2 * time.Minute

// StreamOrigin is what began a stream. A version name belongs to its service: other services may
// have other programs of the same version.
type StreamOrigin struct {
	Service  string // empty: not stated
	Software string // version of the target's program
}

// streams holds what began the streams of the latest records.
type streams struct {
	origins map[string]StreamOrigin // by request; zero: records of the request differ
	order   []startedStream         // oldest first
}

type startedStream struct {
	request string
	readAt  time.Duration
}

// applyStreamStarted records what began a stream. Where the records of one request differ,
// nothing is known of its streams.
func (s *State) applyStreamStarted(now time.Duration, r StreamStarted) bool {
	t := &s.streams
	expired := 0
	for expired < len(t.order) && now-t.order[expired].readAt > streamRetention {
		delete(t.origins, t.order[expired].request)
		expired++
	}
	t.order = t.order[expired:]
	origin := StreamOrigin{Service: r.Service, Software: r.Software}
	if known, found := t.origins[r.Request]; found {
		if known != origin {
			t.origins[r.Request] = StreamOrigin{}
		}
		return false
	}
	if r.Request == "" || r.Software == "" {
		return false
	}
	t.origins[r.Request] = origin
	t.order = append(t.order, startedStream{r.Request, now})
	return true
}

// StreamOrigin returns what began the stream of the request. It reports false if that is not
// known.
func (s *State) StreamOrigin(request string) (StreamOrigin, bool) {
	origin := s.streams.origins[request]
	return origin, origin.Software != ""
}
