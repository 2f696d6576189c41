package duty

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against a holder whose lease ends as it waits for a slow log with the usage of a window:
// no weights were ordered for seconds.
func TestLeaseIsRenewedWhileADutyWaits(t *testing.T) {
	log := hostplatform.NewStore()
	var waitsSince atomic.Int64 // Unix nanoseconds; zero: no read of the usage topic waits
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("topic") == "usage" {
			waitsSince.CompareAndSwap(0, time.Now().UnixNano())
			<-r.Context().Done()
			waitsSince.Store(0)
			return
		}
		log.ServeHTTP(w, r)
	}))
	defer server.Close()
	c := New(node.New(node.Config{LogOutput: io.Discard, Settings: platform.Settings{
		Instance: "n", MemoryBytes: 1 << 20, Cloud: "127.0.0.1:1", ReportsUsage: true, UsageWindow: time.Second, LeaseTerm: 3 * time.Second,
		Store: platform.StoreSettings{Address: strings.TrimPrefix(server.URL, "http://"), Partitions: 1, RecordBytes: 10000, CallBytes: 50000},
	}}))
	c.Node.OnRecord = c.OnRecord
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	for _, loop := range append(c.Node.Loops(), c.Loops()...) {
		loops.Go(func() { _ = loop(ctx) })
	}
	leases := func() (n int) {
		for _, data := range log.Records("control", 0) {
			if r, err := job.Decode(data); err == nil && r.Lease != nil {
				n++
			}
		}
		return n
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		since, before := waitsSince.Load(), leases()
		if since == 0 || time.Since(time.Unix(0, since)) < 300*time.Millisecond { // a renewal from before the wait may be under way
			continue
		}
		for waitsSince.Load() == since {
			if leases() > before {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	t.Errorf("no renewal while a read of the usage waits, %d lease records", leases())
}
