package platform

import (
	"context"
	"encoding/json"
	"net/http"
)

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// ListedInstance is an entry of the platform's list of instances.
type ListedInstance struct {
	ID          string        `json:"id"`
	Incarnation int64         `json:"incarnation"` // start of the process, Unix nanoseconds
	DataCentre  string        `json:"dataCentre"`
	Address     string        `json:"address"`  // listener for peers, IP and port
	Operator    string        `json:"operator"` // URL of the operator listener
	State       InstanceState `json:"state"`
}

// InstancesReply is the body of GET /instances.
type InstancesReply struct {
	Instances []ListedInstance `json:"instances"`
}

// InstanceList is the client of the platform's list of instances. The list is
// eventually consistent: an entry may be missing or stale, and a change may become
// visible late.
type InstanceList struct{ client }

// NewInstanceList returns a client of the list at base, an HTTP URL.
func NewInstanceList(base string) *InstanceList { return &InstanceList{newClient(base)} }

// Instances returns the list's current entries. With an *UnreadableError it returns those that
// can be used.
func (l *InstanceList) Instances(ctx context.Context) ([]ListedInstance, error) {
	var reply struct {
		Instances []json.RawMessage `json:"instances"`
	}
	if err := l.call(ctx, http.MethodGet, "/instances", nil, &reply); err != nil {
		return nil, err
	}
	return decodeEntries(reply.Instances, func(i ListedInstance) string { return i.ID })
}
