package hosted

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	// staleAfter makes an instance not ready: two polls of the log that should
	// have been answered were not.
	staleAfter = 2500 * time.Millisecond
	// deregistrationDelay is how long a stopping instance still takes new connections: the
	// balancer asks once a second and takes it out after two misses.
	deregistrationDelay = 2500 * time.Millisecond
	// shutdownMargin is left of the grace when the last requests are cut.
	shutdownMargin = 800 * time.Millisecond

	headerTimeout = 10 * time.Second  // above the configured limit, which callers keep
	idleTimeout   = 120 * time.Second // above the configured limit, which callers keep
)

// configFresh reports whether what the instance knows of the configuration is recent.
func (n *Instance) configFresh() bool {
	return n.sinceLastRead(&n.stateLoop.lastOperatorRead) < staleAfter
}

// logCurrent reports whether the instance follows the log without a gap.
func (n *Instance) logCurrent() bool {
	return n.stateLoop.caughtUp.Load() && n.sinceLastRead(&n.stateLoop.lastLogRead) < staleAfter
}

// ready reports whether new callers are welcome.
func (n *Instance) ready() bool {
	return !n.isStopping() && n.stateLoop.view.Load().Catalog != nil && n.configFresh() && n.logCurrent() &&
		n.stateLoop.lastRegistryRead.Load() != 0
}

func (n *Instance) serveReadiness(ctx context.Context) error {
	was := false
	return n.serve(ctx, n.cfg.Settings.Readiness, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ready := n.ready()
		if ready != was {
			was = ready
			n.log("readiness changed", events.F("ready", fmt.Sprint(ready)))
		}
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}), nil)
}

func (n *Instance) serveMetrics(ctx context.Context) error {
	if n.cfg.Settings.Metrics == "" {
		return nil
	}
	return n.serve(ctx, n.cfg.Settings.Metrics, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n.metrics.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}), nil)
}

func (n *Instance) serveFront(ctx context.Context) error {
	return n.serve(ctx, n.cfg.Settings.Front, http.HandlerFunc(n.serveCall), n.drain)
}

// serve runs an HTTP server until ctx ends. finish, when not nil, stops it earlier.
func (n *Instance) serve(ctx context.Context, address string, handler http.Handler, finish func(context.Context, *http.Server) error) error {
	listener, err := n.cfg.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", address, err)
		}
		return nil
	})
	group.Go(func() error {
		if finish != nil {
			return finish(ctx, server)
		}
		<-ctx.Done()
		return server.Close()
	})
	return group.Wait()
}

// ErrStopped ends all goroutines of an instance that has been stopped.
var ErrStopped = errors.New("instance stopped")

// drain waits for a stop, lets the balancer take the instance out and then
// lets the requests in flight end.
func (n *Instance) drain(ctx context.Context, server *http.Server) error {
	select {
	case <-ctx.Done():
		return server.Close()
	case <-n.stopping:
	}
	n.log("instance stopping", events.F("grace", n.cfg.Settings.Grace.String()))
	server.SetKeepAlivesEnabled(false)
	left, cancel := context.WithTimeout(ctx, n.cfg.Settings.Grace-shutdownMargin)
	defer cancel()
	select {
	case <-left.Done():
	case <-time.After(deregistrationDelay):
	}
	if err := server.Shutdown(left); err != nil {
		n.log("instance cut requests", events.F("error", err.Error()))
	}
	n.runner.waitHandedOver(left)
	return ErrStopped
}
