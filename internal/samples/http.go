package samples

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/amaranthfold/amaranthfold/core/sample"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/listener"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

const (
	maxBodyBytes = 64 << 20

	// forwardTimeout limits a forwarded call, in addition to the wait that the trainer
	// requests. When it expires, the trainer receives 503 with Retry-After.
	forwardTimeout = 10 * time.Second
)

// trainerCall is a trainer's call. The holder of the trainer's lease runs it; any other
// instance forwards it to the holder. Exactly one of Submit and Next is set.
type trainerCall struct {
	Trainer string         `cbor:"1,keyasint"`
	Submit  *SubmitRequest `cbor:"2,keyasint"`
	Next    *NextRequest   `cbor:"3,keyasint"`
}

// trainerReply is the lease holder's reply to a trainerCall. Refusal is set if the call
// failed. Batch is nil for a submission, and if no batch was ready in time.
type trainerReply struct {
	Batch   *sample.Batch `cbor:"1,keyasint"`
	More    bool          `cbor:"2,keyasint"` // further pages of the batch follow
	Refusal *Refusal      `cbor:"3,keyasint"`
}

// batchPageRequest requests the samples of the last delivered batch from index From on.
type batchPageRequest struct {
	Trainer string `cbor:"1,keyasint"`
	Number  int64  `cbor:"2,keyasint"`
	From    int    `cbor:"3,keyasint"`
}

// Refusal is the error response to a trainer's call. The call may have taken effect in
// part; trainers repeat it, which is idempotent.
type Refusal struct {
	Status  int      `json:"-" cbor:"1,keyasint"` // HTTP status
	Code    string   `json:"code" cbor:"2,keyasint"`
	Message string   `json:"message" cbor:"3,keyasint"`
	Batch   int64    `json:"batch,omitempty" cbor:"4,keyasint"`
	Groups  []string `json:"groups,omitempty" cbor:"5,keyasint"` // ids of the groups to submit again
}

// Error implements error.
func (r *Refusal) Error() string { return r.Message }

// refusalCodes maps errors to the HTTP status and code of the response. The first match
// applies; any other error is 503 "unavailable".
var refusalCodes = []struct {
	err    error
	status int
	code   string
}{
	{ErrUnknownTrainer, http.StatusNotFound, "unknown_trainer"},
	{errKeyNotGranted, http.StatusUnauthorized, "invalid_key"},
	{errWrongAccount, http.StatusForbidden, "not_allowed"},
	{sample.ErrGroupInvalid, http.StatusBadRequest, "invalid_group"},
	{sample.ErrBatchMismatch, http.StatusConflict, "batch_mismatch"},
	{sample.ErrGroupExists, http.StatusConflict, "group_exists"},
	{sample.ErrGroupsUnknown, http.StatusConflict, "groups_unknown"},
	{sample.ErrStepClosed, http.StatusGone, "step_closed"},
	{sample.ErrTooManyGroups, http.StatusTooManyRequests, "too_many_groups"},
}

// refusalFrom returns the refusal for an error. A *Refusal that err wraps, as received
// from the lease holder, is returned unchanged.
func refusalFrom(err error) *Refusal {
	var existing *Refusal
	if errors.As(err, &existing) {
		return existing
	}
	out := &Refusal{Status: http.StatusServiceUnavailable, Code: "unavailable", Message: err.Error()}
	for _, r := range refusalCodes {
		if errors.Is(err, r.err) {
			out.Status, out.Code = r.status, r.code
			break
		}
	}
	var unknown *sample.GroupsUnknownError
	if errors.As(err, &unknown) {
		out.Batch, out.Groups = unknown.Batch, unknown.Groups
	}
	return out
}

// write writes the refusal as an HTTP response, with Retry-After if the call may succeed
// later.
func (r *Refusal) write(w http.ResponseWriter) {
	if r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(struct { // the trainer may have disconnected; it retries
		Error *Refusal `json:"error"`
	}{r})
}

// Handler returns the HTTP handler for trainers. Any instance accepts a trainer's calls
// and forwards them to the holder of the trainer's lease.
func (m *Manager) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/trainers/{trainer}/groups", func(w http.ResponseWriter, r *http.Request) {
		var req SubmitRequest
		m.serve(w, r, &req, trainerCall{Submit: &req})
	})
	mux.HandleFunc("POST /v1/trainers/{trainer}/next", func(w http.ResponseWriter, r *http.Request) {
		var req NextRequest
		m.serve(w, r, &req, trainerCall{Next: &req})
	})
	return mux
}

// serve checks the key, decodes the body into req, runs the call and writes the response:
// the batch, 204 if there is none, or a refusal. req must be the pointer that call holds in
// Submit or Next.
func (m *Manager) serve(w http.ResponseWriter, r *http.Request, req any, call trainerCall) {
	call.Trainer = r.PathValue("trainer")
	ctx, stopKeyChecks, err := m.authorize(r, call.Trainer)
	if err != nil {
		refusalFrom(err).write(w)
		return
	}
	defer stopKeyChecks()
	data, err := listener.ReadBody(w, r, maxBodyBytes, listener.BodyTimeout)
	if err == nil {
		err = json.Unmarshal(data, req)
	}
	if err != nil {
		(&Refusal{Status: http.StatusBadRequest, Code: "invalid_body", Message: fmt.Sprintf("request body: %v", err)}).write(w)
		return
	}
	reply, err := m.callOwner(ctx, call)
	if err == nil && context.Cause(ctx) != nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		refusalFrom(err).write(w)
		return
	}
	if reply.Batch == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply.Batch) // the trainer may have disconnected; it retries
}

