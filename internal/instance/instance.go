// Package instance assembles one instance of the service: its listeners for callers,
// operators, trainers and peers, the control loop, and the controllers that run on every
// instance but act only under a lease (targets, weight updates, billing).
//
// The caller passes the listeners' settings and the URLs of the platform's services to
// New, calls Run, and for a planned stop calls Drain before it ends Run's context. Drain
// interrupts no request before its context ends.
package instance

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/internal/caller"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/controller"
	"github.com/amaranthfold/amaranthfold/internal/dispatch"
	"github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/listener"
	"github.com/amaranthfold/amaranthfold/internal/measure"
	"github.com/amaranthfold/amaranthfold/internal/metering"
	"github.com/amaranthfold/amaranthfold/internal/operator"
	"github.com/amaranthfold/amaranthfold/internal/peer"
	"github.com/amaranthfold/amaranthfold/internal/platform"
	"github.com/amaranthfold/amaranthfold/internal/rollout"
	"github.com/amaranthfold/amaranthfold/internal/samples"
)

// Config holds an instance's identity, the settings of its listeners and the URLs of the
// platform's services.
type Config struct {
	ID         string
	Deployment string
	DataCentre string

	Callers   listener.Config
	Operators listener.Config
	Trainers  listener.Config
	Peers     listener.Config // mutual TLS if its files include a CA

	LogURL     string
	ListURL    string
	OrdersURL  string
	UsageURL   string
	WeightsURL string

	OperatorKey string    // one key, or name=key pairs separated by commas
	LogOutput   io.Writer // of events, as log lines; nil: none
	// WrapPeerListener, if set, wraps the listener for peers.
	WrapPeerListener func(net.Listener) net.Listener
	Clock            clock.Clock

	DrainTimeout time.Duration // longest time that requests in flight may take to end at a planned stop
}

// Instance is one process of the service on one machine. New sets its exported fields.
type Instance struct {
	cfg         Config
	incarnation int64
	startedAt   time.Duration

	callerListener, operatorListener, trainerListener, peerListener *listener.Listener

	Loop          *control.Loop
	Events        *events.Recorder
	Dispatch      *dispatch.Dispatcher
	Meter         *metering.Meter
	Measures      *measure.Measures
	usageExchange *metering.Exchange
	callerServer  *caller.Server

	engines  *engine.Client
	peerPool *peer.Pool

	operatorKeys []operator.Key

	draining    atomic.Bool
	callerGate  gate
	trainerGate gate

	ordersMu sync.Mutex
	orders   map[string]*platform.Orders // by data centre
}

// New returns an instance with open listeners. It fails if the operators' keys are
// malformed or a listener cannot be opened. The caller must call Run.
func New(cfg Config) (*Instance, error) {
	i := &Instance{cfg: cfg, incarnation: time.Now().UnixNano(), engines: engine.NewClient(), orders: map[string]*platform.Orders{}}
	if i.cfg.Clock == nil {
		i.cfg.Clock = clock.System{}
	}
	var err error
	if i.operatorKeys, err = operator.ParseKeys(cfg.OperatorKey); err != nil {
		return nil, fmt.Errorf("operators' keys: %w", err)
	}
	i.startedAt = i.cfg.Clock.Now()
	if err := i.listen(); err != nil {
		return nil, err
	}
	i.Events = events.New(cfg.ID, cfg.LogOutput, i.cfg.Clock.Wall)
	i.peerPool = peer.NewPool(peer.Hello{ID: cfg.ID, Incarnation: i.incarnation, Deployment: cfg.Deployment}, i.Events)
	if reloader := i.peerListener.Reloader(); reloader != nil {
		i.peerPool.UseDialer(peer.DialTLS(reloader.ClientConfig))
	}
	i.Loop = control.New(control.Options{
		Self: member.Peer{
			ID: cfg.ID, Incarnation: i.incarnation, DataCentre: cfg.DataCentre,
			Address: i.peerListener.Addr().String(), Operator: i.OperatorURL(),
		},
		Deployment: cfg.Deployment,
		Clock:      i.cfg.Clock,
		Log:        platform.NewLog(cfg.LogURL),
		List:       platform.NewInstanceList(cfg.ListURL),
		Orders:     i.ordersClient,
		Peers:      i.peerPool,
		Events:     i.Events,
	})
	i.Dispatch = dispatch.New(i.Loop, i.peerPool, i.cfg.Clock)
	i.Loop.SetRequestCounter(i.Dispatch.InFlight)
	i.callerGate.ready, i.trainerGate.ready = i.ready, i.ready
	i.Meter = metering.New(i.Loop.Holder(), time.Minute)
	i.Measures = measure.New(cfg.ID)
	i.callerServer = caller.New(caller.Options{
		Loop: i.Loop, Dispatch: i.Dispatch, Engines: i.engines, Peers: i.peerPool, Meter: i.Meter, Clock: i.cfg.Clock, Events: i.Events, Measures: i.Measures,
	})
	i.usageExchange = metering.NewExchange(i.Meter, i.Loop, i.peerPool)
	i.Dispatch.SetMeasures(i.Measures)
	return i, nil
}

