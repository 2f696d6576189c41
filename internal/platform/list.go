package platform

import (
	"context"
	"net/http"
)

// InstanceState is what the list says of an instance.
type InstanceState string

// The states.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// ListedInstance is one instance of the system on the platform's list.
type ListedInstance struct {
	ID          string        `json:"id"`
	Incarnation int64         `json:"incarnation"` // start of the process, Unix nanoseconds
	DataCentre  string        `json:"dataCentre"`
	Address     string        `json:"address"`  // peers' listener, IP and port
	Operator    string        `json:"operator"` // operator listener's URL
	State       InstanceState `json:"state"`
}

// InstancesReply is the body of GET /instances.
type InstancesReply struct {
	Instances []ListedInstance `json:"instances"`
}

// InstanceList is the client of the lagging list of instances.
type InstanceList struct{ client }

// NewInstanceList returns a client of the list at base, an HTTP URL.
func NewInstanceList(base string) *InstanceList { return &InstanceList{newClient(base)} }

// Instances returns the list as the platform last knew it.
func (l *InstanceList) Instances(ctx context.Context) ([]ListedInstance, error) {
	var reply InstancesReply
	err := l.call(ctx, http.MethodGet, "/instances", nil, &reply)
	return reply.Instances, err
}
