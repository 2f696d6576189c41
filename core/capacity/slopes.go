package capacity

import "time"

// UnitCosts are measured costs of one unit each.
type UnitCosts struct {
	RequestCPU         time.Duration // entry: a request without its tokens, client and target included
	TokenCPU           time.Duration // entry: a relayed token event
	StreamBytes        float64       // entry: an open stream, heap and stacks
	AdmitCPU           time.Duration // a remote admission, both sides
	AdmitBytes         float64       // a remote admission: request, grant and finish
	QueueBytes         float64       // owner: a target's queue
	TargetBytes        float64       // every node: a target in the routing table
	KeyBytes           float64       // every node: a key in state and index
	KeyCheckpointBytes float64       // a key in a checkpoint
	LedgerBytes        float64       // a trainer's ledger, in memory and in a checkpoint
	RecordIDBytes      float64       // the record ids that are remembered
	RecentRecordBytes  float64       // records kept for peers
	RecordCPU          time.Duration // every node: a folded record
	RecordBytes        float64       // a record on the wire
	ClaimBytes         float64       // a claim to a non-repeatable request
	ClaimsRecordBytes  float64       // the record that carries claims
	HeartbeatCPU       time.Duration // every node: one peer's heartbeat, both directions, with loads and summaries
	HeartbeatBytes     float64       // the same on the wire
	ListEntryBytes     float64       // an instance or target in the platform's list
	UsageEntryBytes    float64       // an account's use of a service in a report
	TokenBytes         float64       // a token of a sample's text
	PlanCPU            time.Duration // controller: planning, per target
}

// DefaultUnitCosts are the slopes that docs/CAPACITY.md names the commands of.
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
		LedgerBytes:        72432,
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