// callOwner runs the call on this instance if it holds the trainer's lease, otherwise it
// forwards the call to the lease holder.
func (m *Manager) callOwner(ctx context.Context, call trainerCall) (trainerReply, error) {
	if _, held := m.Loop.Held(control.TrainerLease(call.Trainer), 0); held {
		return m.handleLocally(ctx, call)
	}
	address, err := m.leaseHolderAddress(call.Trainer)
	if err != nil {
		return trainerReply{}, err
	}
	timeout := forwardTimeout
	if call.Next != nil {
		timeout += min(time.Duration(call.Next.WaitMillis)*time.Millisecond, maxBatchWait)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if call.Submit != nil {
		return trainerReply{}, m.forwardGroups(ctx, address, call.Trainer, call.Submit.Groups)
	}
	reply, err := m.forward(ctx, address, call)
	if err != nil {
		return reply, err
	}
	return reply, m.fetchRemainingPages(ctx, address, call.Trainer, &reply)
}

// forward sends one call to the lease holder. A refusal is returned as the error.
func (m *Manager) forward(ctx context.Context, address string, call trainerCall) (trainerReply, error) {
	var reply trainerReply
	if err := m.Peers.Call(ctx, address, peer.KindTrainer, call, &reply); err != nil {
		return reply, err
	}
	if reply.Refusal != nil {
		return reply, reply.Refusal
	}
	return reply, nil
}

// forwardGroups sends the groups in pages that stay below the peer message limit. After
// a partial failure the trainer submits all groups again, which is idempotent.
func (m *Manager) forwardGroups(ctx context.Context, address, trainer string, groups []sample.Group) error {
	for _, g := range groups {
		if len(g.Prompt) > sample.MaxPromptBytes {
			return fmt.Errorf("group %q with a prompt of %d bytes: %w", g.ID, len(g.Prompt), sample.ErrGroupInvalid)
		}
	}
	for _, page := range splitPages(sample.Snapshot{Groups: groups}) {
		call := trainerCall{Trainer: trainer, Submit: &SubmitRequest{Groups: page.Groups}}
		if _, err := m.forward(ctx, address, call); err != nil {
			return err
		}
	}
	return nil
}

// fetchRemainingPages appends the samples that did not fit into the first reply. It
// fails if the lease holder has delivered another batch meanwhile.
func (m *Manager) fetchRemainingPages(ctx context.Context, address, trainer string, reply *trainerReply) error {
	for reply.More {
		req := batchPageRequest{Trainer: trainer, Number: reply.Batch.Number, From: len(reply.Batch.Samples)}
		var page trainerReply
		if err := m.Peers.Call(ctx, address, peer.KindBatchPage, req, &page); err != nil {
			return err
		}
		if page.Batch == nil {
			return fmt.Errorf("trainer %q: batch %d changed meanwhile: %w", trainer, req.Number, ErrNoOwner)
		}
		reply.Batch.Samples = append(reply.Batch.Samples, page.Batch.Samples...)
		reply.More = page.More
	}
	return nil
}

// handleLocally runs the call on this instance. It fails with ErrNoOwner if the instance
// does not hold the trainer's lease.
func (m *Manager) handleLocally(ctx context.Context, call trainerCall) (trainerReply, error) {
	t, err := m.trainerConfig(m.Loop.Snapshot(), call.Trainer)
	if err != nil {
		return trainerReply{}, err
	}
	if call.Submit != nil {
		return trainerReply{}, m.submit(ctx, t, *call.Submit)
	}
	if call.Next == nil {
		return trainerReply{}, errors.New("trainer's call is empty")
	}
	batch, err := m.next(ctx, call.Trainer, *call.Next)
	return trainerReply{Batch: batch}, err
}

// HandleForward runs a call that a peer forwarded and returns the reply. It never
// forwards the call again.
func (m *Manager) HandleForward(ctx context.Context, body []byte) (any, error) {
	call, err := peer.Decode[trainerCall](body)
	if err != nil {
		return nil, err
	}
	reply, err := m.handleLocally(ctx, call)
	if err != nil {
		return trainerReply{Refusal: refusalFrom(err)}, nil
	}
	if reply.Batch != nil {
		reply = batchPageFrom(reply.Batch, 0)
	}
	return reply, nil
}

// HandleBatchPage returns a page of the last delivered batch to the peer that forwards it
// to the trainer. The reply has no batch if another batch has been delivered since.
func (m *Manager) HandleBatchPage(body []byte) (any, error) {
	req, err := peer.Decode[batchPageRequest](body)
	if err != nil {
		return nil, err
	}
	o, err := m.localOwner(req.Trainer)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lastDelivered == nil || o.lastDelivered.Number != req.Number || req.From < 0 || req.From > len(o.lastDelivered.Samples) {
		return trainerReply{}, nil
	}
	return batchPageFrom(o.lastDelivered, req.From), nil
}

// batchPageFrom returns the samples from index from on that fit into one peer message,
// at least one if any is left.
func batchPageFrom(b *sample.Batch, from int) trainerReply {
	size, to := 0, from
	for to < len(b.Samples) && (to == from || size < pageBytes) {
		s := &b.Samples[to]
		size += len(s.ID) + len(s.Prompt) + len(s.Text)
		to++
	}
	page := &sample.Batch{Number: b.Number, Samples: b.Samples[from:to]}
	return trainerReply{Batch: page, More: to < len(b.Samples)}
}
