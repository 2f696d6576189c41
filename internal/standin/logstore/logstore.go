// Package logstore is a stand-in for the platform's append-only log: total
// order, limited retention, an append rate limit, outages, lost answers and
// appends that take effect late.
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

// Config sizes the log.
type Config struct {
	AppendsPerSecond float64 // append calls over all instances; zero: no limit
	MaxRecords       int     // records kept; zero: all
}

// Store is the log with its fault switches.
type Store struct {
	mu         sync.Mutex
	first      int64
	records    [][]byte
	changed    chan struct{} // closed and replaced on every append
	limiter    *rate.Limiter
	maxRecords int

	down            bool
	responseDelay   time.Duration
	dropResponses   int           // next appends take effect, then the answer is dropped
	appendDelay     time.Duration // next append takes effect this much later, answer dropped
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

// SetDown starts or ends an outage: no call is answered and none takes effect.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetResponseDelay delays every answer.
func (s *Store) SetResponseDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseDelay = d
}

// DropResponses drops the answers of the next n appends, which take effect.
func (s *Store) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponses = n
}

// DelayNextAppend drops the answer of the next append and applies it d later.
func (s *Store) DelayNextAppend(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayNextAppend, s.appendDelay = true, d
}

// Records returns a copy of what is kept, with the first offset.
func (s *Store) Records() (int64, [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first, append([][]byte(nil), s.records...)
}

// Handler serves the log's contract.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/append", s.handleAppend)
	mux.HandleFunc("GET /log/read", s.handleRead)
	return mux
}

// applyFaults applies outages and slowness. It reports whether to go on.
func (s *Store) applyFaults(w http.ResponseWriter) bool {
	s.mu.Lock()
	down, slow := s.down, s.responseDelay
	s.mu.Unlock()
	time.Sleep(slow)
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
	offsets, lost := s.append(req.Records)
	if lost {
		standin.AbortConnection(w)
	}
	standin.WriteJSON(w, platform.AppendReply{Offsets: offsets})
}

// append applies the records, now or later, and reports whether the answer is
// to be dropped.
func (s *Store) append(records [][]byte) (offsets []int64, lost bool) {
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
	reply, kept := s.read(from, limit)
	if !kept {
		http.Error(w, "offset "+strconv.FormatInt(from, 10)+" is no longer kept", http.StatusGone)
		return
	}
	standin.WriteJSON(w, reply)
}

// waitForRecord returns when the log has a record at from, or wait has passed.
func (s *Store) waitForRecord(r *http.Request, from int64, wait time.Duration) {
	s.mu.Lock()
	have := from < s.first+int64(len(s.records))
	changed := s.changed
	s.mu.Unlock()
	if have || wait == 0 {
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
