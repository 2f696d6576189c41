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
	maxBodyBytes   = 64 << 20         // bytes
	forwardTimeout = 10 * time.Second // beyond the trainer's own wait, before it is told to ask again
)

// forwardCall carries a trainer's call to the holder of its lease.
type forwardCall struct {
	Trainer string         `cbor:"1,keyasint"`
	Submit  *SubmitRequest `cbor:"2,keyasint"`
	Next    *NextRequest   `cbor:"3,keyasint"`
}

// forwardReply is the holder's answer: a refusal, or a batch, or neither.
type forwardReply struct {
	Batch   *sample.Batch `cbor:"1,keyasint"`
	More    bool          `cbor:"2,keyasint"` // the batch goes on in further pages
	Refusal *Refusal      `cbor:"3,keyasint"`
}

// batchPage asks for the samples of the offered batch from index From on.
type batchPage struct {
	Trainer string `cbor:"1,keyasint"`
	Number  int64  `cbor:"2,keyasint"`
	From    int    `cbor:"3,keyasint"`
}

// Refusal is why a trainer's call was not carried out.
type Refusal struct {
	Status  int      `json:"-" cbor:"1,keyasint"` // of HTTP
	Code    string   `json:"code" cbor:"2,keyasint"`
	Message string   `json:"message" cbor:"3,keyasint"`
	Batch   int64    `json:"batch,omitempty" cbor:"4,keyasint"`
	Groups  []string `json:"groups,omitempty" cbor:"5,keyasint"` // to submit again
}

// Error implements error.
func (r *Refusal) Error() string { return r.Message }

// refusalCodes type the errors that a trainer can act on; the first match counts.
var refusalCodes = []struct {
	err    error
	status int
	code   string
}{
	{ErrUnknownTrainer, http.StatusNotFound, "unknown_trainer"},
	{errNoKey, http.StatusUnauthorized, "invalid_key"},
	{errOtherAccount, http.StatusForbidden, "not_allowed"},
	{sample.ErrGroupInvalid, http.StatusBadRequest, "invalid_group"},
	{sample.ErrBatchMismatch, http.StatusConflict, "batch_mismatch"},
	{sample.ErrGroupExists, http.StatusConflict, "group_exists"},
	{sample.ErrGroupsUnknown, http.StatusConflict, "groups_unknown"},
	{sample.ErrStepClosed, http.StatusGone, "step_closed"},
	{sample.ErrTooManyGroups, http.StatusTooManyRequests, "too_many_groups"},
}

func refusalOf(err error) *Refusal {
	var already *Refusal
	if errors.As(err, &already) {
		return already
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

func (r *Refusal) write(w http.ResponseWriter) {
	if r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(struct { // the trainer may be gone and asks again
		Error *Refusal `json:"error"`
	}{r})
}

// Handler serves trainers.
func (m *Manager) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/trainers/{trainer}/groups", func(w http.ResponseWriter, r *http.Request) {
		var req SubmitRequest
		m.serve(w, r, &req, forwardCall{Submit: &req})
	})
	mux.HandleFunc("POST /v1/trainers/{trainer}/next", func(w http.ResponseWriter, r *http.Request) {
		var req NextRequest
		m.serve(w, r, &req, forwardCall{Next: &req})
	})
	return mux
}

// serve checks the key, reads the body into in, and answers the call.
func (m *Manager) serve(w http.ResponseWriter, r *http.Request, in any, call forwardCall) {
	call.Trainer = r.PathValue("trainer")
	ctx, end, err := m.authorize(r, call.Trainer)
	if err != nil {
		refusalOf(err).write(w)
		return
	}
	defer end()
	data, err := listener.ReadBody(w, r, maxBodyBytes, listener.BodyTimeout)
	if err == nil {
		err = json.Unmarshal(data, in)
	}
	if err != nil {
		(&Refusal{Status: http.StatusBadRequest, Code: "invalid_body", Message: fmt.Sprintf("request body: %v", err)}).write(w)
		return
	}
	reply, err := m.route(ctx, call)
	if err == nil && context.Cause(ctx) != nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		refusalOf(err).write(w)
		return
	}
	if reply.Batch == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply.Batch) // the trainer may be gone and asks again
}

