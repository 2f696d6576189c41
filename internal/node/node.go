// Package node holds what all roles of a hosted instance share, and performs none of them:
// settings, clock, events, metrics and randomness, the state that results from following the log
// and the registry, appends to the log, and what is known of targets and other instances.
//
// A role holds a *Node. What a node needs to know of the roles, package hosted and the roles
// set: OnRecord, Pace.RanJobsAt and Pace.LeaseHeld.
package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/hash"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/httpclient"
	"github.com/amaranthfold/amaranthfold/platform"
	"github.com/cespare/xxhash/v2"
)

// Config holds an instance's settings and the sources of its logs, time and randomness.
type Config struct {
	Settings  platform.Settings
	LogOutput io.Writer
	Clock     clock.Clock // nil: the system's clock
	Random    *rand.Rand  // nil: seeded randomly
	// DialTarget opens the connections to targets. nil: a net.Dialer
	DialTarget func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	idleConnsPerTarget  = 24 // idle connections kept to each target: two batches of twelve slots
	contentCacheDivisor = 16 // the content cache gets 1/16 of the memory
	responsesDivisor    = 4  // the responses that are held get 1/4 of the memory
)

// Node is what the roles of one instance share.
type Node struct {
	Settings platform.Settings
	Clock    clock.Clock
	Metrics  *Metrics
	// Self is the name and incarnation of the instance: the writer and producer name in the log.
	Self string
	// TargetClient sends requests to targets.
	TargetClient *http.Client
	// Responses is the memory that responses of targets and of other instances may hold together.
	Responses    *httpclient.Budget
	StateLoop    *StateLoop
	Pace         *Pace
	Allowances   *Allowances
	Links        *LinkMonitor
	LogTransport *LogTransport
	Peers        *PeerLinks
	// OnRecord is called on the state goroutine with each record of the log, after it was
	// applied to the state, and whether the state accepted it. Set before the loops start.
	OnRecord func(now time.Duration, r job.Record, accepted bool)

	events       *events.Recorder
	store        *platform.Store
	controlLog   *appender // appends to the control topic
	contentLog   *appender // appends to the content topic
	usageLog     *appender // appends to the usage topic
	readBack     readBack  // of the control topic
	contentCache *contentCache
	dependencies dependencyStatus
	starts       starts
	standstill   standstill
	probes       probes
	connections  connections
	stopping     chan struct{} // closed by stop
	stopOnce     sync.Once
	randomMu     sync.Mutex
	random       *rand.Rand
}

