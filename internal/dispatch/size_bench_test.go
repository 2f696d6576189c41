package dispatch

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/admit"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

// frameBytes is the overhead of a session per message: length, kind, sequence number
// and timestamp.
const frameBytes = 40

// BenchmarkAdmissionBytes reports the bytes of one remote admission: the request, the
// grant and the finish message.
func BenchmarkAdmissionBytes(b *testing.B) {
	messages := []any{
		admitRequest{Target: "sorter-models-spanish-town-123", Service: "sorter-models", Request: Request{Flow: "new-kingston", Weight: 4, Cost: 512}, Timeout: 1e9},
		admitReply{Grant: 1 << 40},
		finishMessage{Target: "sorter-models-spanish-town-123", Grant: 1 << 40, Cost: 512},
	}
	total := 0
	for b.Loop() {
		total = 0
		for _, m := range messages {
			data, err := record.Marshal(m)
			if err != nil {
				b.Fatal(err)
			}
			total += len(data) + frameBytes
		}
	}
	b.ReportMetric(float64(total), "bytes/admission")
}

// BenchmarkQueueBytes reports the heap of one owned target's queue with 16
// requests granted and 16 waiting.
func BenchmarkQueueBytes(b *testing.B) {
	const queues = 1000
	for b.Loop() {
		before := heap()
		held := make([]*queue, queues)
		for i := range held {
			held[i] = filledQueue()
		}
		b.ReportMetric((heap()-before)/queues, "bytes/queue")
		runtime.KeepAlive(held)
	}
}

// filledQueue returns a queue with 16 requests granted and 16 waiting.
func filledQueue() *queue {
	q := &queue{admit: admit.New(admit.Limits{Concurrency: 16, Queue: 256}), waiting: map[uint64]chan admit.Decision{}, remote: map[uint64]peer.Session{}}
	for id := range uint64(32) {
		q.waiting[id] = make(chan admit.Decision, 1)
		q.admit.Submit(0, admit.Request{ID: id, Flow: "account-" + strconv.FormatUint(id%8, 10), Weight: 1, Cost: 100})
	}
	return q
}

// heap returns the bytes of allocated heap objects after a garbage collection.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
