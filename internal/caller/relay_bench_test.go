package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/engine"
)

const benchEvent = `data: {"id":"cmpl-1","object":"text_completion","created":1796342503,"model":"sorter","choices":[{"index":0,"text":"w4f7 ","finish_reason":null}],"weight_version":1}` + "\n\n"

// tokenSource serves streams of events, which it sends all at once if pause is zero, else
// one by one with the pause after each.
func tokenSource(events int, pause time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
		_ = buf.Flush()
		sendEvents(conn, events, pause)
		_, _ = io.WriteString(conn, "data: [DONE]\n\n")
	})
}

func sendEvents(conn net.Conn, events int, pause time.Duration) {
	if pause == 0 {
		_, _ = io.WriteString(conn, strings.Repeat(benchEvent, events))
		return
	}
	for range events {
		_, _ = io.WriteString(conn, benchEvent)
		time.Sleep(pause)
	}
}

// relayHandler copies a stream of the target to the client with copyEvents, without
// admission and retries.
func relayHandler(target string) http.Handler {
	engines := engine.NewClient()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stream, err := engines.Open(r.Context(), target, "/v1/completions", []byte(`{}`))
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer stream.Close()
		_ = copyEvents(stream, newStreamWriter(w), &deliveredStream{}) // readStreams checks the byte count
	})
}

// readStreams reads streams concurrently and returns the processor time and the wall time
// that they took.
func readStreams(b *testing.B, url string, streams, events int) (cpu, wall time.Duration) {
	b.Helper()
	start, cpuBefore := time.Now(), processorTime(b)
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/v1/completions", strings.NewReader("{}"))
			if err != nil {
				b.Error(err)
				return
			}
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			defer res.Body.Close()
			n, err := io.Copy(io.Discard, res.Body)
			if want := int64(events * len(benchEvent)); err != nil || n < want {
				b.Errorf("read %d bytes of %d: %v", n, want, err)
			}
		})
	}
	wg.Wait()
	return processorTime(b) - cpuBefore, time.Since(start)
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRelay compares streams through the relay with the same streams read directly
// from their source. cpu-µs/event is the processor time that the relay adds per event,
// including kernel time for sockets.
func BenchmarkRelay(b *testing.B) {
	for _, c := range []struct {
		name            string
		streams, events int
		pause           time.Duration
	}{
		{"burst", 8, 20000, 0},
		{"paced-1ms", 64, 400, time.Millisecond},
	} {
		b.Run(c.name, func(b *testing.B) {
			source := httptest.NewServer(tokenSource(c.events, c.pause))
			defer source.Close()
			relay := httptest.NewServer(relayHandler(source.URL))
			defer relay.Close()
			var direct, relayed, directWall, relayedWall time.Duration
			for b.Loop() {
				cpu, wall := readStreams(b, source.URL, c.streams, c.events)
				direct, directWall = direct+cpu, directWall+wall
				cpu, wall = readStreams(b, relay.URL, c.streams, c.events)
				relayed, relayedWall = relayed+cpu, relayedWall+wall
			}
			total := float64(b.N * c.streams * c.events)
			b.ReportMetric(float64((relayed-direct).Nanoseconds())/1e3/total, "cpu-µs/event")
			b.ReportMetric(float64(directWall)/float64(relayedWall), "throughput-ratio")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkHistory measures the cost of adding an event to the delivered stream.
func BenchmarkHistory(b *testing.B) {
	payload := []byte(strings.TrimSpace(strings.TrimPrefix(benchEvent, "data: ")))
	delivered := &deliveredStream{}
	b.ReportAllocs()
	for b.Loop() {
		delivered.add(payload)
		if delivered.tokens > 1<<16 {
			delivered = &deliveredStream{}
		}
	}
	if delivered.tokens == 0 {
		b.Fatal("no tokens were counted")
	}
}

// BenchmarkOpenStreams measures the memory of an open stream in the relay: the
// difference to the same streams read directly from their source.
func BenchmarkOpenStreams(b *testing.B) {
	const streams, events = 2000, 100
	release := make(chan struct{})
	source := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat(benchEvent, events))
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	defer source.Close()
	relay := httptest.NewServer(relayHandler(source.URL))
	defer relay.Close()
	defer close(release)
	for b.Loop() {
		direct := openStreamMemory(b, source.URL, streams, events)
		relayed := openStreamMemory(b, relay.URL, streams, events)
		b.ReportMetric(float64(relayed-direct)/streams/1024, "KiB/stream")
		b.ReportMetric(0, "ns/op")
	}
}

// openStreamMemory returns the bytes of heap and stacks in use for open streams.
func openStreamMemory(b *testing.B, url string, streams, events int) int64 {
	b.Helper()
	before := memoryInUse()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var bodies []io.Closer
	defer func() {
		for _, body := range bodies {
			body.Close()
		}
	}()
	for range streams {
		req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+"/v1/completions", strings.NewReader("{}"))
		if err != nil {
			b.Fatal(err)
		}
		res, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		bodies = append(bodies, res.Body)
		if _, err := io.CopyN(io.Discard, res.Body, int64(events*len(benchEvent))); err != nil {
			b.Fatal(err)
		}
	}
	return memoryInUse() - before
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
