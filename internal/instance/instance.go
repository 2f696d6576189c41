// Package instance assembles one instance of the service: its listeners for callers,
// operators, trainers and peers, the control loop, and the tasks that any instance can
// perform as lease holder (targets, weights, usage).
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
	LogOutput   io.Writer // nil: no log
	// WrapPeerListener, if set, wraps the listener for peers.
	WrapPeerListener func(net.Listener) net.Listener
	Clock            clock.Clock

	DrainTimeout time.Duration // longest time that requests in flight may take to end at a planned stop
}

// Instance is one process of the service.
type Instance struct {
	cfg         Config
	incarnation int64
	startedAt   time.Duration

	callers, operators, trainers, peers *listener.Listener

	Loop         *control.Loop
	Events       *events.Recorder
	Dispatch     *dispatch.Dispatcher
	Meter        *metering.Meter
	Measures     *measure.Measures
	exchange     *metering.Exchange
	callerServer *caller.Server

	engines *engine.Client
	pool    *peer.Pool

	operatorKeys []operator.Key

	draining    atomic.Bool
	callerGate  gate
	trainerGate gate

	ordersMu sync.Mutex
	orders   map[string]*platform.Orders // by data centre
}

// New returns an instance with open listeners. It fails when the operators' keys are
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
	i.pool = peer.NewPool(peer.Hello{ID: cfg.ID, Incarnation: i.incarnation, Deployment: cfg.Deployment}, i.Events)
	if reloader := i.peers.Reloader(); reloader != nil {
		i.pool.UseDialer(peer.DialTLS(reloader.ClientConfig))
	}
	i.Loop = control.New(control.Options{
		Self: member.Peer{
			ID: cfg.ID, Incarnation: i.incarnation, DataCentre: cfg.DataCentre,
			Address: i.peers.Addr().String(), Operator: i.OperatorURL(),
		},
		Deployment: cfg.Deployment,
		Clock:      i.cfg.Clock,
		Log:        platform.NewLog(cfg.LogURL),
		List:       platform.NewInstanceList(cfg.ListURL),
		Orders:     i.ordersClient,
		Peers:      i.pool,
		Events:     i.Events,
	})
	i.Dispatch = dispatch.New(i.Loop, i.pool, i.cfg.Clock)
	i.Loop.SetRequestCounter(i.Dispatch.InFlight)
	i.callerGate.ready, i.trainerGate.ready = i.ready, i.ready
	i.Meter = metering.New(i.Loop.Holder(), time.Minute)
	i.Measures = measure.New(cfg.ID)
	i.callerServer = caller.New(caller.Options{
		Loop: i.Loop, Dispatch: i.Dispatch, Engines: i.engines, Peers: i.pool, Meter: i.Meter, Clock: i.cfg.Clock, Events: i.Events, Measures: i.Measures,
	})
	i.exchange = metering.NewExchange(i.Meter, i.Loop, i.pool)
	i.Dispatch.SetMeasures(i.Measures)
	return i, nil
}

// listen opens the listeners and returns the errors of all that fail.
func (i *Instance) listen() error {
	var errs []error
	open := func(name string, cfg listener.Config) *listener.Listener {
		l, err := listener.Open(cfg)
		if err != nil {
			errs = append(errs, fmt.Errorf("listener for %s: %w", name, err))
		}
		return l
	}
	i.callers = open("callers", i.cfg.Callers)
	i.operators = open("operators", i.cfg.Operators)
	i.trainers = open("trainers", i.cfg.Trainers)
	i.peers = open("peers", i.cfg.Peers)
	if i.cfg.WrapPeerListener != nil && i.peers != nil {
		i.peers.Listener = i.cfg.WrapPeerListener(i.peers.Listener)
	}
	return errors.Join(errs...)
}

// ordersClient returns the client of a data centre's order interface. There is one per
// data centre, which reuses its connection, so that sending an order needs no dialling.
func (i *Instance) ordersClient(dataCentre string) *platform.Orders {
	i.ordersMu.Lock()
	defer i.ordersMu.Unlock()
	if i.orders[dataCentre] == nil {
		i.orders[dataCentre] = platform.NewOrders(i.cfg.OrdersURL, dataCentre)
	}
	return i.orders[dataCentre]
}

// Clock returns the instance's clock.
func (i *Instance) Clock() clock.Clock { return i.cfg.Clock }

// CallerURL returns the URL of the callers' listener.
func (i *Instance) CallerURL() string { return i.callers.URL() }

