package samples

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/amaranthfold/amaranthfold/core/sample"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

const maxBody = 64 << 20 // bytes

// forwardCall carries a trainer's call to the holder of its lease.
type forwardCall struct {
	Trainer string         `cbor:"1,keyasint"`
	Submit  *SubmitRequest `cbor:"2,keyasint"`
	Next    *NextRequest   `cbor:"3,keyasint"`
}

type forwardReply struct {
	Batch *sample.Batch `cbor:"1,keyasint"`
}

// Handler serves trainers.
func (m *Manager) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/trainers/{trainer}/groups", func(w http.ResponseWriter, r *http.Request) {
		var req SubmitRequest
		if readJSON(w, r, &req) {
			m.respond(w, r, forwardCall{Trainer: r.PathValue("trainer"), Submit: &req})
		}
	})
	mux.HandleFunc("POST /v1/trainers/{trainer}/next", func(w http.ResponseWriter, r *http.Request) {
		var req NextRequest
		if readJSON(w, r, &req) {
			m.respond(w, r, forwardCall{Trainer: r.PathValue("trainer"), Next: &req})
		}
	})
	return mux
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(data, v)
	}
	if err != nil {
		http.Error(w, fmt.Sprintf("request body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

func (m *Manager) respond(w http.ResponseWriter, r *http.Request, call forwardCall) {
	reply, err := m.route(r.Context(), call)
	if err != nil {
		status := statusOf(err)
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", "1")
		}
		http.Error(w, err.Error(), status)
		return
	}
	if reply.Batch == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply.Batch) // the trainer may be gone and asks again
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrUnknownTrainer):
		return http.StatusNotFound
	case errors.Is(err, ErrBadBatch), errors.Is(err, sample.ErrGroupExists):
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

// route carries out the call here or at the holder of the trainer's lease.
func (m *Manager) route(ctx context.Context, call forwardCall) (forwardReply, error) {
	if _, held := m.Loop.Held(control.TrainerLease(call.Trainer), 0); held {
		return m.carryOut(ctx, call)
	}
	if _, _, err := m.local(call.Trainer); errors.Is(err, ErrUnknownTrainer) {
		return forwardReply{}, err
	}
	address, err := m.holder(call.Trainer)
	if err != nil {
		return forwardReply{}, err
	}
	var reply forwardReply
	err = m.Peers.Call(ctx, address, peer.KindTrainer, call, &reply)
	return reply, err
}

func (m *Manager) carryOut(ctx context.Context, call forwardCall) (forwardReply, error) {
	if call.Submit != nil {
		return forwardReply{}, m.submit(call.Trainer, *call.Submit)
	}
	if call.Next == nil {
		return forwardReply{}, errors.New("trainer's call is empty")
	}
	batch, err := m.next(ctx, call.Trainer, *call.Next)
	return forwardReply{Batch: batch}, err
}

// HandleForward answers a call that a peer forwarded. It never forwards again.
func (m *Manager) HandleForward(ctx context.Context, body []byte) (any, error) {
	call, err := peer.Decode[forwardCall](body)
	if err != nil {
		return nil, err
	}
	return m.carryOut(ctx, call)
}
