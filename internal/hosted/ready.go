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
	"github.com/amaranthfold/amaranthfold/internal/forward"
	"github.com/amaranthfold/amaranthfold/internal/peerlink"
)

const (
	// deregistrationDelay is how long a stopping instance still accepts new connections: the
	// load balancer checks readiness once a second and removes it after two failures.
	deregistrationDelay = 2500 * time.Millisecond
	// shutdownMargin is the time from the cut of the last requests to the end of the grace
	// period.
	shutdownMargin = 800 * time.Millisecond
	// answerMargin is the time before that cut in which requests that have not ended are answered.
	answerMargin = 200 * time.Millisecond

	// Both are longer than the configured limits, with which callers comply.
	headerTimeout = 10 * time.Second
	idleTimeout   = 120 * time.Second

	// maxHeaderBytes is the limit of all listeners: a relayed request has the headers of the
	// caller's.
	maxHeaderBytes = 1 << 20
)

// ready reports whether the load balancer may send requests to the instance: it is not
// stopping, has a configuration, has read the registry, and has read the operator topic
// and the log within StaleAfter.
func (in *Instance) ready() bool {
	return !in.node.IsStopping() && in.node.CurrentView().Catalog != nil && in.node.ConfigFresh() && in.node.LogCurrent() &&
		in.node.RegistryRead()
}

// serveReadiness serves the load balancer's health check: status 200 if the instance is
// ready, else 503.
func (in *Instance) serveReadiness(ctx context.Context) error {
	var wasReady atomic.Bool
	return in.serve(ctx, in.node.Settings.Readiness, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ready := in.ready()
		if wasReady.Swap(ready) != ready {
			in.node.Log("readiness changed", events.F("ready", fmt.Sprint(ready)))
		}
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}), nil)
}

func (in *Instance) serveMetrics(ctx context.Context) error {
	if in.node.Settings.Metrics == "" {
		return nil
	}
	return in.serve(ctx, in.node.Settings.Metrics, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		in.node.Metrics.Set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}), nil)
}

// serveFront serves callers and trainers until the instance has drained.
func (in *Instance) serveFront(ctx context.Context) error {
	return in.serve(ctx, in.node.Settings.Front, in.endsBeforeCut(func(w http.ResponseWriter, r *http.Request) {
		if in.node.IsStopping() {
			w.Header().Set("Connection", "close")
		}
		in.serveCaller(w, r)
	}), in.drain)
}

// endsBeforeCut returns a handler that ends the context of a request with forward.ErrStopping when
// the grace period is nearly over, so that the request is answered before its connection is cut.
func (in *Instance) endsBeforeCut(handler http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, end := context.WithCancelCause(r.Context())
		stop := in.atGraceEnd(func() { end(forward.ErrStopping) })
		defer stop()
		handler(w, r.WithContext(ctx))
	})
}

// serve runs an HTTP server until ctx ends. If stop is not nil, the server runs until
// stop, which is called at the start, has shut it down.
func (in *Instance) serve(ctx context.Context, address string, handler http.Handler, stop func(context.Context, *http.Server) error) error {
	listener, err := in.listen("tcp", address)
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
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return forward.ConnContext(peerlink.ConnContext(ctx, c), c)
		},
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
// deregistrationDelay, for the requests in flight, for the handover of the jobs and for the
// requests of other instances. Until the end of the delay, kept connections stay open if they
// are idle: the load balancer may be sending a request on them.
func (in *Instance) drain(ctx context.Context, server *http.Server) error {
	select {
	case <-ctx.Done():
		return server.Close()
	case <-in.node.StopStarted():
	}
	in.node.Log("instance stopping", events.F("grace", in.node.Settings.Grace.String()))
	defer time.AfterFunc(in.node.Settings.Grace-shutdownMargin-answerMargin, in.endGrace).Stop()
	graceCtx, cancel := context.WithTimeout(ctx, in.node.Settings.Grace-shutdownMargin)
	defer cancel()
	select {
	case <-graceCtx.Done():
	case <-time.After(deregistrationDelay):
	}
	if err := server.Shutdown(graceCtx); err != nil {
		in.node.Log("instance cut requests", events.F("error", err.Error()))
	}
	in.batch.WaitForHandover(graceCtx)
	in.frontDrained <- graceCtx
	select {
	case <-in.peersDrained:
	case <-graceCtx.Done():
	}
	return ErrStopped
}

// drainPeers waits until the listener for callers has drained, and then for the requests of
// other instances in flight: they relay callers' requests.
func (in *Instance) drainPeers(ctx context.Context, server *http.Server) error {
	defer close(in.peersDrained)
	select {
	case <-ctx.Done():
		return server.Close()
	case graceCtx := <-in.frontDrained:
		if err := server.Shutdown(graceCtx); err != nil {
			in.node.Log("instance cut requests of other instances", events.F("error", err.Error()))
		}
		return nil
	}
}
