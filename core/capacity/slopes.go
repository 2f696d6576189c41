package capacity

import "time"

// Slopes are measured costs of one unit each.
type Slopes struct {
	RequestCPU   time.Duration // entry: a request without its tokens, client and target included
	TokenCPU     time.Duration // entry: a relayed token event
	StreamBytes  float64       // entry: an open stream, heap and stacks
	AdmitCPU     time.Duration // a remote admission, both sides
	AdmitBytes   float64       // a remote admission: request, grant and finish
	QueueBytes   float64       // owner: a target's queue
	TargetBytes  float64       // every node: a target in the routing table
	KeyBytes     float64       // every node: a key in state and index
	KeyEncoded   float64       // a key in a checkpoint
	LedgerBytes  float64       // a trainer's ledger, in memory and in a checkpoint
	IDBytes      float64       // the record ids that are remembered
	RecentBytes  float64       // records kept for peers
	RecordCPU    time.Duration // every node: a folded record
	RecordBytes  float64       // a record on the wire
	ClaimBytes   float64       // a claim to a non-repeatable request
	ClaimsBytes  float64       // the record that carries claims
	BeatCPU      time.Duration // every node: one peer's heartbeat, both directions, with loads and summaries
	BeatBytes    float64       // the same on the wire
	ListedBytes  float64       // an instance or target in the platform's list
	SubjectBytes float64       // an account's use of a service in a report
	TokenBytes   float64       // a token of a sample's text
	PlanCPU      time.Duration // controller: planning, per target
}

// Measured are the slopes that docs/CAPACITY.md names the commands of.
func Measured() Slopes {
	return Slopes{
		RequestCPU:   157 * time.Microsecond,
		TokenCPU:     20 * time.Microsecond,
		StreamBytes:  50 << 10,
		AdmitCPU:     101 * time.Microsecond,
		AdmitBytes:   266,
		QueueBytes:   11048,
		TargetBytes:  330,
		KeyBytes:     297,
		KeyEncoded:   77,
		LedgerBytes:  72432,
		IDBytes:      279 << 10,
		RecentBytes:  4 << 20,
		RecordCPU:    3080 * time.Nanosecond,
		RecordBytes:  200,
		ClaimBytes:   47,
		ClaimsBytes:  117,
		BeatCPU:      143 * time.Microsecond,
		BeatBytes:    212,
		ListedBytes:  250,
		SubjectBytes: 136,
		TokenBytes:   5,
		PlanCPU:      119 * time.Nanosecond,
	}
}
