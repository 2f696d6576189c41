package batch

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/job"
	core "github.com/amaranthfold/amaranthfold/core/occupancy"
	"github.com/amaranthfold/amaranthfold/internal/httpclient"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/internal/occupancy"
	"github.com/amaranthfold/amaranthfold/internal/peerlink"
)

const (
	occupancyDialTimeout = 100 * time.Millisecond // another instance accepts a connection within milliseconds
	occupancyIdleTimeout = 30 * time.Second       // shorter than the idle timeout of the listener
	// loadsInterval is the shortest time between two reads of the scheduler's loads, which go
	// through all its runs.
	loadsInterval = 20 * time.Millisecond
)

// engineOccupancy connects the runner's scheduler to the exchange of occupancy with the other
// runners. The exchange reads own and runners; only the runner's goroutine uses the other fields.
type engineOccupancy struct {
	exchange *occupancy.Exchange
	own      atomic.Pointer[[]core.Load]
	runners  atomic.Pointer[[]occupancy.Runner]

	sumVersion uint64                 // of the sum that others was made of
	others     map[string]assign.Load // loads of the other runners
	readAt     time.Duration          // when the scheduler's loads were last read
	due        chan struct{}          // receives a value when a read that was put off is due
	news       chan struct{}          // receives a value when another runner's loads have changed
	readPutOff bool

	refusalsMu sync.Mutex
	refusals   map[string]time.Duration // when the listener of a runner last refused a connection, by instance
}

// noteRefused notes that nothing listens at a runner's address.
func (o *engineOccupancy) noteRefused(now time.Duration, instance string) {
	o.refusalsMu.Lock()
	defer o.refusalsMu.Unlock()
	o.refusals[instance] = now
}

// refusedAt returns when the listener of a runner last refused a connection.
func (o *engineOccupancy) refusedAt(instance string) (at time.Duration, refused bool) {
	o.refusalsMu.Lock()
	defer o.refusalsMu.Unlock()
	at, refused = o.refusals[instance]
	return at, refused
}

// notify sends a value unless one is pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func newEngineOccupancy(b *Batch) *engineOccupancy {
	o := &engineOccupancy{refusals: map[string]time.Duration{}, due: make(chan struct{}, 1), news: make(chan struct{}, 1), readAt: -loadsInterval}
	o.own.Store(&[]core.Load{})
	o.runners.Store(&[]occupancy.Runner{})
	o.exchange = occupancy.New(occupancy.Config{
		Self: b.Settings.Instance, Incarnation: b.Clock.Wall().UnixMilli(), Clock: b.Clock,
		Loads:   func() []core.Load { return *o.own.Load() },
		Runners: func() []occupancy.Runner { return *o.runners.Load() },
		Known:   func(name string) bool { return b.Allowances.Knows(name) },
		MaySend: peerlink.MaySend,
		Client: &http.Client{CheckRedirect: node.NoRedirect, Transport: httpclient.New(&http.Transport{
			DialContext:         b.Peers.DialWithin(occupancyDialTimeout),
			MaxIdleConnsPerHost: 1, IdleConnTimeout: occupancyIdleTimeout, DisableCompression: true,
		})},
		Log: b.Log, Metrics: b.Metrics.Set, News: func() { notify(o.news) },
		Gone: func(name string) { o.noteRefused(b.Clock.Now(), name) },
	})
	return o
}

// runnersOf returns the instances that run an open job or ran the latest job of a model. It runs
// on the state goroutine.
func runnersOf(s *job.State) []occupancy.Runner {
	incarnations := map[string]bool{}
	for _, j := range s.Jobs {
		if j.Open() {
			incarnations[j.Runner] = true
		}
	}
	for _, r := range s.Runners {
		incarnations[r.Name] = true
	}
	var out []occupancy.Runner
	for incarnation := range incarnations {
		name := instanceOf(incarnation)
		if i := s.Instances[name]; i.Incarnation == incarnation && i.PeerAddress != "" {
			out = append(out, occupancy.Runner{Name: name, Address: i.PeerAddress})
		}
	}
	return out
}

// takeOthers gives the scheduler the loads of the other runners.
func (r *runner) takeOthers() {
	o, now := r.occupancy, r.batch.Clock.Now()
	sum := o.exchange.Sum(now)
	if sum.Runners == 0 {
		r.scheduler.SetOccupancy(now, nil)
		return
	}
	if sum.Version != o.sumVersion || o.others == nil {
		o.sumVersion, o.others = sum.Version, make(map[string]assign.Load, len(sum.Loads))
		for engine, l := range sum.Loads {
			o.others[engine] = assign.Load{Runs: l.Runs, Tokens: l.Tokens}
		}
	}
	r.scheduler.SetOccupancy(now-sum.OldestNews, o.others)
}

// ownLoads returns the loads of the scheduler's runs.
func ownLoads(s *assign.Scheduler) []core.Load {
	occupancy := s.Occupancy()
	out := make([]core.Load, 0, len(occupancy))
	for engine, l := range occupancy {
		out = append(out, core.Load{Engine: engine, Runs: l.Runs, Tokens: l.Tokens})
	}
	return out
}

// readLoads passes the scheduler's loads to the exchange, at most once in loadsInterval.
func (o *engineOccupancy) readLoads(now time.Duration, s *assign.Scheduler) {
	switch wait := o.readAt + loadsInterval - now; {
	case wait > 0 && o.readPutOff:
	case wait > 0:
		o.readPutOff = true
		time.AfterFunc(wait, func() { notify(o.due) })
	default:
		o.readAt = now
		loads := ownLoads(s)
		o.own.Store(&loads)
		o.exchange.Changed()
	}
}
