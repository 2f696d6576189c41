package hostplatform

import (
	"encoding/binary"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

func (s *Store) append(w http.ResponseWriter, r *http.Request, fault Fault) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	apply := func() (int, any) { return s.appendOnce(r, splitRecords(body)) }
	switch fault {
	case DelayAppends:
		time.AfterFunc(appendDelay, func() { apply() })
		panic(http.ErrAbortHandler)
	case LateAppends:
		time.Sleep(s.nextLateDelay()) // also if the client has given up meanwhile
	}
	if fault == SlowAppends && !s.awaitSlowAppend(r) {
		http.Error(w, "try later", http.StatusServiceUnavailable)
		return
	}
	status, response := apply()
	if fault == SilentAppends {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if fault == DropAppendResponses || fault == DropNextAppendResponse {
		if fault == DropNextAppendResponse {
			s.SetFault(Healthy)
		}
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, response)
}

// awaitSlowAppend returns true when the append may be executed, or false at once if too many wait.
func (s *Store) awaitSlowAppend(r *http.Request) bool {
	part, _ := strconv.Atoi(r.URL.Query().Get("part"))
	s.mu.Lock()
	p := s.partition(r.URL.Query().Get("topic"), part)
	refused := time.Duration(p.waiting)*slowAppend > maxAppendWait
	if !refused {
		p.waiting++
	}
	s.mu.Unlock()
	if refused {
		return false
	}
	p.slow.Lock()
	time.Sleep(slowAppend)
	p.slow.Unlock()
	s.mu.Lock()
	p.waiting--
	s.mu.Unlock()
	return true
}

func (s *Store) nextLateDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late++
	return lateDelays[s.late%len(lateDelays)]
}

// appendOnce appends the records, at most once per producer, epoch and sequence. It
// returns the status and body of the response: 409 for a sequence out of order, 413 for a
// record over the limit, 400 for an append to the operator's topics (keyed.op...). Appends without a producer
// are not deduplicated.
func (s *Store) appendOnce(r *http.Request, records [][]byte) (int, any) {
	q := r.URL.Query()
	part, err := strconv.Atoi(q.Get("part"))
	if err != nil || q.Get("topic") == "" || strings.HasPrefix(q.Get("topic"), "keyed.op") {
		return http.StatusBadRequest, map[string]string{"error": "invalid topic or part"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recordLimit > 0 && slices.ContainsFunc(records, func(r []byte) bool { return len(r) > s.recordLimit }) {
		return http.StatusRequestEntityTooLarge, map[string]string{"error": "record size"}
	}
	p := s.partition(q.Get("topic"), part)
	if q.Get("producer") == "" {
		return http.StatusOK, s.add(p, q.Get("topic"), records)
	}
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
	state := p.producers[q.Get("producer")]
	if state == nil || epoch > state.epoch {
		state = &producer{epoch: epoch, nextSequence: sequence, replies: map[int64]reply{}}
		p.producers[q.Get("producer")] = state
	}
	if original, duplicate := state.replies[sequence]; duplicate {
		return http.StatusOK, original
	}
	if sequence != state.nextSequence {
		return http.StatusConflict, map[string]any{"why": "seq", "sequence": state.nextSequence}
	}
	state.nextSequence++
	out := s.add(p, q.Get("topic"), records)
	state.replies[sequence] = out
	delete(state.replies, sequence-maxKeptReplies)
	return http.StatusOK, out
}

// splitRecords splits a body of records, each preceded by its length in 4 bytes.
func splitRecords(body []byte) [][]byte {
	var out [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		out = append(out, body[4:4+n])
		body = body[4+n:]
	}
	return out
}
