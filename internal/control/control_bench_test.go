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

// holderOf returns the node that holds the deployment's lease, or nil.
func (b *bench) holderOf() *node {
	for _, n := range b.nodes {
		if _, held := n.Held(DeploymentLease, 0); held {
			return n
		}
	}
	return nil
}

func (b *bench) awaitHolder(other *node) *node {
	for {
		if n := b.holderOf(); n != nil && n != other {
			return n
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkFailover measures from the end of the holder until another instance
// holds its lease, against the lease's term.
func BenchmarkFailover(t *testing.B) {
	RegisterTestingT(t)
	var sum time.Duration
	for range t.N {
		b := openBench(0)
		nodes := []*node{b.start(false), b.start(false), b.start(false)}
		b.configure(nodes[0])
		holder := b.awaitHolder(nil)
		for len(holder.Snapshot().Peers) < 2 {
			time.Sleep(time.Millisecond)
		}
		holder.stop()
		began := time.Now()
		b.awaitHolder(holder)
		sum += time.Since(began)
		b.close()
	}
	term := 1500 * time.Millisecond // of testConfig
	t.ReportMetric(sum.Seconds()/float64(t.N)/term.Seconds(), "terms")
}

// BenchmarkJoin measures a new instance until it has folded the whole log,
// against the log's length: from its first record, and from a checkpoint.
func BenchmarkJoin(t *testing.B) {
	for _, n := range []int{10_000, 20_000, 40_000} {
		t.Run(fmt.Sprint("records=", n), func(t *testing.B) { benchJoin(t, n, 0) })
		t.Run(fmt.Sprint("records=", n, ",checkpoint"), func(t *testing.B) { benchJoin(t, n, testKeep) })
	}
}

func benchJoin(t *testing.B, n, keep int) {
	RegisterTestingT(t)
	b := openBench(keep)
	defer b.close()
	first := b.start(false)
	b.configure(first)
	log := platform.NewLog(b.logURL)
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
		joining := b.start(false)
		for joining.Snapshot().Offset < end {
			time.Sleep(100 * time.Microsecond)
		}
		t.StopTimer()
		joining.stop()
		t.StartTimer()
	}
	t.ReportMetric(float64(t.Elapsed().Milliseconds())/float64(t.N), "ms/join")
}

// BenchmarkSite measures a data centre's instances over real sockets: bytes that
// an instance sends to peers, and processor time of all that control does, a
// second, against the number of instances. Heartbeats are a second apart.
func BenchmarkSite(t *testing.B) {
	for _, n := range []int{12, 24, 48} {
		t.Run(fmt.Sprint("nodes=", n), func(t *testing.B) { benchSite(t, n) })
	}
}

func benchSite(t *testing.B, n int) {
	RegisterTestingT(t)
	b := openBench(0)
	defer b.close()
	var nodes []*node
	for range n {
		nodes = append(nodes, b.start(false))
	}
	yaml := strings.Replace(testConfig, "heartbeat: 100ms", "heartbeat: 1s", 1)
	yaml = strings.Replace(yaml, "leaseTerm: 1500ms", "leaseTerm: 6s", 1)
	_, err := nodes[0].Append(t.Context(), 0, record.Config{YAML: []byte(yaml)})
	Expect(err).NotTo(HaveOccurred())
	for _, node := range nodes {
		for len(node.Snapshot().Owners) < n {
			time.Sleep(time.Millisecond)
		}
	}
	const span = 5 * time.Second
	time.Sleep(span) // sessions are open and first heartbeats are over
	var bytes, cpu float64
	for range t.N {
		sent, used := b.sent.Load(), processorTime()
		time.Sleep(span)
		bytes += float64(b.sent.Load()-sent) / span.Seconds() / float64(n)
		cpu += (processorTime() - used).Seconds() / span.Seconds() / float64(n) * 100
	}
	t.ReportMetric(bytes/float64(t.N), "sent-bytes/s")
	t.ReportMetric(cpu/float64(t.N), "%core")
}

func processorTime() time.Duration {
	var u unix.Rusage
	Expect(unix.Getrusage(unix.RUSAGE_SELF, &u)).To(Succeed())
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAppenders measures how instances that all append share a log of 200
// calls a second: accepted and refused calls, and the least against the most that
// one of them got through.
func BenchmarkAppenders(t *testing.B) {
	for _, n := range []int{4, 16, 64} {
		t.Run(fmt.Sprint("appenders=", n), func(t *testing.B) { benchAppenders(t, n) })
	}
}

// tally counts one appender's calls.
type tally struct {
	*platform.Log
	accepted, refused atomic.Int64
}

func (c *tally) Append(ctx context.Context, records [][]byte) ([]int64, error) {
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
	counts := make([]*tally, n)
	var wg sync.WaitGroup
	for i := range counts {
		counts[i] = &tally{Log: platform.NewLog(server.URL)}
		a := newAppender(counts[i], clock.System{}, events.New("a", nil, time.Now))
		wg.Go(func() { _ = a.run(ctx) })
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = a.submit(&entry{id: newID(), class: classLedger, data: [][]byte{{1}}}) // a full queue will do
				clock.Sleep(ctx, time.Millisecond)
			}
		})
	}
	time.Sleep(span) // the rates settle
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
