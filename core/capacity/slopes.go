package capacity

import "time"

// UnitCosts holds the cost of one unit of work or state, by kind. Comments name the role
// or the instances that have the cost.
type UnitCosts struct {
	RequestCPU         time.Duration // entry: a request without its tokens, including client and target
	TokenCPU           time.Duration // entry: a relayed token event
	StreamBytes        float64       // entry: an open stream, heap and stacks
	AdmitCPU           time.Duration // a remote admission, both sides
	AdmitBytes         float64       // a remote admission: request, grant and finish
	QueueBytes         float64       // owner: the queue of a target
	TargetBytes        float64       // every instance: a target in the routing table
	KeyBytes           float64       // every instance: a key, in the state and in its index
	KeyCheckpointBytes float64       // a key in a checkpoint
	DeliveryStateBytes float64       // the delivery state of a trainer, in memory and in a checkpoint
	RecordIDBytes      float64       // all retained record ids
	RecentRecordBytes  float64       // all recent records kept for peers
	RecordCPU          time.Duration // every instance: applying a log record
	RecordBytes        float64       // a record on the wire
	ClaimBytes         float64       // a claim of a non-repeatable request
	ClaimsRecordBytes  float64       // a claims record without its claims
	HeartbeatCPU       time.Duration // every instance: a peer's heartbeat in both directions, with loads and summaries
	HeartbeatBytes     float64       // such a heartbeat on the wire
	ListEntryBytes     float64       // an instance or target in the platform's list
	UsageEntryBytes    float64       // the use of a service by an account in a usage report
	TokenBytes         float64       // a token of a sample's output
	PlanCPU            time.Duration // controller: planning, per target
}

// DefaultUnitCosts returns the unit costs whose benchmark commands docs/CAPACITY.md lists.
func DefaultUnitCosts() UnitCosts {
	return UnitCosts{
		RequestCPU:         157 * time.Microsecond,
		TokenCPU:           20 * time.Microsecond,
		StreamBytes:        50 << 10,
		AdmitCPU:           101 * time.Microsecond,
		AdmitBytes:         266,
		QueueBytes:         11048,
		TargetBytes:        330,
		KeyBytes:           297,
		KeyCheckpointBytes: 77,
		DeliveryStateBytes: 72432,
		RecordIDBytes:      279 << 10,
		RecentRecordBytes:  4 << 20,
		RecordCPU:          3080 * time.Nanosecond,
		RecordBytes:        200,
		ClaimBytes:         47,
		ClaimsRecordBytes:  117,
		HeartbeatCPU:       143 * time.Microsecond,
		HeartbeatBytes:     212,
		ListEntryBytes:     250,
		UsageEntryBytes:    136,
		TokenBytes:         5,
		PlanCPU:            119 * time.Nanosecond,
	}
}
