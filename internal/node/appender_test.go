package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// fakeLog refuses calls with the record "bad" as invalid, and all calls for as long as it is down.
// It counts the calls.
type fakeLog struct {
	downUntil time.Time
	garbled   int // number of calls that are refused as invalid whatever their records
	calls     int
	records   []string
}

func (l *fakeLog) write(_ context.Context, records [][]byte) (recordPosition, error) {
	l.calls++
	first := len(l.records)
	switch {
	case time.Now().Before(l.downUntil):
		return recordPosition{}, platform.ErrRefused
	case l.garbled > 0:
		l.garbled--
		return recordPosition{}, platform.ErrInvalid
	case slices.ContainsFunc(records, func(r []byte) bool { return string(r) == "bad" }):
		return recordPosition{}, fmt.Errorf("%w: status 413", platform.ErrInvalid)
	}
	for _, r := range records {
		l.records = append(l.records, string(r))
	}
	return recordPosition{0, int64(first)}, nil
}

// runAppender runs the test with an appender to the log, of records of at most 20 bytes in calls of
// at most 50, in fake time.
func runAppender(t *testing.T, log *fakeLog, test func(ctx context.Context, t *testing.T, a *appender)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		a := newAppender(log, "content", platform.StoreSettings{RecordBytes: 20, CallBytes: 50}, func() bool { return true }, func(error) {})
		go func() { _ = a.run(ctx) }()
		test(ctx, t, a)
	})
}

// Guards against an instance that stores nothing more: the call with a record that the log never
// takes was repeated for ever, with the outputs of jobs in it.
func TestARecordThatTheLogRefusesFailsAlone(t *testing.T) {
	log := &fakeLog{}
	runAppender(t, log, func(ctx context.Context, t *testing.T, a *appender) {
		log.downUntil = time.Now().Add(5 * time.Second)
		groups := [][][]byte{{[]byte("a")}, {[]byte("b"), []byte("c")}, {[]byte("bad")}, {[]byte("d")}}
		outcomes := make([]appendOutcome, len(groups))
		done := make(chan bool, len(groups))
		for i, g := range groups {
			go func() {
				outcomes[i].position, outcomes[i].err = a.append(ctx, g...)
				done <- true
			}()
			synctest.Wait() // queued in this order
		}
		end := time.After(time.Minute)
		for range groups {
			select {
			case <-done:
			case <-end:
				t.Fatalf("a call is repeated for ever: the log has %q after %d calls", log.records, log.calls)
			}
		}
		if got := fmt.Sprint(log.records); got != "[a b c d]" {
			t.Errorf("the log has %s", got)
		}
		for i, offset := range map[int]int64{0: 0, 1: 1, 3: 3} {
			if outcomes[i].err != nil || outcomes[i].position.offset != offset {
				t.Errorf("group %d: %v", i, outcomes[i])
			}
		}
		if err := outcomes[2].err; !errors.Is(err, ErrNotAppended) || !errors.Is(err, platform.ErrInvalid) {
			t.Errorf("the error of the refused record is %v", err)
		}
	})
}

func TestOneGarbledCallFailsNoRecord(t *testing.T) {
	log := &fakeLog{garbled: 1}
	runAppender(t, log, func(ctx context.Context, t *testing.T, a *appender) {
		if _, err := a.append(ctx, []byte("a")); err != nil || len(log.records) != 1 {
			t.Errorf("the log has %q: %v", log.records, err)
		}
	})
}

func TestRecordsThatTheLogNeverTakesAreNotQueued(t *testing.T) {
	for _, c := range []struct {
		sizes []int
		fits  bool
	}{{[]int{20}, true}, {[]int{21}, false}, {[]int{1, 21}, false}, {[]int{20, 20}, true}, {[]int{20, 19}, true}, {[]int{20, 20, 1}, false}} {
		log := &fakeLog{}
		runAppender(t, log, func(ctx context.Context, t *testing.T, a *appender) {
			var records [][]byte
			for _, size := range c.sizes {
				records = append(records, make([]byte, size))
			}
			_, err := a.append(ctx, records...)
			asyncErr := a.appendAsync(records...)
			synctest.Wait()
			wanted := 0
			if c.fits {
				wanted = 2
			}
			if c.fits != (err == nil) || c.fits != (asyncErr == nil) || !c.fits && (!errors.Is(err, ErrTooLarge) || !errors.Is(err, ErrNotAppended)) || log.calls != wanted {
				t.Errorf("records of %v bytes: %v, %v after %d calls", c.sizes, err, asyncErr, log.calls)
			}
		})
	}
}

func TestContentIsDividedIntoCallsThatTheLogTakes(t *testing.T) {
	records := [][]byte{make([]byte, 20), make([]byte, 20), make([]byte, 20), make([]byte, 2), make([]byte, 1), make([]byte, 100), make([]byte, 1)}
	var groups []int
	for len(records) > 0 {
		n := groupLength(records, 50)
		groups, records = append(groups, n), records[n:]
	}
	if fmt.Sprint(groups) != "[2 3 1 1]" {
		t.Errorf("groups of %v records", groups)
	}
}

// A refused call leaves its sequence number to the next one: the log expects no gap.
func TestARefusedCallLeavesNoGapInTheSequence(t *testing.T) {
	log := hostplatform.NewStore()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 5 {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		log.ServeHTTP(w, r)
	}))
	defer server.Close()
	w := &idempotentWriter{store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.NewTransport()), topic: controlTopic, producer: "p", readBack: &readBack{}}
	for _, record := range []string{"a", "bad", "b"} {
		if _, err := w.write(t.Context(), [][]byte{[]byte(record)}); errors.Is(err, platform.ErrInvalid) != (record == "bad") {
			t.Errorf("%s: %v", record, err)
		}
	}
	if got := fmt.Sprintf("%s", log.Records(controlTopic, 0)); got != "[a b]" {
		t.Errorf("the log has %s", got)
	}
}

// Guards against records that are appended twice, and later ones that count as appended and are not:
// a call is executed without a response, and its repetition is refused as invalid on the way.
func TestOneGarbledRepetitionDividesNoCall(t *testing.T) {
	log, calls := hostplatform.NewStore(), 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch calls++; calls {
		case 1:
			log.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		case 2:
			w.WriteHeader(http.StatusBadRequest)
		default:
			log.ServeHTTP(w, r)
		}
	}))
	defer server.Close()
	w := &idempotentWriter{store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.NewTransport()), topic: controlTopic, producer: "p", readBack: &readBack{}}
	a := newAppender(w, controlTopic, platform.StoreSettings{RecordBytes: 20, CallBytes: 50}, func() bool { return true }, func(error) {})
	for _, records := range []string{"ab", "c"} {
		var batch []*pendingAppend
		for _, r := range records {
			p, err := a.enqueue(t.Context(), [][]byte{[]byte(string(r))})
			if err != nil {
				t.Fatal(err)
			}
			batch = append(batch, p)
		}
		a.send(t.Context(), batch)
	}
	if got := fmt.Sprintf("%s", log.Records(controlTopic, 0)); got != "[a b c]" {
		t.Errorf("the log has %s", got)
	}
}
