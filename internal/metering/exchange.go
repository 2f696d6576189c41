package metering

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/plan"
	"github.com/amaranthfold/amaranthfold/core/usage"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

const (
	exchangeTimeout = 2 * time.Second
	maxReceivers    = 2 // the mirror and the holder of the lease

	// Reports are exchanged several times within the grace, so that one that is
	// lost still comes in time, and not more often than the bytes allow.
	exchangesInGrace = 4
	minExchange      = 200 * time.Millisecond
	maxExchange      = 5 * time.Second
)

// ReportBatch is the message that carries reports to a mirror or to the lease's holder.
type ReportBatch struct {
	Reports []usage.Report `cbor:"1,keyasint"`
	// Source and Steps are only for the holder of the lease: the open steps of the
	// trainers that the sender owns.
	Source string          `cbor:"2,keyasint"`
	Steps  []plan.OpenStep `cbor:"3,keyasint"`
}

// Ack answers a Batch.
type Ack struct{}

// Exchange sends this instance's counts to its mirror in another data centre and
// to the holder of the deployment's lease, and what it mirrors of dead sources to
// the holder. Only what a receiver has not acknowledged is sent.
type Exchange struct {
	meter *Meter
	loop  *control.Loop
	peers *peer.Pool

	stepSource func() []plan.OpenStep

	mu        sync.Mutex
	acked     map[string]map[string]uint64 // revision by receiver and source
	received  map[string]receivedSteps     // by source
	stepsSent bool                         // the holder knows of open steps
}

// NewExchange returns an exchange of the meter's reports.
func NewExchange(m *Meter, l *control.Loop, p *peer.Pool) *Exchange {
	return &Exchange{meter: m, loop: l, peers: p, acked: map[string]map[string]uint64{}, received: map[string]receivedSteps{}}
}

// Run exchanges reports at every interval until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	timer := time.NewTimer(minExchange)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			// A report that was not acknowledged is sent again at the next interval.
			_ = e.Flush(ctx)
			timer.Reset(e.interval())
		}
	}
}

func (e *Exchange) interval() time.Duration {
	cfg := e.loop.Snapshot().Config
	if cfg == nil {
		return minExchange
	}
	return min(max(cfg.Usage.Grace/exchangesInGrace, minExchange), maxExchange)
}

// HandleBatch takes a peer's reports.
func (e *Exchange) HandleBatch(body []byte) (any, error) {
	batch, err := peer.Decode[ReportBatch](body)
	if err != nil {
		return nil, err
	}
	e.meter.AddReports(batch.Reports)
	e.storeSteps(batch)
	return Ack{}, nil
}

// Flush sends now what receivers have not acknowledged. An instance that leaves
// calls it after its last request.
func (e *Exchange) Flush(ctx context.Context) error {
	s := e.loop.Snapshot()
	if s.Config == nil {
		return nil
	}
	e.meter.ApplyBilling(s.Config.Usage.Window, s.Billing)
	own := e.meter.Report()
	g := errgroup.Group{}
	g.SetLimit(maxReceivers)
	holder, remote := holderOf(s)
	if remote {
		reports := append(e.meter.UnreachableReports(LiveSources(s)), own)
		g.Go(func() error { return e.send(ctx, holder, reports, e.stepsBatch()) })
	}
	if mirror, ok := MirrorPeer(s); ok {
		g.Go(func() error { return e.send(ctx, mirror, []usage.Report{own}, ReportBatch{}) })
	}
	return g.Wait()
}

// stepsBatch returns a batch with the open steps, if there are any to tell or to
// take back.
func (e *Exchange) stepsBatch() ReportBatch {
	steps := e.localSteps()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(steps) == 0 && !e.stepsSent {
		return ReportBatch{}
	}
	e.stepsSent = len(steps) > 0
	return ReportBatch{Source: e.loop.Holder(), Steps: steps}
}

// send sends the batch with the reports that the receiver has not acknowledged.
func (e *Exchange) send(ctx context.Context, to member.Status, reports []usage.Report, batch ReportBatch) error {
	receiver := control.HolderName(to.Peer)
	due := e.unacked(receiver, reports)
	if len(due) == 0 && batch.Source == "" {
		return nil
	}
	batch.Reports = due
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var ack Ack
	if err := e.peers.Call(ctx, to.Address, peer.KindUsage, batch, &ack); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.acked[receiver] == nil {
		e.acked[receiver] = map[string]uint64{}
	}
	for _, r := range due {
		e.acked[receiver][r.Source] = r.Revision
	}
	return nil
}

func (e *Exchange) unacked(receiver string, reports []usage.Report) []usage.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	var due []usage.Report
	for _, r := range reports {
		if r.Revision > e.acked[receiver][r.Source] {
			due = append(due, r)
		}
	}
	return due
}

// holderOf returns the peer that holds the deployment's lease. It reports false
// when the holder is this instance or not known.
func holderOf(s *control.Snapshot) (member.Status, bool) {
	holder := s.Leases[control.DeploymentLease].Holder
	for _, p := range s.Peers {
		if control.HolderName(p.Peer) == holder {
			return p, true
		}
	}
	return member.Status{}, false
}

// MirrorPeer returns the peer that keeps a copy of this instance's counts: one in
// another data centre if there is one, and not the holder of the lease, which has
// them already.
func MirrorPeer(s *control.Snapshot) (member.Status, bool) {
	holder := s.Leases[control.DeploymentLease].Holder
	var near, far []string
	for _, p := range s.Peers {
		if p.Suspect || p.Leaving || control.HolderName(p.Peer) == holder {
			continue
		}
		if p.DataCentre == s.Self.DataCentre {
			near = append(near, p.ID)
		} else {
			far = append(far, p.ID)
		}
	}
	candidates := far
	if len(candidates) == 0 {
		candidates = near
	}
	id := member.Owner("usage/"+s.Self.ID, candidates)
	p, ok := s.PeerByID[id]
	return p, ok
}

// LiveSources returns whether a source is this instance or a peer that answers. What a
// silent peer counted is passed on by its mirror; reports are cumulative, so that
// a peer which was silent for a while is not billed twice.
func LiveSources(s *control.Snapshot) func(source string) bool {
	live := map[string]bool{control.HolderName(s.Self): true}
	for _, p := range s.Peers {
		if !p.Suspect {
			live[control.HolderName(p.Peer)] = true
		}
	}
	return func(source string) bool { return live[source] }
}

// ListedSources returns whether a source is this instance or a peer that the platform
// lists. Only sources that are not listed are retired.
func ListedSources(s *control.Snapshot) func(source string) bool {
	listed := map[string]bool{control.HolderName(s.Self): true}
	for _, p := range s.Peers {
		listed[control.HolderName(p.Peer)] = true
	}
	return func(source string) bool { return listed[source] }
}
