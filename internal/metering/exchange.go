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
	maxReceivers    = 2 // the mirror and the lease holder

	// Reports are exchanged several times within the grace (the allowed lateness of
	// reports), so that a report still arrives in time if one exchange fails. minExchange and
	// maxExchange bound the interval between exchanges; the minimum limits the traffic.
	exchangesInGrace = 4
	minExchange      = 200 * time.Millisecond
	maxExchange      = 5 * time.Second
)

// ReportBatch is the message that sends reports to the mirror or to the holder of the
// deployment's lease.
type ReportBatch struct {
	Reports []usage.Report `cbor:"1,keyasint"`
	// Source is the sender and Steps are the open steps of the trainers that it owns. Both
	// are sent only to the lease holder. A Source without Steps clears the holder's copy.
	Source string          `cbor:"2,keyasint"`
	Steps  []plan.OpenStep `cbor:"3,keyasint"`
}

// Ack is the reply to a ReportBatch.
type Ack struct{}

// Exchange sends this instance's usage report to its mirror in another data centre and to
// the holder of the deployment's lease. To the holder it also forwards the last reports
// of suspect sources that it mirrors. A report is sent until the receiver has acknowledged
// its revision. It also sends the holder the open steps of trainers: the training steps
// that still need samples.
type Exchange struct {
	meter *Meter
	loop  *control.Loop
	peers *peer.Pool

	stepSource func() []plan.OpenStep

	mu        sync.Mutex
	acked     map[string]map[string]uint64 // acknowledged revision by receiver and source
	received  map[string]receivedSteps     // by source
	stepsSent bool                         // the last list sent to the holder was not empty
}

// NewExchange returns an exchange of the meter's reports.
func NewExchange(m *Meter, l *control.Loop, p *peer.Pool) *Exchange {
	return &Exchange{meter: m, loop: l, peers: p, acked: map[string]map[string]uint64{}, received: map[string]receivedSteps{}}
}

// Run exchanges reports until ctx is done. The interval is the configured grace divided by
// exchangesInGrace, between minExchange and maxExchange.
func (e *Exchange) Run(ctx context.Context) error {
	timer := time.NewTimer(minExchange)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			// Unacknowledged reports are sent again at the next interval.
			_ = e.Flush(ctx)
			timer.Reset(e.interval())
		}
	}
}

// interval returns the time between two exchanges; see Run.
func (e *Exchange) interval() time.Duration {
	cfg := e.loop.Snapshot().Config
	if cfg == nil {
		return minExchange
	}
	return min(max(cfg.Usage.Grace/exchangesInGrace, minExchange), maxExchange)
}

// HandleBatch stores the reports and open steps that a peer sent, and returns the reply.
func (e *Exchange) HandleBatch(body []byte) (any, error) {
	batch, err := peer.Decode[ReportBatch](body)
	if err != nil {
		return nil, err
	}
	e.meter.AddReports(batch.Reports)
	e.storeSteps(batch)
	return Ack{}, nil
}

// Flush sends the reports that the receivers have not acknowledged. It fails if one of the
// receivers does not reply. A stopping instance calls it after its last request.
func (e *Exchange) Flush(ctx context.Context) error {
	s := e.loop.Snapshot()
	if s.Config == nil {
		return nil
	}
	e.meter.ApplyBilling(s.Config.Usage.Window, s.Billing)
	ownReport := e.meter.Report()
	g := errgroup.Group{}
	g.SetLimit(maxReceivers)
	holder, isPeer := leaseHolderPeer(s)
	if isPeer {
		reports := append(e.meter.UnreachableReports(LiveSources(s)), ownReport)
		g.Go(func() error { return e.send(ctx, holder, reports, e.stepsBatch()) })
	}
	if mirror, ok := MirrorPeer(s); ok {
		g.Go(func() error { return e.send(ctx, mirror, []usage.Report{ownReport}, ReportBatch{}) })
	}
	return g.Wait()
}

// stepsBatch returns a batch with the open steps. An empty list is sent once after a
// non-empty one, to clear the holder's copy; otherwise the batch has no Source.
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

// send adds the reports that the receiver has not acknowledged to the batch, sends it, and
// records their revisions as acknowledged. It sends nothing if there are no such reports
// and the batch has no Source.
func (e *Exchange) send(ctx context.Context, to member.Status, reports []usage.Report, batch ReportBatch) error {
	receiver := control.HolderName(to.Peer)
	unackedReports := e.unacked(receiver, reports)
	if len(unackedReports) == 0 && batch.Source == "" {
		return nil
	}
	batch.Reports = unackedReports
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
	for _, r := range unackedReports {
		e.acked[receiver][r.Source] = r.Revision
	}
	return nil
}

// unacked returns the reports whose revision the receiver has not acknowledged.
func (e *Exchange) unacked(receiver string, reports []usage.Report) []usage.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	var unackedReports []usage.Report
	for _, r := range reports {
		if r.Revision > e.acked[receiver][r.Source] {
			unackedReports = append(unackedReports, r)
		}
	}
	return unackedReports
}

// leaseHolderPeer returns the peer that holds the deployment's lease. It reports false if
// the holder is this instance or unknown.
func leaseHolderPeer(s *control.Snapshot) (member.Status, bool) {
	holder := s.Leases[control.DeploymentLease].Holder
	for _, p := range s.Peers {
		if control.HolderName(p.Peer) == holder {
			return p, true
		}
	}
	return member.Status{}, false
}

// MirrorPeer returns the peer that keeps a copy of this instance's report: one that is
// neither suspect nor leaving, in another data centre if there is one. The lease holder is
// excluded, since it gets the report anyway. It reports false if there is no such peer.
func MirrorPeer(s *control.Snapshot) (member.Status, bool) {
	holder := s.Leases[control.DeploymentLease].Holder
	var sameDataCentre, otherDataCentres []string
	for _, p := range s.Peers {
		if p.Suspect || p.Leaving || control.HolderName(p.Peer) == holder {
			continue
		}
		if p.DataCentre == s.Self.DataCentre {
			sameDataCentre = append(sameDataCentre, p.ID)
		} else {
			otherDataCentres = append(otherDataCentres, p.ID)
		}
	}
	candidates := otherDataCentres
	if len(candidates) == 0 {
		candidates = sameDataCentre
	}
	id := member.Owner("usage/"+s.Self.ID, candidates)
	p, ok := s.PeerByID[id]
	return p, ok
}

// LiveSources returns a function that reports whether a source is this instance or a peer
// that is not suspect. The last report of a suspect source is forwarded by its mirror.
// Reports are cumulative and numbered by revision, so nothing is billed twice when the
// source becomes reachable again.
func LiveSources(s *control.Snapshot) func(source string) bool {
	live := map[string]bool{control.HolderName(s.Self): true}
	for _, p := range s.Peers {
		if !p.Suspect {
			live[control.HolderName(p.Peer)] = true
		}
	}
	return func(source string) bool { return live[source] }
}

// ListedSources returns a function that reports whether a source is this instance or a
// peer that the platform lists. Only sources that are not listed may be retired, that is,
// excluded from later bills.
func ListedSources(s *control.Snapshot) func(source string) bool {
	listed := map[string]bool{control.HolderName(s.Self): true}
	for _, p := range s.Peers {
		listed[control.HolderName(p.Peer)] = true
	}
	return func(source string) bool { return listed[source] }
}
