package caller

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/engine"
)

// heapBytes returns the bytes of the heap that are in use after a collection.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against a process that keeps bodies without end for many requests at once, each below the
// limit of one response.
func TestBodiesWithoutEndKeepWithinTheMemoryForResponses(t *testing.T) {
	const (
		sent     = 16 << 20 // below the limits of one response
		requests = 32
		most     = 300 << 20 // the memory for responses, and some for the rest
	)
	chunk := bytes.Repeat([]byte("a"), 64<<10)
	var reached atomic.Int64
	all, release := make(chan struct{}), make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for written := 0; written < sent; written += len(chunk) {
			if _, err := w.Write(chunk); err != nil {
				break
			}
		}
		if reached.Add(1) == requests {
			close(all)
		}
		<-release
		panic(http.ErrAbortHandler)
	}))
	defer target.Close()
	plain, engines := newPlainClient(engine.Dial), engine.NewClient()
	var group sync.WaitGroup
	for n := range requests {
		group.Go(func() {
			send := plainSender(plain, http.MethodPost, http.Header{}, "b", false)
			if n%2 == 0 {
				send = engineSender(engines)
			}
			if outcome := send(context.WithoutCancel(t.Context()), target.URL); outcome != retry.Unknown {
				t.Errorf("outcome %s", outcome)
			}
		})
	}
	<-all
	kept := heapBytes()
	for range 100 { // readers that have failed may not have returned
		if kept <= most {
			break
		}
		time.Sleep(20 * time.Millisecond)
		kept = heapBytes()
	}
	if kept > most {
		t.Errorf("%d bytes are kept", kept)
	}
	close(release)
	group.Wait()
	if used := engine.Responses.Used(); used != 0 {
		t.Errorf("%d bytes are held after the responses", used)
	}
}
