// Package operator serves the HTTP interface for operators, on a listener of its own, and
// has a client for it. Operators apply configurations, grant and withdraw client
// accounts' keys, drain targets, and read the instance's status, events, measures and
// metrics.
//
// Every request needs an operator's key. A change is a record that is appended to the
// log; its reply is sent once the record has been read back and applied. When the log
// does not show the record in time, the outcome is unknown: the change may still take
// effect. Status and lists show the state of the instance that serves them, which may be
// outdated.
package operator

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/listener"
	"github.com/amaranthfold/amaranthfold/internal/measure"
)

const (
	maxBodyBytes  = 1 << 20
	appendTimeout = 10 * time.Second
	keyBytes      = 32 // random bytes of a client account's key
)

// Options holds the dependencies of a Server and the operators' keys.
type Options struct {
	Loop     *control.Loop
	Clock    clock.Clock
	Events   *events.Recorder
	Measures *measure.Measures // nil: none
	Keys     []Key             // of the operators who may use the interface
}

// Server serves the HTTP interface for operators.
type Server struct {
	Options
	gauges *metrics.Set
}

// New returns a server without a listener; Handler returns its HTTP handler.
func New(o Options) *Server { return &Server{Options: o, gauges: newGauges(o)} }

// ApplyRequest replaces the configuration by a compare-and-set on its log offset.
type ApplyRequest struct {
	YAML string `json:"yaml"` // the complete configuration, overlays merged into the base
	// Supersedes is the expected offset of the configuration in effect: the one that the
	// operator has read. If the log has another one, the request fails with code
	// "conflict". Absent: the offset of the configuration in effect at this instance.
	Supersedes *int64 `json:"supersedes,omitempty"`
}

// ConfigReply is the configuration in effect.
type ConfigReply struct {
	Offset int64  `json:"offset"` // log offset; zero: none has been applied
	YAML   string `json:"yaml"`
}

// AppendReply holds the log offset of the record that a change appended.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// GrantRequest requests a new key for a client account.
type GrantRequest struct {
	Account string `json:"account"`
}

// GrantReply holds the new key, which cannot be read again: the log has its digest only.
type GrantReply struct {
	Account string `json:"account"`
	KeyID   string `json:"keyId"`
	Key     string `json:"key"`
	Offset  int64  `json:"offset"`
}

// WithdrawRequest withdraws a key of a client account.
type WithdrawRequest struct {
	Account string `json:"account"`
	KeyID   string `json:"keyId"`
}

// KeyStatus is a granted key, without its secret.
type KeyStatus struct {
	Account     string `json:"account"`
	KeyID       string `json:"keyId"`
	GrantOffset int64  `json:"granted"` // log offset of the grant
}

// Status is the state of the deployment as one instance has it.
type Status struct {
	Instance     string         `json:"instance"`
	DataCentre   string         `json:"dataCentre"`
	Offset       int64          `json:"offset"`
	ConfigOffset int64          `json:"configOffset"`
	Fresh        bool           `json:"fresh"`
	Halted       string         `json:"halted,omitempty"` // why the instance has stopped its control roles; empty: it has not
	Owners       []string       `json:"owners"`           // ids of the instances that may own targets
	Peers        []PeerStatus   `json:"peers"`
	Leases       []LeaseStatus  `json:"leases"`
	Targets      []TargetStatus `json:"targets"`
}

// PeerStatus is a peer as the instance observes it.
type PeerStatus struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Operator   string `json:"operator"`
	Offset     int64  `json:"offset"`
	Suspect    bool   `json:"suspect"`
	Leaving    bool   `json:"leaving"`
	Halted     string `json:"halted,omitempty"` // why its control roles have stopped
	Stale      bool   `json:"stale,omitempty"`  // its state may be outdated: it cannot prove that it has read the log's end
}

// LeaseStatus is a lease as set by its last accepted record.
type LeaseStatus struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	Term   int64  `json:"term"` // fencing number of the acquisition
}

// TargetStatus is a target in the instance's routing table.
type TargetStatus struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
	Owner      string `json:"owner"` // id of the instance that owns the target
	Version    int64  `json:"version"`
	Load       int    `json:"load"`
	Leaving    bool   `json:"leaving"`
	Cheap      bool   `json:"cheap"` // spot: can be reclaimed with its whole data centre at short notice
}

// ErrorResponse is the body of a response whose status is not 200.
type ErrorResponse struct {
	Error string `json:"error"`
	Code  string `json:"code"` // conflict, invalid, unauthorized, none, unknown
}

