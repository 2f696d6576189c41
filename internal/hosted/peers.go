package hosted

import (
	"context"
	"fmt"
	"net/http"

	"github.com/amaranthfold/amaranthfold/internal/forward"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/internal/occupancy"
)

// peerHandler serves the other instances.
func (in *Instance) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+node.AllowancePath, in.node.Allowances.Serve)
	mux.Handle(occupancy.Path, in.batch.OccupancyHandler())
	mux.HandleFunc("/", in.node.LogTransport.Relay)
	return in.endsBeforeCut(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(forward.HeaderRelayed) != "" { // any path
			in.forwarder.ServeRelayed(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// servePeers serves the other instances, on checked connections: it grants requests to targets that limit their rate,
// takes the occupancy of engines by other runners, and relays calls to the log and callers'
// requests for instances that reach neither the log nor a target.
func (in *Instance) servePeers(ctx context.Context) error {
	if in.node.Settings.Peers == "" {
		close(in.peersDrained)
		return nil
	}
	listener, err := in.listen("tcp", in.node.Settings.Peers)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return in.serveOn(ctx, in.node.Peers.Listen(listener), in.peerHandler(), in.drainPeers)
}