// listen opens the listeners and returns the joined errors of those that failed.
func (i *Instance) listen() error {
	var errs []error
	open := func(name string, cfg listener.Config) *listener.Listener {
		l, err := listener.Open(cfg)
		if err != nil {
			errs = append(errs, fmt.Errorf("listener for %s: %w", name, err))
		}
		return l
	}
	i.callerListener = open("callers", i.cfg.Callers)
	i.operatorListener = open("operators", i.cfg.Operators)
	i.trainerListener = open("trainers", i.cfg.Trainers)
	i.peerListener = open("peers", i.cfg.Peers)
	if i.cfg.WrapPeerListener != nil && i.peerListener != nil {
		i.peerListener.Listener = i.cfg.WrapPeerListener(i.peerListener.Listener)
	}
	return errors.Join(errs...)
}

// ordersClient returns the client that sends a data centre's orders to the platform. There
// is one per data centre, which reuses its connection, so that an order is sent without
// dialling first.
func (i *Instance) ordersClient(dataCentre string) *platform.Orders {
	i.ordersMu.Lock()
	defer i.ordersMu.Unlock()
	if i.orders[dataCentre] == nil {
		i.orders[dataCentre] = platform.NewOrders(i.cfg.OrdersURL, dataCentre)
	}
	return i.orders[dataCentre]
}

// Clock returns the clock of the Config, or the system clock if it has none.
func (i *Instance) Clock() clock.Clock { return i.cfg.Clock }

// CallerURL returns the URL of the callers' listener.
func (i *Instance) CallerURL() string { return i.callerListener.URL() }

// OperatorURL returns the URL of the operators' listener.
func (i *Instance) OperatorURL() string { return i.operatorListener.URL() }

// TrainerURL returns the URL of the trainers' listener.
func (i *Instance) TrainerURL() string { return i.trainerListener.URL() }

// ListEntry returns the entry of this instance for the platform's list of instances.
func (i *Instance) ListEntry() platform.ListedInstance {
	return platform.ListedInstance{
		ID: i.cfg.ID, Incarnation: i.incarnation, DataCentre: i.cfg.DataCentre,
		Address: i.peerListener.Addr().String(), Operator: i.OperatorURL(), State: platform.InstanceLive,
	}
}

