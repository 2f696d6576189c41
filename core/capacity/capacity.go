// Package capacity works out what each role costs a node at a given size, from
// slopes that benchmarks measured. docs/CAPACITY.md names the command behind
// each slope.
package capacity

import "time"

// Size describes a deployment.
type Size struct {
	Instances            int
	Regions              int
	DataCentres          int
	Engines              int
	Accounts             int
	Keys                 int
	RequestsPerSecond    float64
	TokensPerSecond      float64
	StreamSeconds        float64 // a stream's life
	RemoteAdmissionShare float64 // part of the requests whose target another node owns
	NonRepeatableShare   float64 // part of the requests
	Trainers             int
	SamplesPerStep       int
	TokensPerSample      int
	StepDuration         time.Duration
	ChangesPerDay        float64
	OrdersPerDay         float64
	Heartbeat            time.Duration
	LeaseTerm            time.Duration
	UsageWindow          time.Duration
	LoadInterval         time.Duration // between two load reports of a target
	CheckpointInterval   time.Duration // between two checkpoints
	SubjectsPerInstance  int           // accounts and services that a node counts use for in a window
	ReadersPerDataCentre int           // nodes of a data centre that read the log themselves
}

// DesignSize is the size that the users named for two years from now. What they
// left open (stream lengths, keys, timing) is set to today's ratios.
func DesignSize() Size {
	return Size{
		Instances: 1700, Regions: 7, DataCentres: 27, Engines: 12000, Accounts: 1000, Keys: 4000,
		RequestsPerSecond: 26000, TokensPerSecond: 7.7e6, StreamSeconds: 10, RemoteAdmissionShare: 1, NonRepeatableShare: 0.02,
		Trainers: 17, SamplesPerStep: 2048, TokensPerSample: 2000, StepDuration: 24 * time.Minute,
		ChangesPerDay: 8900, OrdersPerDay: 10 * 2600,
		Heartbeat: 2 * time.Second, LeaseTerm: 12 * time.Second, UsageWindow: time.Minute,
		LoadInterval: time.Second, CheckpointInterval: 450 * time.Second, SubjectsPerInstance: 16, ReadersPerDataCentre: 3,
	}
}

// Role is what one role costs the node that holds it.
type Role struct {
	Name       string  `json:"role"`
	Holders    int     `json:"holders"`          // nodes that hold it at once
	State      string  `json:"state"`            // what it keeps
	Memory     float64 `json:"memoryBytes"`      // per holder
	Messages   float64 `json:"messagesPerSec"`   // per holder, sent and received
	WireBytes  float64 `json:"wireBytesPerSec"`  // per holder, sent and received
	CPUPercent float64 `json:"cpuPercentOfCore"` // per holder
	Control    bool    `json:"control"`          // counts against every node's control budget
}

// Roles returns the cost of every role.
func Roles(z Size, s UnitCosts) []Role {
	return []Role{
		entry(z, s), dispatcher(z, s), trainerOwner(z, s), controller(z, s), usageHolder(z, s),
		logReader(z, s), logFollower(z, s), membership(z, s), lists(z, s), usageSender(z, s),
	}
}

// ControlTotal sums what every node pays for control.
func ControlTotal(roles []Role) Role {
	sum := Role{Name: "control, every node", State: "all of the above that every node holds", Control: true}
	for _, r := range roles {
		if !r.Control {
			continue
		}
		sum.Holders = max(sum.Holders, r.Holders)
		sum.Memory += r.Memory
		sum.Messages += r.Messages
		sum.WireBytes += r.WireBytes
		sum.CPUPercent += r.CPUPercent
	}
	return sum
}

func percent(perSecond float64, cost time.Duration) float64 {
	return perSecond * cost.Seconds() * 100
}

// messagesPerAdmission: the request, the grant, the finish.
const messagesPerAdmission = 3

func entry(z Size, s UnitCosts) Role {
	requests := z.RequestsPerSecond / float64(z.Instances)
	tokens := z.TokensPerSecond / float64(z.Instances)
	return Role{
		Name: "entry", Holders: z.Instances, State: "open streams",
		Memory:     requests * z.StreamSeconds * s.StreamBytes,
		Messages:   requests * z.RemoteAdmissionShare * messagesPerAdmission,
		WireBytes:  requests * z.RemoteAdmissionShare * s.AdmitBytes,
		CPUPercent: percent(requests, s.RequestCPU) + percent(tokens, s.TokenCPU),
	}
}