// Handler returns the handler of operators' requests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /operator/status", s.status)
	mux.HandleFunc("GET /operator/config", s.config)
	mux.HandleFunc("POST /operator/config", s.apply)
	mux.HandleFunc("GET /operator/keys", s.listKeys)
	mux.HandleFunc("POST /operator/keys/grant", s.grant)
	mux.HandleFunc("POST /operator/keys/withdraw", s.withdraw)
	mux.HandleFunc("GET /operator/events", s.events)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /operator/measures", s.measures)
	mux.HandleFunc("GET /operator/drain", s.drains)
	mux.HandleFunc("POST /operator/drain", s.drain)
	return s.authenticated(mux)
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	var req ApplyRequest
	if !readJSON(w, r, &req) {
		return
	}
	if _, err := config.Load(config.File{Name: "config", Content: []byte(req.YAML)}); err != nil {
		writeError(w, http.StatusUnprocessableEntity, "invalid", err)
		return
	}
	supersedes := s.Loop.Snapshot().ConfigOffset
	if req.Supersedes != nil {
		supersedes = record.Offset(*req.Supersedes)
	}
	offset, err := s.append(r.Context(), supersedes, record.Config{YAML: []byte(req.YAML), Actor: operatorOf(r)})
	if err != nil {
		writeAppendError(w, err)
		return
	}
	s.Events.Record("configuration applied", events.F("offset", strconv.FormatInt(offset, 10)), events.F("actor", operatorOf(r)))
	writeJSON(w, AppendReply{Offset: offset})
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var req GrantRequest
	if !readJSON(w, r, &req) {
		return
	}
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // never fails
	key := "amk-" + base64.RawURLEncoding.EncodeToString(secret)
	id := uuid.NewString()[:8]
	body := record.KeyGrant{KeyID: id, Account: req.Account, Digest: sha256.Sum256([]byte(key))}
	offset, err := s.append(r.Context(), 0, body)
	if err != nil {
		writeAppendError(w, err)
		return
	}
	s.Events.Record("key granted", events.F("account", req.Account), events.F("keyId", id), events.F("actor", operatorOf(r)))
	writeJSON(w, GrantReply{Account: req.Account, KeyID: id, Key: key, Offset: offset})
}

func (s *Server) withdraw(w http.ResponseWriter, r *http.Request) {
	var req WithdrawRequest
	if !readJSON(w, r, &req) {
		return
	}
	offset, err := s.append(r.Context(), 0, record.KeyWithdraw{KeyID: req.KeyID, Account: req.Account})
	if err != nil {
		writeAppendError(w, err)
		return
	}
	s.Events.Record("key withdrawn", events.F("account", req.Account), events.F("keyId", req.KeyID), events.F("actor", operatorOf(r)))
	writeJSON(w, AppendReply{Offset: offset})
}

func (s *Server) listKeys(w http.ResponseWriter, r *http.Request) {
	account := r.FormValue("account")
	out := []KeyStatus{}
	for k := range s.Loop.Snapshot().Keys.All() {
		if account == "" || k.Account == account {
			out = append(out, KeyStatus{k.Account, k.ID, int64(k.Granted)})
		}
	}
	slices.SortFunc(out, func(a, b KeyStatus) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.GrantOffset, b.GrantOffset))
	})
	writeJSON(w, out)
}

// append appends a record and returns its offset once it has been read back and applied.
// supersedes is the expected offset for a compare-and-set, zero for records without one.
func (s *Server) append(ctx context.Context, supersedes record.Offset, body record.Body) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	res, err := s.Loop.Append(ctx, supersedes, body)
	return int64(res.Offset), err
}

func (s *Server) config(w http.ResponseWriter, _ *http.Request) {
	snapshot := s.Loop.Snapshot()
	if snapshot.Config == nil {
		writeError(w, http.StatusNotFound, "none", errors.New("no configuration has been applied"))
		return
	}
	data, err := config.Marshal(snapshot.Config)
	if err != nil {
		writeError(w, http.StatusInternalServerError, "unknown", err)
		return
	}
	writeJSON(w, ConfigReply{int64(snapshot.ConfigOffset), string(data)})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	snapshot := s.Loop.Snapshot()
	out := Status{
		Instance: snapshot.Self.ID, DataCentre: snapshot.Self.DataCentre,
		Offset: int64(snapshot.Offset), ConfigOffset: int64(snapshot.ConfigOffset), Owners: snapshot.Owners,
		Halted: snapshot.Halted,
	}
	for _, p := range snapshot.Peers {
		health := snapshot.PeerHealth[p.ID]
		out.Peers = append(out.Peers, PeerStatus{p.ID, p.DataCentre, p.Operator, p.Offset, p.Suspect, p.Leaving, health.Halted, health.Stale})
	}
	for _, l := range snapshot.Leases {
		out.Leases = append(out.Leases, LeaseStatus{l.Name, l.Holder, int64(l.Term)})
	}
	if cfg := snapshot.Config; cfg != nil {
		out.Fresh = snapshot.Fresh(s.Clock.Now(), cfg.Control.FreshFor)
		for _, service := range cfg.Services {
			for _, t := range snapshot.RoutingTable.Targets(service.Name) {
				out.Targets = append(out.Targets, TargetStatus{t.ID, t.Service, t.DataCentre, t.Owner, t.Version, t.Load, t.Unavailable, t.Cheap})
			}
		}
	}
	writeJSON(w, out)
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.FormValue("since"), 10, 64)
	if err != nil && r.FormValue("since") != "" {
		writeError(w, http.StatusBadRequest, "invalid", fmt.Errorf("since is %q, want a number", r.FormValue("since")))
		return
	}
	writeJSON(w, s.Events.Since(since))
}

// readJSON decodes the request's body into v. If that fails, it responds with status 400
// and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := listener.ReadBody(w, r, maxBodyBytes, listener.BodyTimeout)
	if err == nil {
		err = json.Unmarshal(data, v)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid", fmt.Errorf("request body: %w", err))
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the operator may have disconnected
}

// writeAppendError responds with the error of an append: a conflict, an invalid record, or
// an unknown outcome.
func writeAppendError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, control.ErrConflict):
		writeError(w, http.StatusConflict, "conflict", err)
	case errors.Is(err, control.ErrMalformed):
		writeError(w, http.StatusUnprocessableEntity, "invalid", err)
	default:
		writeError(w, http.StatusGatewayTimeout, "unknown", err)
	}
}

func writeError(w http.ResponseWriter, status int, code string, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(ErrorResponse{Error: err.Error(), Code: code}) // the operator may have disconnected
}