// Run serves requests and runs the instance's tasks until ctx ends or one of them fails.
func (i *Instance) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	sampleManager := samples.New(ctx, samples.Options{
		Loop: i.Loop, Dispatch: i.Dispatch, Engines: i.engines, Peers: i.peerPool, Meter: i.Meter, Clock: i.cfg.Clock, Events: i.Events, Measures: i.Measures,
	})
	operatorServer := operator.New(operator.Options{
		Loop: i.Loop, Clock: i.cfg.Clock, Events: i.Events, Measures: i.Measures, Keys: i.operatorKeys,
	})
	i.usageExchange.SetStepSource(sampleManager.OpenSteps)
	targetController := controller.New(controller.Options{
		Loop: i.Loop, Clock: i.cfg.Clock, Orders: i.ordersClient, Events: i.Events, Measures: i.Measures, Steps: i.usageExchange.OpenSteps,
	})
	rolloutDriver := rollout.New(rollout.Options{
		Loop: i.Loop, Engines: i.engines, Weights: platform.NewWeights(i.cfg.WeightsURL), Peers: i.peerPool, Clock: i.cfg.Clock, Events: i.Events,
	})
	biller := controller.NewBiller(controller.BillerOptions{
		Loop: i.Loop, Clock: i.cfg.Clock, Usage: platform.NewUsage(i.cfg.UsageURL), Meter: i.Meter, Events: i.Events, Measures: i.Measures,
	})
	peerServer := peer.NewServer(i.cfg.Deployment, &peerHandler{instance: i, callerServer: i.callerServer, sampleManager: sampleManager, rolloutDriver: rolloutDriver, usageExchange: i.usageExchange}, i.Events)
	g.Go(func() error { return peerServer.Serve(ctx, i.peerListener.NetListener()) })
	i.peerListener.WatchCertificate(ctx, g, i.recordCertificateReload)
	g.Go(func() error { return i.Loop.Run(ctx) })
	g.Go(func() error { return i.Dispatch.Run(ctx, i.engines) })
	g.Go(func() error { return targetController.Run(ctx) })
	g.Go(func() error { return biller.Run(ctx) })
	g.Go(func() error { return i.usageExchange.Run(ctx) })
	g.Go(func() error { return i.callerServer.Run(ctx) })
	g.Go(func() error { return sampleManager.Run(ctx) })
	g.Go(func() error { return rolloutDriver.Run(ctx) })
	i.callerListener.Serve(ctx, g, i.callerGate.wrap(i.callerServer.Handler()), i.recordCertificateReload)
	i.operatorListener.Serve(ctx, g, (&gate{ready: i.ready}).wrap(operatorServer.Handler()), i.recordCertificateReload)
	i.trainerListener.Serve(ctx, g, i.trainerGate.wrap(sampleManager.Handler()), i.recordCertificateReload)
	err := g.Wait()
	i.peerPool.Close()
	return err
}

// recordCertificateReload records the result of a certificate reload as an event.
func (i *Instance) recordCertificateReload(err error) {
	if err != nil {
		i.Events.Record("certificate reload failed", events.F("error", err.Error()))
		return
	}
	i.Events.Record("certificate reloaded")
}

// peerHandler passes peers' messages to their handlers by kind.
type peerHandler struct {
	instance      *Instance
	callerServer  *caller.Server
	sampleManager *samples.Manager
	rolloutDriver *rollout.Driver
	usageExchange *metering.Exchange
}

// Handle implements peer.Handler.
func (h *peerHandler) Handle(ctx context.Context, from peer.Session, kind peer.Kind, body []byte) (any, error) {
	switch kind {
	case peer.KindHeartbeat:
		heartbeat, err := peer.Decode[control.Heartbeat](body)
		if err != nil {
			return nil, err
		}
		h.instance.Loop.HandleHeartbeat(ctx, from, heartbeat)
		return nil, nil
	case peer.KindSummary:
		return nil, h.instance.Loop.HandleSummary(ctx, body)
	case peer.KindTargets:
		return h.instance.Loop.HandleTargets(body)
	case peer.KindRecords:
		return h.instance.Loop.HandleRecords(ctx, body)
	case peer.KindState:
		return h.instance.Loop.HandleState(ctx, body)
	case peer.KindAdmit:
		return h.instance.Dispatch.HandleAdmit(ctx, from, body)
	case peer.KindFinish:
		return nil, h.instance.Dispatch.HandleFinish(from, body)
	case peer.KindUsage:
		return h.usageExchange.HandleBatch(body)
	case peer.KindAllocate:
		return h.callerServer.HandleAllocate(from, body)
	case peer.KindClaimedResponse:
		return h.callerServer.HandleClaimedResponse(ctx, body)
	case peer.KindTrainer:
		return h.sampleManager.HandleForward(ctx, body)
	case peer.KindOutOfService:
		return nil, h.rolloutDriver.HandleOutOfService(ctx, body)
	case peer.KindMirrorPut:
		return h.sampleManager.HandleMirrorPut(body)
	case peer.KindMirrorFetch:
		return h.sampleManager.HandleMirrorFetch(body)
	case peer.KindBatchPage:
		return h.sampleManager.HandleBatchPage(body)
	default:
		return nil, fmt.Errorf("unknown message kind %d from %s", kind, from.ID)
	}
}

// SessionEnded implements peer.Handler.
func (h *peerHandler) SessionEnded(from peer.Session) { h.instance.Dispatch.SessionEnded(from) }