func dispatcher(z Size, s UnitCosts) Role {
	requests := z.RequestsPerSecond / float64(z.Instances)
	targets := float64(z.Engines) / float64(z.Instances)
	polls := targets / z.LoadInterval.Seconds()
	return Role{
		Name: "dispatcher", Holders: z.Instances, State: "queues of owned targets",
		Memory:     targets * s.QueueBytes,
		Messages:   requests*z.RemoteAdmissionShare*messagesPerAdmission + polls,
		WireBytes:  requests * z.RemoteAdmissionShare * s.AdmitBytes,
		CPUPercent: percent(requests, s.AdmitCPU) + percent(polls, s.RequestCPU),
	}
}

// stepsHeld: a trainer's owner holds the step being taken and the next.
const stepsHeld = 2

func trainerOwner(z Size, s UnitCosts) Role {
	samples := float64(z.SamplesPerStep) / z.StepDuration.Seconds()
	bytes := float64(z.TokensPerSample) * s.TokenBytes
	return Role{
		Name: "trainer owner", Holders: z.Trainers, State: "samples until acknowledged; the same at its mirror",
		Memory:     stepsHeld * float64(z.SamplesPerStep) * bytes,
		Messages:   samples * (messagesPerAdmission + 1),
		WireBytes:  samples * (2*bytes + s.AdmitBytes), // to the mirror and to the trainer
		CPUPercent: percent(samples, s.RequestCPU+s.AdmitCPU) + percent(samples*float64(z.TokensPerSample), s.TokenCPU),
	}
}

// controllerPasses a second plan a data centre's targets.
const controllerPasses = 5

func controller(z Size, s UnitCosts) Role {
	targets := float64(z.Engines) / float64(z.DataCentres)
	orders := z.OrdersPerDay / secondsPerDay / float64(z.DataCentres)
	return Role{
		Name: "controller", Holders: z.DataCentres, State: "plan of a data centre",
		Memory:     targets * s.TargetBytes,
		Messages:   3*orders + renewalsPerTerm/z.LeaseTerm.Seconds(),
		WireBytes:  3 * orders * s.RecordBytes,
		CPUPercent: percent(controllerPasses*targets, s.PlanCPU),
	}
}

// usageSends is how often a node tells its counts, and to how many.
const (
	usageInterval  = 2500 * time.Millisecond
	usageReceivers = 2
)

func usageBytes(z Size, s UnitCosts) float64 {
	return float64(z.SubjectsPerInstance) * s.UsageEntryBytes / usageInterval.Seconds()
}

func usageSender(z Size, s UnitCosts) Role {
	return Role{
		Name: "usage counts", Holders: z.Instances, State: "counts of open windows", Control: true,
		Memory:    4 * float64(z.SubjectsPerInstance) * s.UsageEntryBytes,
		Messages:  usageReceivers / usageInterval.Seconds(),
		WireBytes: usageReceivers * usageBytes(z, s),
	}
}

func usageHolder(z Size, s UnitCosts) Role {
	senders := float64(z.Instances) / float64(z.DataCentres)
	return Role{
		Name: "bills of a data centre", Holders: z.DataCentres, State: "counts of its nodes",
		Memory:    4 * senders * float64(z.SubjectsPerInstance) * s.UsageEntryBytes,
		Messages:  senders / usageInterval.Seconds(),
		WireBytes: senders * usageBytes(z, s),
	}
}

// renewalsPerTerm of a lease.
const renewalsPerTerm = 3

const secondsPerDay = 24 * 60 * 60

// Records is the number of log records a second over all instances, by kind.
type Records struct {
	Leases          float64 `json:"leases"`
	Changes         float64 `json:"changes"`
	Orders          float64 `json:"orders"`
	Usage           float64 `json:"usage"`
	Batches         float64 `json:"batches"`
	Claims          float64 `json:"claims"`
	Total           float64 `json:"total"`
	ClaimsPerRecord float64 `json:"claimsPerRecord"`
}

