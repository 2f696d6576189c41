package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// DrainRequest starts the drain of a target, which then gets no new requests, or undoes
// the drain.
type DrainRequest struct {
	Target string `json:"target"`
	Undo   bool   `json:"undo"`
}

// DrainStatus is a target that operators drain, in the state of one instance.
type DrainStatus struct {
	Target      string `json:"target"`
	SinceOffset int64  `json:"since"`   // log offset of the drain
	MayStop     bool   `json:"mayStop"` // no instance has had a request at the target for some heartbeat intervals
}

var errNoTarget = errors.New("the request names no target")

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	var req DrainRequest
	if !readJSON(w, r, &req) {
		return
	}
	if req.Target == "" {
		writeError(w, http.StatusUnprocessableEntity, "invalid", errNoTarget)
		return
	}
	offset, err := s.append(r.Context(), 0, record.TargetDrain{Target: req.Target, Undo: req.Undo, Actor: operatorOf(r)})
	if err != nil {
		writeAppendError(w, err)
		return
	}
	writeJSON(w, AppendReply{Offset: offset})
}

func (s *Server) drains(w http.ResponseWriter, _ *http.Request) {
	snapshot := s.Loop.Snapshot()
	out := []DrainStatus{}
	for id, since := range snapshot.Drains {
		out = append(out, DrainStatus{id, int64(since), snapshot.MayStop(s.Clock.Now(), id)})
	}
	writeJSON(w, out)
}

// Drain starts the drain of a target, or undoes it if req.Undo is set.
func (c *Client) Drain(ctx context.Context, req DrainRequest) (AppendReply, error) {
	var out AppendReply
	err := c.call(ctx, http.MethodPost, "/operator/drain", req, &out)
	return out, err
}

// Drains returns the targets that operators drain.
func (c *Client) Drains(ctx context.Context) ([]DrainStatus, error) {
	var out []DrainStatus
	err := c.call(ctx, http.MethodGet, "/operator/drain", nil, &out)
	return out, err
}