// New returns a node whose loops have not been started.
func New(cfg Config) *Node {
	s := cfg.Settings
	if cfg.Random == nil {
		cfg.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.DialTarget == nil {
		cfg.DialTarget = (&net.Dialer{}).DialContext
	}
	n := &Node{
		Settings: s, Clock: cfg.Clock, random: cfg.Random,
		events:       events.New(s.Instance, cfg.LogOutput, cfg.Clock.Wall),
		Metrics:      newMetricSet(),
		StateLoop:    newStateLoop(cfg.Clock, rejoinTimeout),
		Pace:         newFollowPace(),
		Responses:    httpclient.NewBudget(s.MemoryBytes / responsesDivisor),
		contentCache: newContentCache(s.MemoryBytes / contentCacheDivisor),
		stopping:     make(chan struct{}),
		OnRecord:     func(time.Duration, job.Record, bool) {},
	}
	n.Metrics.Set.NewGauge("amaranth_hosted_response_bytes", func() float64 { return float64(n.Responses.Used()) })
	n.Metrics.Set.NewGauge("amaranth_hosted_responses_ended_total", func() float64 { return float64(n.Responses.Ended()) })
	n.connections = connections{node: n, lost: map[string][]*targetConn{}, open: map[string]int{}}
	n.standstill.node = n
	n.probes = probes{clock: cfg.Clock, answered: make(chan struct{})}
	n.Links = newLinkMonitor(n, cfg.DialTarget)
	n.TargetClient = &http.Client{Transport: targetTransport{platform.NewTargetTransport(n.Responses, idleConnsPerTarget, n.Links.dialTarget)}, CheckRedirect: NoRedirect}
	n.Peers = newPeerLinks(n)
	n.LogTransport = newLogTransport(n, s.Store.Address)
	n.store = platform.NewStore(s.Store.Address, n.LogTransport)
	n.Self = fmt.Sprintf("%s/%x", s.Instance, n.Rand64())
	n.controlLog = newAppender(&idempotentWriter{store: n.store, topic: controlTopic, producer: n.Self, readBack: &n.readBack},
		controlTopic, s.Store, n.logAnswers, n.trackAppends("log"))
	n.controlLog.onAppended, n.controlLog.logDelay = n.Pace.expectRecords, n.readDelay
	n.contentLog = n.newSpreadLog(contentTopic)
	n.usageLog = n.newSpreadLog(usageTopic)
	n.Allowances = newAllowances(n)
	return n
}

// newSpreadLog returns the appender of a topic whose partitions the instances share, first by name.
func (n *Node) newSpreadLog(topic string) *appender {
	s := n.Settings.Store
	return newAppender(&failoverWriter{
		store: n.store, topic: topic, partitions: s.Partitions,
		partition: int(hash.Mix(xxhash.Sum64String(n.Settings.Instance)) % uint64(s.Partitions)),
	}, topic, s, n.logAnswers, n.trackAppends(topic))
}

// Loops returns the functions that keep the node up to date. Each runs until its context ends.
func (n *Node) Loops() []func(context.Context) error {
	return []func(context.Context) error{
		n.StateLoop.run, n.controlLog.run, n.contentLog.run, n.usageLog.run,
		n.followLog, n.watchOperator, n.watchRegistry, n.publishWarmTargets, n.standstill.run,
		n.LogTransport.run, n.announce, n.answerAsks, n.Links.run,
	}
}

// NoRedirect is the CheckRedirect of clients whose responses are forwarded as they are.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// trackAppends returns a function for the results of a topic's appends, which sets the
// status of the dependency name.append. A call that the log refuses as invalid says nothing of it.
func (n *Node) trackAppends(name string) func(error) {
	return func(err error) {
		switch {
		case err == nil:
			n.dependencyRegained(name + ".append")
		case errors.Is(err, platform.ErrInvalid):
			n.Log("append refused", events.F("error", err.Error()))
		default:
			n.DependencyLost(name+".append", err)
		}
	}
}

// Stop makes IsStopping true and closes the channel stopping.
func (n *Node) Stop() { n.stopOnce.Do(func() { close(n.stopping) }) }

// StopStarted returns a channel that is closed when the drain starts.
func (n *Node) StopStarted() <-chan struct{} { return n.stopping }

// IsStopping reports whether the instance drains.
func (n *Node) IsStopping() bool {
	select {
	case <-n.stopping:
		return true
	default:
		return false
	}
}

// Rand64 returns a random number.
func (n *Node) Rand64() uint64 {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return n.random.Uint64()
}

// Jitter returns a random duration from zero to below limit.
func (n *Node) Jitter(limit time.Duration) time.Duration {
	return time.Duration(n.Rand64() % uint64(max(1, limit)))
}

// Log writes an event to the instance's log.
func (n *Node) Log(event string, fields ...events.Field) { n.events.Record(event, fields...) }

// EncodeRecord sets the record's writer and time and encodes it.
func (n *Node) EncodeRecord(r job.Record) ([]byte, error) {
	r.Writer, r.At = n.Self, n.Clock.Wall().UnixMilli()
	return job.Encode(r)
}

// AppendRecord appends one record to the control topic and waits for the outcome.
func (n *Node) AppendRecord(ctx context.Context, r job.Record) error {
	return n.AppendRecords(ctx, r)
}

// AppendRecords is AppendRecord for records that are appended together.
func (n *Node) AppendRecords(ctx context.Context, records ...job.Record) error {
	encoded := make([][]byte, len(records))
	for i, r := range records {
		var err error
		if encoded[i], err = n.EncodeRecord(r); err != nil {
			return err
		}
	}
	_, err := n.controlLog.append(ctx, encoded...)
	return err
}

// AppendEncoded is AppendRecord for the result of EncodeRecord.
func (n *Node) AppendEncoded(ctx context.Context, data []byte) error {
	_, err := n.controlLog.append(ctx, data)
	return err
}

// AppendRecordAsync queues one record for the control topic without waiting for the
// outcome. If it cannot be queued, it drops the record and logs that.
func (n *Node) AppendRecordAsync(r job.Record) {
	data, err := n.EncodeRecord(r)
	if err != nil {
		n.Log("record unencodable", events.F("error", err.Error()))
		return
	}
	if err := n.controlLog.appendAsync(data); err != nil {
		n.Log("record dropped", events.F("reason", err.Error()))
	}
}