// route carries out the call here or at the holder of the trainer's lease.
func (m *Manager) route(ctx context.Context, call forwardCall) (forwardReply, error) {
	if _, held := m.Loop.Held(control.TrainerLease(call.Trainer), 0); held {
		return m.handleLocally(ctx, call)
	}
	address, err := m.leaseHolderAddress(call.Trainer)
	if err != nil {
		return forwardReply{}, err
	}
	wait := forwardTimeout
	if call.Next != nil {
		wait += min(time.Duration(call.Next.WaitMillis)*time.Millisecond, maxBatchWait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if call.Submit != nil {
		return forwardReply{}, m.forwardGroups(ctx, address, call.Trainer, call.Submit.Groups)
	}
	reply, err := m.forward(ctx, address, call)
	if err != nil {
		return reply, err
	}
	return reply, m.fetchRemainingPages(ctx, address, call.Trainer, &reply)
}

func (m *Manager) forward(ctx context.Context, address string, call forwardCall) (forwardReply, error) {
	var reply forwardReply
	if err := m.Peers.Call(ctx, address, peer.KindTrainer, call, &reply); err != nil {
		return reply, err
	}
	if reply.Refusal != nil {
		return reply, reply.Refusal
	}
	return reply, nil
}

// forwardGroups sends groups in messages that a session carries. A part that
// arrived when a later one did not is submitted again by the trainer, which is
// idempotent.
func (m *Manager) forwardGroups(ctx context.Context, address, trainer string, groups []sample.Group) error {
	for _, g := range groups {
		if len(g.Prompt) > sample.MaxPromptBytes {
			return fmt.Errorf("group %q with a prompt of %d bytes: %w", g.ID, len(g.Prompt), sample.ErrGroupInvalid)
		}
	}
	for _, page := range splitPages(sample.Snapshot{Groups: groups}) {
		call := forwardCall{Trainer: trainer, Submit: &SubmitRequest{Groups: page.Groups}}
		if _, err := m.forward(ctx, address, call); err != nil {
			return err
		}
	}
	return nil
}

// fetchRemainingPages fetches the pages that did not fit into the first answer.
func (m *Manager) fetchRemainingPages(ctx context.Context, address, trainer string, reply *forwardReply) error {
	for reply.More {
		ask := batchPage{Trainer: trainer, Number: reply.Batch.Number, From: len(reply.Batch.Samples)}
		var page forwardReply
		if err := m.Peers.Call(ctx, address, peer.KindBatchPage, ask, &page); err != nil {
			return err
		}
		if page.Batch == nil {
			return fmt.Errorf("trainer %q: batch %d changed meanwhile: %w", trainer, ask.Number, ErrNoOwner)
		}
		reply.Batch.Samples = append(reply.Batch.Samples, page.Batch.Samples...)
		reply.More = page.More
	}
	return nil
}

func (m *Manager) handleLocally(ctx context.Context, call forwardCall) (forwardReply, error) {
	t, err := m.trainerConfig(m.Loop.Snapshot(), call.Trainer)
	if err != nil {
		return forwardReply{}, err
	}
	if call.Submit != nil {
		return forwardReply{}, m.submit(ctx, t, *call.Submit)
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
	reply, err := m.handleLocally(ctx, call)
	if err != nil {
		return forwardReply{Refusal: refusalOf(err)}, nil
	}
	if reply.Batch != nil {
		reply = pageOf(reply.Batch, 0)
	}
	return reply, nil
}

// HandleBatchPage answers a peer that forwards a large batch.
func (m *Manager) HandleBatchPage(body []byte) (any, error) {
	ask, err := peer.Decode[batchPage](body)
	if err != nil {
		return nil, err
	}
	o, err := m.localOwner(ask.Trainer)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lastDelivered == nil || o.lastDelivered.Number != ask.Number || ask.From < 0 || ask.From > len(o.lastDelivered.Samples) {
		return forwardReply{}, nil
	}
	return pageOf(o.lastDelivered, ask.From), nil
}

// pageOf returns the samples from index from on that fit into one message.
func pageOf(b *sample.Batch, from int) forwardReply {
	size, to := 0, from
	for to < len(b.Samples) && (to == from || size < pageBytes) {
		s := &b.Samples[to]
		size += len(s.ID) + len(s.Prompt) + len(s.Text)
		to++
	}
	page := &sample.Batch{Number: b.Number, Samples: b.Samples[from:to]}
	return forwardReply{Batch: page, More: to < len(b.Samples)}
}