// batchesPerStep that a trainer takes its samples in.
const batchesPerStep = 16

// maxClaimRecordsPerSecond a second are the most that claims may take of the log.
const maxClaimRecordsPerSecond = 150

// LogRecords returns the load on the log.
func LogRecords(z Size) Records {
	holders := float64(z.DataCentres + z.Trainers + 1)
	claims := z.RequestsPerSecond * z.NonRepeatableShare
	r := Records{
		Leases:  holders * renewalsPerTerm / z.LeaseTerm.Seconds(),
		Changes: z.ChangesPerDay / secondsPerDay,
		Orders:  2 * z.OrdersPerDay / secondsPerDay,
		Usage:   2 * float64(z.DataCentres) / z.UsageWindow.Seconds(),
		Batches: 2 * float64(z.Trainers) * batchesPerStep / z.StepDuration.Seconds(),
		Claims:  min(maxClaimRecordsPerSecond, claims),
	}
	if r.Claims > 0 {
		r.ClaimsPerRecord = claims / r.Claims
	}
	r.Total = r.Leases + r.Changes + r.Orders + r.Usage + r.Batches + r.Claims
	return r
}

// logBytes is what the log's records take a second, checkpoints included.
func logBytes(z Size, s UnitCosts) float64 {
	r := LogRecords(z)
	claims := r.Claims * (s.ClaimsRecordBytes + r.ClaimsPerRecord*s.ClaimBytes)
	checkpoint := float64(z.Trainers)*s.LedgerBytes + float64(z.Keys)*s.KeyCheckpointBytes + s.RecordIDBytes
	return (r.Total-r.Claims)*s.RecordBytes + claims + checkpoint/z.CheckpointInterval.Seconds()
}

func logFollower(z Size, s UnitCosts) Role {
	records := LogRecords(z).Total
	return Role{
		Name: "log follower", Holders: z.Instances, State: "folded state, keys, routes", Control: true,
		Memory:     float64(z.Keys)*s.KeyBytes + float64(z.Engines)*s.TargetBytes + float64(z.Trainers)*s.LedgerBytes + s.RecordIDBytes + s.RecentRecordBytes,
		Messages:   records,
		WireBytes:  logBytes(z, s),
		CPUPercent: percent(records, s.RecordCPU),
	}
}

func logReader(z Size, s UnitCosts) Role {
	followers := float64(z.Instances)/float64(z.DataCentres)/float64(z.ReadersPerDataCentre) - 1
	targets := float64(z.Engines) / float64(z.DataCentres)
	return Role{
		Name: "log reader and relay", Holders: z.DataCentres * z.ReadersPerDataCentre, State: "latest records",
		Messages:  LogRecords(z).Total * followers,
		WireBytes: logBytes(z, s)*followers + targets*s.ListEntryBytes/targetListInterval.Seconds(),
	}
}

// targetListInterval is how often a reader reads its data centre's targets.
const targetListInterval = 8900 * time.Millisecond

func membership(z Size, s UnitCosts) Role {
	beats := float64(z.Instances) / float64(z.DataCentres) / z.Heartbeat.Seconds()
	return Role{
		Name: "membership and loads", Holders: z.Instances, State: "peers of the data centre, digests of the others", Control: true,
		Memory:     float64(z.Instances) * s.ListEntryBytes,
		Messages:   2 * beats,
		WireBytes:  beats * s.HeartbeatBytes,
		CPUPercent: percent(beats, s.HeartbeatCPU),
	}
}

// listIntervalPerInstance per instance listed: a larger list is read less often.
const listIntervalPerInstance = 60 * time.Millisecond

// changePollInterval is how often a node asks each data centre's reader for changes of
// its targets, and askBytes what that takes.
const (
	changePollInterval = 2 * time.Second
	changePollBytes    = 120
)

func lists(z Size, s UnitCosts) Role {
	asks := float64(z.DataCentres) / changePollInterval.Seconds()
	reads := 1 / (listIntervalPerInstance.Seconds() * float64(z.Instances))
	return Role{
		Name: "lists of instances and targets", Holders: z.Instances, State: "none of its own", Control: true,
		Messages:  asks + reads,
		WireBytes: reads*float64(z.Instances)*s.ListEntryBytes + asks*changePollBytes,
	}
}