// OperatorURL returns the URL of the operators' listener.
func (i *Instance) OperatorURL() string { return i.operators.URL() }

// TrainerURL returns the URL of the trainers' listener.
func (i *Instance) TrainerURL() string { return i.trainers.URL() }

// ListEntry returns the instance's entry in the platform's list of instances.
func (i *Instance) ListEntry() platform.ListedInstance {
	return platform.ListedInstance{
		ID: i.cfg.ID, Incarnation: i.incarnation, DataCentre: i.cfg.DataCentre,
		Address: i.peers.Addr().String(), Operator: i.OperatorURL(), State: platform.InstanceLive,
	}
}

// Run serves requests and runs the instance's tasks until ctx ends or one of them fails.
func (i *Instance) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	trainers := samples.New(ctx, samples.Options{
		Loop: i.Loop, Dispatch: i.Dispatch, Engines: i.engines, Peers: i.pool, Meter: i.Meter, Clock: i.cfg.Clock, Events: i.Events, Measures: i.Measures,
	})
	operators := operator.New(operator.Options{
		Loop: i.Loop, Clock: i.cfg.Clock, Events: i.Events, Measures: i.Measures, Keys: i.operatorKeys,
	})
	i.exchange.SetStepSource(trainers.OpenSteps)
	targetController := controller.New(controller.Options{
		Loop: i.Loop, Clock: i.cfg.Clock, Orders: i.ordersClient, Events: i.Events, Measures: i.Measures, Steps: i.exchange.OpenSteps,
	})
	weights := rollout.New(rollout.Options{
		Loop: i.Loop, Engines: i.engines, Weights: platform.NewWeights(i.cfg.WeightsURL), Peers: i.pool, Clock: i.cfg.Clock, Events: i.Events,
	})
	billing := controller.NewBiller(controller.BillerOptions{
		Loop: i.Loop, Clock: i.cfg.Clock, Usage: platform.NewUsage(i.cfg.UsageURL), Meter: i.Meter, Events: i.Events, Measures: i.Measures,
	})
	peers := peer.NewServer(i.cfg.Deployment, &peerHandler{instance: i, callers: i.callerServer, trainers: trainers, weights: weights, usage: i.exchange}, i.Events)
	g.Go(func() error { return peers.Serve(ctx, i.peers.NetListener()) })
	i.peers.WatchCertificate(ctx, g, i.recordCertificateReload)
	g.Go(func() error { return i.Loop.Run(ctx) })
	g.Go(func() error { return i.Dispatch.Run(ctx, i.engines) })
	g.Go(func() error { return targetController.Run(ctx) })
	g.Go(func() error { return billing.Run(ctx) })
	g.Go(func() error { return i.exchange.Run(ctx) })
	g.Go(func() error { return i.callerServer.Run(ctx) })
	g.Go(func() error { return trainers.Run(ctx) })
	g.Go(func() error { return weights.Run(ctx) })
	i.callers.Serve(ctx, g, i.callerGate.wrap(i.callerServer.Handler()), i.recordCertificateReload)
	i.operators.Serve(ctx, g, (&gate{ready: i.ready}).wrap(operators.Handler()), i.recordCertificateReload)
	i.trainers.Serve(ctx, g, i.trainerGate.wrap(trainers.Handler()), i.recordCertificateReload)
	err := g.Wait()
	i.pool.Close()
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

// peerHandler dispatches peers' messages by kind.
type peerHandler struct {
	instance *Instance
	callers  *caller.Server
	trainers *samples.Manager
	weights  *rollout.Driver
	usage    *metering.Exchange
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
		return h.usage.HandleBatch(body)
	case peer.KindAllocate:
		return h.callers.HandleAllot(from, body)
	case peer.KindClaimedResponse:
		return h.callers.HandleClaimedResponse(ctx, body)
	case peer.KindTrainer:
		return h.trainers.HandleForward(ctx, body)
	case peer.KindOutOfService:
		return nil, h.weights.HandleOutOfService(ctx, body)
	case peer.KindMirrorPut:
		return h.trainers.HandleMirrorPut(body)
	case peer.KindMirrorFetch:
		return h.trainers.HandleMirrorFetch(body)
	case peer.KindBatchPage:
		return h.trainers.HandleBatchPage(body)
	default:
		return nil, fmt.Errorf("unknown message kind %d from %s", kind, from.ID)
	}
}

// SessionEnded implements peer.Handler.
func (h *peerHandler) SessionEnded(from peer.Session) { h.instance.Dispatch.SessionEnded(from) }
