package platform

import (
	"context"
	"net/http"
)

// ListedState is what the list says of an instance.
type ListedState string

// The states.
const (
	Live    ListedState = "live"
	Leaving ListedState = "leaving"
)

// ListedInstance is one instance of the system on the platform's list.
type ListedInstance struct {
	ID          string      `json:"id"`
	Incarnation int64       `json:"incarnation"` // start of the process, Unix nanoseconds
	DataCentre  string      `json:"dataCentre"`
	Address     string      `json:"address"`  // peers' listener, IP and port
	Operator    string      `json:"operator"` // operator listener's URL
	State       ListedState `json:"state"`
}

// ListReply is the body of GET /instances.
type ListReply struct {
	Instances []ListedInstance `json:"instances"`
}

// List is the client of the lagging list of instances.
type List struct{ client }

// NewList returns a client of the list at base, an HTTP URL.
func NewList(base string) *List { return &List{newClient(base)} }

// Instances returns the list as the platform last knew it.
func (l *List) Instances(ctx context.Context) ([]ListedInstance, error) {
	var reply ListReply
	err := l.call(ctx, http.MethodGet, "/instances", nil, &reply)
	return reply.Instances, err
}
