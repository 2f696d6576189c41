package hosted

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	// staleAfter is the time without a reply after which an instance is not ready: two polls
	// of the log have got no reply.
	staleAfter = 2500 * time.Millisecond
	// deregistrationDelay is how long a stopping instance still accepts new connections: the
	// load balancer checks readiness once a second and removes it after two failures.
	deregistrationDelay = 2500 * time.Millisecond
	// shutdownMargin is the time from the cut of the last requests to the end of the grace
	// period.
	shutdownMargin = 800 * time.Millisecond

	// Both are longer than the configured limits, with which callers comply.
	headerTimeout = 10 * time.Second
	idleTimeout   = 120 * time.Second

	// maxHeaderBytes is the limit of all listeners: a relayed request has the headers of the
	// caller's.
	maxHeaderBytes = 1 << 20
)

// configFresh reports whether the operator topic was read within staleAfter.
func (in *Instance) configFresh() bool {
	return in.sinceLastRead(&in.stateLoop.lastOperatorRead) < staleAfter
}

// logCurrent reports whether the log was read to its end once and read again within
// staleAfter.
func (in *Instance) logCurrent() bool {
	return in.stateLoop.caughtUp.Load() && in.sinceLastRead(&in.stateLoop.lastLogRead) < staleAfter
}

// ready reports whether the load balancer may send requests to the instance: it is not
// stopping, has a configuration, has read the registry, and has read the operator topic
// and the log within staleAfter.
func (in *Instance) ready() bool {
	return !in.isStopping() && in.stateLoop.view.Load().Catalog != nil && in.configFresh() && in.logCurrent() &&
		in.stateLoop.lastRegistryRead.Load() != 0
}

// serveReadiness serves the load balancer's health check: status 200 if the instance is
// ready, else 503.
func (in *Instance) serveReadiness(ctx context.Context) error {
	var wasReady atomic.Bool
	return in.serve(ctx, in.cfg.Settings.Readiness, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ready := in.ready()
		if wasReady.Swap(ready) != ready {
			in.log("readiness changed", events.F("ready", fmt.Sprint(ready)))
		}
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}), nil)
}

func (in *Instance) serveMetrics(ctx context.Context) error {
	if in.cfg.Settings.Metrics == "" {
		return nil
	}
	return in.serve(ctx, in.cfg.Settings.Metrics, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		in.metrics.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}), nil)
}

// serveFront serves callers and trainers until the instance has drained.
func (in *Instance) serveFront(ctx context.Context) error {
	return in.serve(ctx, in.cfg.Settings.Front, http.HandlerFunc(in.serveCaller), in.drain)
}

// serve runs an HTTP server until ctx ends. If stop is not nil, the server runs until
// stop, which is called at the start, has shut it down.
func (in *Instance) serve(ctx context.Context, address string, handler http.Handler, stop func(context.Context, *http.Server) error) error {
	listener, err := in.cfg.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return in.serveOn(ctx, listener, handler, stop)
}

// serveOn is serve on an open listener.
func (in *Instance) serveOn(ctx context.Context, listener net.Listener, handler http.Handler, stop func(context.Context, *http.Server) error) error {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", listener.Addr(), err)
		}
		return nil
	})
	group.Go(func() error {
		if stop != nil {
			return stop(ctx, server)
		}
		<-ctx.Done()
		return server.Close()
	})
	return group.Wait()
}

// ErrStopped is the error that Run returns after Stop. drain returns it to end all
// goroutines of the instance.
var ErrStopped = errors.New("instance stopped")

// drain waits for Stop. Then it waits, all within the grace period, for
// deregistrationDelay, for the requests in flight and for the handover of the jobs.
func (in *Instance) drain(ctx context.Context, server *http.Server) error {
	select {
	case <-ctx.Done():
		return server.Close()
	case <-in.stopping:
	}
	in.log("instance stopping", events.F("grace", in.cfg.Settings.Grace.String()))
	server.SetKeepAlivesEnabled(false)
	graceCtx, cancel := context.WithTimeout(ctx, in.cfg.Settings.Grace-shutdownMargin)
	defer cancel()
	select {
	case <-graceCtx.Done():
	case <-time.After(deregistrationDelay):
	}
	if err := server.Shutdown(graceCtx); err != nil {
		in.log("instance cut requests", events.F("error", err.Error()))
	}
	in.runner.waitForHandover(graceCtx)
	return ErrStopped
}
