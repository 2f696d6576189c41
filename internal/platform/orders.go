package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

// TargetState is the state of a target as the platform reports it.
type TargetState string

// States of a target.
const (
	TargetStarting TargetState = "starting"
	TargetRunning  TargetState = "running"
	TargetLeaving  TargetState = "leaving" // will be reclaimed
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
	Fencing  int64     `json:"fencing"`  // log offset at which the lease was acquired
	Holder   string    `json:"holder"`   // lease holder: instance and incarnation
	NotAfter time.Time `json:"notAfter"` // rejected when received later
}

// OrderReply contains the id of the target that the order starts or stops.
type OrderReply struct {
	Target string `json:"target"`
}

// Target is a target as the order interface lists it.
type Target struct {
	ID         string      `json:"id" cbor:"1,keyasint"`
	OrderID    string      `json:"orderId" cbor:"2,keyasint"` // id of the order that started it
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

// Send sends the order. If an order with this id was executed before, it is not executed
// again, and the reply is the first one. If the error wraps ErrUnavailable, the outcome is
// unknown; Targets shows whether the order took effect.
func (o *Orders) Send(ctx context.Context, order Order) (OrderReply, error) {
	return o.SendIf(ctx, order, nil)
}

// SendIf is Send with a check that runs once the connection is open, right before the
// first byte is sent. If the check fails, nothing is sent, and the error wraps ErrNotSent
// and the check's error.
func (o *Orders) SendIf(ctx context.Context, order Order, check Check) (OrderReply, error) {
	var reply OrderReply
	err := o.callIf(ctx, http.MethodPost, o.path("/orders"), order, &reply, check)
	return reply, err
}

// Targets lists the data centre's targets that are not stopped. With an *UnreadableError it
// returns those that can be used.
func (o *Orders) Targets(ctx context.Context) ([]Target, error) {
	var reply struct {
		Targets []json.RawMessage `json:"targets"`
	}
	if err := o.call(ctx, http.MethodGet, o.path("/targets"), nil, &reply); err != nil {
		return nil, err
	}
	return decodeEntries(reply.Targets, func(t Target) string { return t.ID })
}
