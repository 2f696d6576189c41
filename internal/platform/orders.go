package platform

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// TargetState is the state of a target on the platform.
type TargetState string

// The states of a target.
const (
	TargetStarting TargetState = "starting"
	TargetRunning  TargetState = "running"
	TargetLeaving  TargetState = "leaving"
	TargetStopped  TargetState = "stopped"
)

// Order is an order to start or stop one target in a data centre. Cheap targets are spot
// capacity: they can be reclaimed with their whole data centre at short notice.
type Order struct {
	ID       string    `json:"id"`     // idempotency key
	Action   string    `json:"action"` // start or stop
	Service  string    `json:"service"`
	Target   string    `json:"target,omitempty"` // for a stop
	Cheap    bool      `json:"cheap,omitempty"`
	Fencing  int64     `json:"fencing"`  // log offset of the lease's acquisition
	Holder   string    `json:"holder"`   // instance and incarnation
	NotAfter time.Time `json:"notAfter"` // rejected when received later
}

// OrderReply contains the target that the order starts or stops.
type OrderReply struct {
	Target string `json:"target"`
}

// Target is a target in a list of the order interface.
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

func (o *Orders) path(suffix string) string { return "/dc/" + url.PathEscape(o.dataCentre) + suffix }

// Send sends the order. An id that was executed before returns the first reply again. If
// the error wraps ErrUnavailable, the outcome is unknown; Targets lists the effect, if
// any.
func (o *Orders) Send(ctx context.Context, order Order) (OrderReply, error) {
	return o.SendIf(ctx, order, nil)
}

// SendIf is Send with a check that runs on the open connection, right before the
// order's first byte is sent. If the check fails, nothing is sent and the error wraps
// ErrNotSent and the check's error.
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
