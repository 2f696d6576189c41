package occupancy_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"
)

// BenchmarkRequest measures the processor time that both sides together take for a request of
// the size of a message of 64 engines over loopback, without what core/occupancy does.
func BenchmarkRequest(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer server.Close()
	usage := func() time.Duration {
		var u syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	before, data := usage(), make([]byte, 1116)
	for range b.N {
		res, err := http.Post(server.URL, "application/octet-stream", bytes.NewReader(data))
		if err != nil {
			b.Fatal(err)
		}
		res.Body.Close()
	}
	b.ReportMetric(float64((usage()-before).Microseconds())/float64(b.N), "cpu-µs")
}
