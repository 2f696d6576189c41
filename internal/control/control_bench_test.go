package control

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/platform"
	"github.com/amaranthfold/amaranthfold/internal/standin"
	"github.com/amaranthfold/amaranthfold/internal/standin/logstore"
)

// leaseHolder returns the instance that holds the deployment lease, or nil.
func (f *fixture) leaseHolder() *instance {
	for _, n := range f.instances {
		if _, held := n.Held(DeploymentLease, 0); held {
			return n
		}
	}
	return nil
}

// waitForLeaseHolder waits until an instance other than the given one holds the
// deployment lease.
func (f *fixture) waitForLeaseHolder(except *instance) *instance {
	for {
		if n := f.leaseHolder(); n != nil && n != except {
			return n
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkFailover measures the time from the stop of the deployment lease's holder until
// another instance holds the lease, in lease terms.
func BenchmarkFailover(t *testing.B) {
	RegisterTestingT(t)
	var sum time.Duration
	for range t.N {
		f := openFixture(0)
		instances := []*instance{f.start(false), f.start(false), f.start(false)}
		f.configure(instances[0])
		holder := f.waitForLeaseHolder(nil)
		for len(holder.Snapshot().Peers) < 2 {
			time.Sleep(time.Millisecond)
		}
		holder.stop()
		began := time.Now()
		f.waitForLeaseHolder(holder)
		sum += time.Since(began)
		f.close()
	}
	term := 1500 * time.Millisecond // of testConfig
	t.ReportMetric(sum.Seconds()/float64(t.N)/term.Seconds(), "terms")
}

// BenchmarkJoin measures the time in which a new instance applies the complete log, against
// the log's length: from its first record, and from a checkpoint.
func BenchmarkJoin(t *testing.B) {
	for _, n := range []int{10_000, 20_000, 40_000} {
		t.Run(fmt.Sprint("records=", n), func(t *testing.B) { benchJoin(t, n, 0) })
		t.Run(fmt.Sprint("records=", n, ",checkpoint"), func(t *testing.B) { benchJoin(t, n, testLogKeep) })
	}
}

func benchJoin(t *testing.B, n, maxRecords int) {
	RegisterTestingT(t)
	f := openFixture(maxRecords)
	defer f.close()
	first := f.start(false)
	f.configure(first)
	log := platform.NewLog(f.logURL)
	for at := 0; at < n; at += 100 {
		var batch [][]byte
		for range 100 {
			env := record.Envelope{ID: uuid.New(), Author: "x", Applied: first.Snapshot().Offset}
			data, err := record.EncodeEnvelope(env, record.UsageSent{Window: 1})
			Expect(err).NotTo(HaveOccurred())
			batch = append(batch, data)
		}
		offsets, err := log.Append(t.Context(), batch)
		Expect(err).NotTo(HaveOccurred())
		for int64(first.Snapshot().Offset) < offsets[len(offsets)-1] {
			time.Sleep(100 * time.Microsecond)
		}
	}
	t.ResetTimer()
	for range t.N {
		end := first.Snapshot().Offset
		joining := f.start(false)
		for joining.Snapshot().Offset < end {
			time.Sleep(100 * time.Microsecond)
		}
		t.StopTimer()
		joining.stop()
		t.StartTimer()
	}
	t.ReportMetric(float64(t.Elapsed().Milliseconds())/float64(t.N), "ms/join")
}

// BenchmarkSite measures the instances of one data centre, connected over real sockets,
// against their number: the bytes a second that an instance sends to peers, and the CPU
// time of all its control work. Heartbeats are a second apart.
func BenchmarkSite(t *testing.B) {
	for _, n := range []int{12, 24, 48} {
		t.Run(fmt.Sprint("nodes=", n), func(t *testing.B) { benchDeployment(t, n) })
	}
}

func benchDeployment(t *testing.B, n int) {
	RegisterTestingT(t)
	f := openFixture(0)
	defer f.close()
	var instances []*instance
	for range n {
		instances = append(instances, f.start(false))
	}
	yaml := strings.Replace(testConfig, "heartbeat: 100ms", "heartbeat: 1s", 1)
	yaml = strings.Replace(yaml, "leaseTerm: 1500ms", "leaseTerm: 6s", 1)
	_, err := instances[0].Append(t.Context(), 0, record.Config{YAML: []byte(yaml)})
	Expect(err).NotTo(HaveOccurred())
	for _, inst := range instances {
		for len(inst.Snapshot().Owners) < n {
			time.Sleep(time.Millisecond)
		}
	}
	const span = 5 * time.Second
	time.Sleep(span) // until sessions are open and the first heartbeats have been sent
	var bytes, cpu float64
	for range t.N {
		sent, used := f.sentBytes.Load(), cpuTime()
		time.Sleep(span)
		bytes += float64(f.sentBytes.Load()-sent) / span.Seconds() / float64(n)
		cpu += (cpuTime() - used).Seconds() / span.Seconds() / float64(n) * 100
	}
	t.ReportMetric(bytes/float64(t.N), "sent-bytes/s")
	t.ReportMetric(cpu/float64(t.N), "%core")
}

func cpuTime() time.Duration {
	var u unix.Rusage
	Expect(unix.Getrusage(unix.RUSAGE_SELF, &u)).To(Succeed())
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAppenders measures how appending instances share a log with a limit of 200 calls
// a second: accepted and refused calls, and the accepted calls of the instance with the
// fewest, divided by those of the instance with the most.
func BenchmarkAppenders(t *testing.B) {
	for _, n := range []int{4, 16, 64} {
		t.Run(fmt.Sprint("appenders=", n), func(t *testing.B) { benchAppenders(t, n) })
	}
}

// countingLog counts one appender's calls.
type countingLog struct {
	*platform.Log
	accepted, refused atomic.Int64
}

func (c *countingLog) Append(ctx context.Context, records [][]byte) ([]int64, error) {
	offsets, err := c.Log.Append(ctx, records)
	if err == nil {
		c.accepted.Add(1)
	} else {
		c.refused.Add(1)
	}
	return offsets, err
}

func benchAppenders(t *testing.B, n int) {
	RegisterTestingT(t)
	const span = 4 * time.Second
	store := logstore.New(logstore.Config{AppendsPerSecond: 200})
	server, err := standin.Serve(store.Handler())
	Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	counts := make([]*countingLog, n)
	var wg sync.WaitGroup
	for i := range counts {
		counts[i] = &countingLog{Log: platform.NewLog(server.URL)}
		a := newAppender(counts[i], clock.System{}, events.New("a", nil, time.Now))
		wg.Go(func() { _ = a.run(ctx) })
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = a.submit(&entry{id: newID(), class: classDelivery, data: [][]byte{{1}}}) // a full queue is expected
				clock.Sleep(ctx, time.Millisecond)
			}
		})
	}
	time.Sleep(span) // until the rates have converged
	for _, c := range counts {
		c.accepted.Store(0)
		c.refused.Store(0)
	}
	time.Sleep(span)
	accepted, refused, least, most := 0.0, 0.0, math.Inf(1), 0.0
	for _, c := range counts {
		got := float64(c.accepted.Load())
		accepted += got
		refused += float64(c.refused.Load())
		least, most = min(least, got), max(most, got)
	}
	cancel()
	wg.Wait()
	t.ReportMetric(accepted/span.Seconds(), "accepted/s")
	t.ReportMetric(refused/accepted, "refused/accepted")
	t.ReportMetric(least/most, "least/most")
}
