// Package logstore is a stand-in for the platform's append-only log. It keeps
// records in one total order of offsets from 1, in memory, with limited retention
// and a rate limit for appends. A read below the first retained offset gets 410.
// Fault switches cause outages, slow responses, dropped responses and appends that
// take effect late.
package logstore

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/amaranthfold/amaranthfold/internal/platform"
	"github.com/amaranthfold/amaranthfold/internal/standin"
)

// Config holds the limits of the log.
type Config struct {
	AppendsPerSecond float64 // append calls over all instances; zero: no limit
	MaxRecords       int     // records retained; zero: all
}

// Store is the log with its fault switches.
type Store struct {
	mu         sync.Mutex
	first      int64 // offset of the first retained record
	records    [][]byte
	changed    chan struct{} // closed and replaced on every append
	limiter    *rate.Limiter
	maxRecords int

	down            bool
	responseDelay   time.Duration
	dropResponses   int           // number of next appends whose responses are dropped
	appendDelay     time.Duration // delay of the next append if delayNextAppend is set
	delayNextAppend bool
}

// New returns an empty log.
func New(cfg Config) *Store {
	limit := rate.Inf
	if cfg.AppendsPerSecond > 0 {
		limit = rate.Limit(cfg.AppendsPerSecond)
	}
	return &Store{first: 1, changed: make(chan struct{}), limiter: rate.NewLimiter(limit, int(cfg.AppendsPerSecond)+1), maxRecords: cfg.MaxRecords}
}

// SetDown starts or ends an outage: every call gets 503 and has no effect.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetResponseDelay sets the time by which every call is delayed before it is processed.
func (s *Store) SetResponseDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseDelay = d
}

// DropResponses drops the responses to the next n appends. The appends take effect.
func (s *Store) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponses = n
}

// DelayNextAppend drops the response to the next append, which takes effect d later.
func (s *Store) DelayNextAppend(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayNextAppend, s.appendDelay = true, d
}

// Records returns the offset of the first retained record and a copy of the records.
func (s *Store) Records() (int64, [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first, append([][]byte(nil), s.records...)
}

// Handler serves the interface of the log.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/append", s.handleAppend)
	mux.HandleFunc("GET /log/read", s.handleRead)
	return mux
}

// applyFaults applies the response delay and an outage. It returns false if it has
// responded.
func (s *Store) applyFaults(w http.ResponseWriter) bool {
	s.mu.Lock()
	down, delay := s.down, s.responseDelay
	s.mu.Unlock()
	time.Sleep(delay)
	if down {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
	}
	return !down
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	var req platform.AppendRequest
	if !s.applyFaults(w) || !standin.ReadJSON(w, r, &req) {
		return
	}
	if !s.limiter.Allow() {
		http.Error(w, "append rate limit", http.StatusTooManyRequests)
		return
	}
	offsets, drop := s.append(req.Records)
	if drop {
		standin.AbortConnection(w)
	}
	standin.WriteJSON(w, platform.AppendReply{Offsets: offsets})
}

// append appends the records at once, or after appendDelay if the append is to be
// delayed. drop reports whether the response is to be dropped.
func (s *Store) append(records [][]byte) (offsets []int64, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayNextAppend {
		s.delayNextAppend = false
		time.AfterFunc(s.appendDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.appendLocked(records)
		})
		return nil, true
	}
	offsets = s.appendLocked(records)
	if s.dropResponses > 0 {
		s.dropResponses--
		return nil, true
	}
	return offsets, false
}

// appendLocked appends the records and returns their offsets. The caller holds s.mu.
func (s *Store) appendLocked(records [][]byte) []int64 {
	offsets := make([]int64, len(records))
	for i, data := range records {
		offsets[i] = s.first + int64(len(s.records))
		s.records = append(s.records, data)
	}
	if s.maxRecords > 0 && len(s.records) > s.maxRecords {
		trim := len(s.records) - s.maxRecords
		s.records = append([][]byte(nil), s.records[trim:]...)
		s.first += int64(trim)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offsets
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w) {
		return
	}
	from, err1 := strconv.ParseInt(r.FormValue("from"), 10, 64)
	limit, err2 := strconv.Atoi(r.FormValue("max"))
	wait, err3 := strconv.Atoi(r.FormValue("waitMillis"))
	if err1 != nil || err2 != nil || err3 != nil || from < 1 || limit < 1 {
		http.Error(w, "from, max and waitMillis must be numbers, from and max at least 1", http.StatusBadRequest)
		return
	}
	s.waitForRecord(r, from, time.Duration(wait)*time.Millisecond)
	reply, retained := s.read(from, limit)
	if !retained {
		http.Error(w, "offset "+strconv.FormatInt(from, 10)+" is no longer kept", http.StatusGone)
		return
	}
	standin.WriteJSON(w, reply)
}

// waitForRecord returns at once if the log has a record at from, otherwise after the
// next append, after wait or when the request is cancelled.
func (s *Store) waitForRecord(r *http.Request, from int64, wait time.Duration) {
	s.mu.Lock()
	available := from < s.first+int64(len(s.records))
	changed := s.changed
	s.mu.Unlock()
	if available || wait == 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// read returns at most limit records from an offset. The second result is false if the
// offset is no longer retained.
func (s *Store) read(from int64, limit int) (platform.ReadReply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.first {
		return platform.ReadReply{}, false
	}
	next := s.first + int64(len(s.records))
	reply := platform.ReadReply{First: s.first, Next: next, Records: []platform.LogRecord{}}
	for at := from; at < next && len(reply.Records) < limit; at++ {
		reply.Records = append(reply.Records, platform.LogRecord{Offset: at, Data: s.records[at-s.first]})
	}
	return reply, true
}
