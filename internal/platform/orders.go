package platform

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// TargetState is the platform's view of a target.
type TargetState string

// The states of a target.
const (
	TargetStarting TargetState = "starting"
	TargetRunning  TargetState = "running"
	TargetLeaving  TargetState = "leaving"
	TargetStopped  TargetState = "stopped"
)

// Order asks a data centre to start or stop one target.
type Order struct {
	ID       string    `json:"id"`     // idempotency key
	Action   string    `json:"action"` // start or stop
	Service  string    `json:"service"`
	Target   string    `json:"target,omitempty"` // for a stop
	Cheap    bool      `json:"cheap,omitempty"`
	Fencing  int64     `json:"fencing"`  // log offset of the lease's acquisition
	Holder   string    `json:"holder"`   // instance and incarnation
	NotAfter time.Time `json:"notAfter"` // refused when received later
}

// OrderReply names the target that the order concerns.
type OrderReply struct {
	Target string `json:"target"`
}

// Target is a target as the order interface lists it.
type Target struct {
	ID         string      `json:"id" cbor:"1,keyasint"`
	OrderID    string      `json:"orderId" cbor:"2,keyasint"` // order that started it
	Service    string      `json:"service" cbor:"3,keyasint"`
	DataCentre string      `json:"dataCentre" cbor:"4,keyasint"`
	URL        string      `json:"url" cbor:"5,keyasint"`
	Cheap      bool        `json:"cheap" cbor:"6,keyasint"`
	State      TargetState `json:"state" cbor:"7,keyasint"`
}

// TargetsReply is the body of GET /dc/{dc}/targets.
type TargetsReply struct {
	Targets []Target `json:"targets"`
}

// Orders is the client of one data centre's order interface.
type Orders struct {
	client
	dataCentre string
}

// NewOrders returns a client of the order interface at base for a data centre.
func NewOrders(base, dataCentre string) *Orders { return &Orders{newClient(base), dataCentre} }

func (o *Orders) path(tail string) string { return "/dc/" + url.PathEscape(o.dataCentre) + tail }

// Send sends the order. Sending one id again returns the first answer. An error
// that wraps ErrUnavailable leaves the outcome unknown; see Targets.
func (o *Orders) Send(ctx context.Context, order Order) (OrderReply, error) {
	return o.SendIf(ctx, order, nil)
}

// SendIf is Send with a check that runs on the open connection, right before the
// order's first byte leaves. If the check fails nothing is sent and the error
// wraps ErrHeldBack and the check's error.
func (o *Orders) SendIf(ctx context.Context, order Order, check Check) (OrderReply, error) {
	var reply OrderReply
	err := o.callIf(ctx, http.MethodPost, o.path("/orders"), order, &reply, check)
	return reply, err
}

// Targets lists the data centre's targets that are not stopped.
func (o *Orders) Targets(ctx context.Context) ([]Target, error) {
	var reply TargetsReply
	err := o.call(ctx, http.MethodGet, o.path("/targets"), nil, &reply)
	return reply.Targets, err
}
