// Package capacity estimates the cost of each role per instance at a given deployment
// size: memory, messages, network traffic and CPU time.
//
// It is given the size and the unit costs, which are the slopes of benchmarks;
// docs/CAPACITY.md lists the command for each. It returns the cost of each role, the sum
// of the control roles and the rate of log records. Every instance holds the control
// roles: usage counts, following the log, membership and polling lists. The caller prints
// these estimates and compares them with its limits.
package capacity

import "time"

// Size describes the size, the load and the timing of a deployment.
type Size struct {
	Instances            int
	Regions              int
	DataCentres          int
	Engines              int
	Accounts             int
	Keys                 int
	RequestsPerSecond    float64
	TokensPerSecond      float64
	StreamSeconds        float64 // duration of a stream
	RemoteAdmissionShare float64 // fraction of the requests whose target another instance owns
	NonRepeatableShare   float64 // fraction of the requests that must not be repeated
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
	SubjectsPerInstance  int           // pairs of account and service with use at an instance in a window
	ReadersPerDataCentre int           // instances of a data centre that read the log themselves
}

// DesignSize returns the size that the users require for two years from now. Inputs that
// they did not specify (stream durations, keys, timing) are scaled by today's ratios.
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

// Role is the cost of one role for each instance that holds it.
type Role struct {
	Name       string  `json:"role"`
	Holders    int     `json:"holders"`          // instances that hold it at the same time
	State      string  `json:"state"`            // the state that it keeps
	Memory     float64 `json:"memoryBytes"`      // per holder
	Messages   float64 `json:"messagesPerSec"`   // per holder, sent and received
	WireBytes  float64 `json:"wireBytesPerSec"`  // per holder, sent and received
	CPUPercent float64 `json:"cpuPercentOfCore"` // per holder
	Control    bool    `json:"control"`          // a control role, summed by ControlTotal
}

// Roles returns the cost of every role at the size.
func Roles(size Size, costs UnitCosts) []Role {
	return []Role{
		entry(size, costs), dispatcher(size, costs), trainerOwner(size, costs), controller(size, costs), usageHolder(size, costs),
		logReader(size, costs), logFollower(size, costs), membership(size, costs), listPoller(size, costs), usageSender(size, costs),
	}
}

// ControlTotal returns the sum of the control roles.
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

// cpuPercent returns the percentage of a core for a rate of operations.
func cpuPercent(perSecond float64, cost time.Duration) float64 {
	return perSecond * cost.Seconds() * 100
}

// messagesPerAdmission is the number of messages of a remote admission: the request, the
// grant and the finish.
const messagesPerAdmission = 3

// entry returns the cost of receiving requests and relaying their streams.
func entry(size Size, costs UnitCosts) Role {
	requests := size.RequestsPerSecond / float64(size.Instances)
	tokens := size.TokensPerSecond / float64(size.Instances)
	return Role{
		Name: "entry", Holders: size.Instances, State: "open streams",
		Memory:     requests * size.StreamSeconds * costs.StreamBytes,
		Messages:   requests * size.RemoteAdmissionShare * messagesPerAdmission,
		WireBytes:  requests * size.RemoteAdmissionShare * costs.AdmitBytes,
		CPUPercent: cpuPercent(requests, costs.RequestCPU) + cpuPercent(tokens, costs.TokenCPU),
	}
}

// dispatcher returns the cost of owning the queues of targets.
func dispatcher(size Size, costs UnitCosts) Role {
	requests := size.RequestsPerSecond / float64(size.Instances)
	targets := float64(size.Engines) / float64(size.Instances)
	polls := targets / size.LoadInterval.Seconds()
	return Role{
		Name: "dispatcher", Holders: size.Instances, State: "queues of owned targets",
		Memory:     targets * costs.QueueBytes,
		Messages:   requests*size.RemoteAdmissionShare*messagesPerAdmission + polls,
		WireBytes:  requests * size.RemoteAdmissionShare * costs.AdmitBytes,
		CPUPercent: cpuPercent(requests, costs.AdmitCPU) + cpuPercent(polls, costs.RequestCPU),
	}
}

// stepsInMemory is the number of steps whose samples the owner of a trainer holds: the one
// that the trainer receives and the next one.
const stepsInMemory = 2

// trainerOwner returns the cost of owning a trainer.
func trainerOwner(size Size, costs UnitCosts) Role {
	samples := float64(size.SamplesPerStep) / size.StepDuration.Seconds()
	sampleBytes := float64(size.TokensPerSample) * costs.TokenBytes
	return Role{
		Name: "trainer owner", Holders: size.Trainers, State: "samples until acknowledged; the same at its mirror",
		Memory:     stepsInMemory * float64(size.SamplesPerStep) * sampleBytes,
		Messages:   samples * (messagesPerAdmission + 1),
		WireBytes:  samples * (2*sampleBytes + costs.AdmitBytes), // to the mirror and to the trainer
		CPUPercent: cpuPercent(samples, costs.RequestCPU+costs.AdmitCPU) + cpuPercent(samples*float64(size.TokensPerSample), costs.TokenCPU),
	}
}

// controllerPassesPerSecond is the rate at which the targets of a data centre are planned.
const controllerPassesPerSecond = 5

// controller returns the cost of planning the targets of a data centre.
func controller(size Size, costs UnitCosts) Role {
	targets := float64(size.Engines) / float64(size.DataCentres)
	orders := size.OrdersPerDay / secondsPerDay / float64(size.DataCentres)
	return Role{
		Name: "controller", Holders: size.DataCentres, State: "plan of a data centre",
		Memory:     targets * costs.TargetBytes,
		Messages:   3*orders + renewalsPerTerm/size.LeaseTerm.Seconds(),
		WireBytes:  3 * orders * costs.RecordBytes,
		CPUPercent: cpuPercent(controllerPassesPerSecond*targets, costs.PlanCPU),
	}
}

// Every usageInterval an instance sends its usage counts to usageReceivers instances.
const (
	usageInterval  = 2500 * time.Millisecond
	usageReceivers = 2
)

// usageBytesPerSecond returns the bytes per second that an instance sends to one receiver.
func usageBytesPerSecond(size Size, costs UnitCosts) float64 {
	return float64(size.SubjectsPerInstance) * costs.UsageEntryBytes / usageInterval.Seconds()
}

// usageSender returns the cost of counting and sending an instance's own use.
func usageSender(size Size, costs UnitCosts) Role {
	return Role{
		Name: "usage counts", Holders: size.Instances, State: "counts of open windows", Control: true,
		Memory:    4 * float64(size.SubjectsPerInstance) * costs.UsageEntryBytes,
		Messages:  usageReceivers / usageInterval.Seconds(),
		WireBytes: usageReceivers * usageBytesPerSecond(size, costs),
	}
}

// usageHolder returns the cost of collecting and billing the use of a data centre.
func usageHolder(size Size, costs UnitCosts) Role {
	senders := float64(size.Instances) / float64(size.DataCentres)
	return Role{
		Name: "bills of a data centre", Holders: size.DataCentres, State: "counts of its nodes",
		Memory:    4 * senders * float64(size.SubjectsPerInstance) * costs.UsageEntryBytes,
		Messages:  senders / usageInterval.Seconds(),
		WireBytes: senders * usageBytesPerSecond(size, costs),
	}
}

// renewalsPerTerm is the number of renewals of a lease in each LeaseTerm.
const renewalsPerTerm = 3

const secondsPerDay = 24 * 60 * 60

// Records holds the number of log records per second over all instances, by kind, and
// ClaimsPerRecord, the number of claims in one claims record.
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

// batchesPerStep is the number of batches in which a trainer receives a step's samples.
const batchesPerStep = 16

// maxClaimRecordsPerSecond limits the log records that claims use. At higher rates, a
// record carries more claims.
const maxClaimRecordsPerSecond = 150

// LogRecords returns the rates of log records at the size.
func LogRecords(size Size) Records {
	leases := float64(size.DataCentres + size.Trainers + 1)
	claims := size.RequestsPerSecond * size.NonRepeatableShare
	r := Records{
		Leases:  leases * renewalsPerTerm / size.LeaseTerm.Seconds(),
		Changes: size.ChangesPerDay / secondsPerDay,
		Orders:  2 * size.OrdersPerDay / secondsPerDay,
		Usage:   2 * float64(size.DataCentres) / size.UsageWindow.Seconds(),
		Batches: 2 * float64(size.Trainers) * batchesPerStep / size.StepDuration.Seconds(),
		Claims:  min(maxClaimRecordsPerSecond, claims),
	}
	if r.Claims > 0 {
		r.ClaimsPerRecord = claims / r.Claims
	}
	r.Total = r.Leases + r.Changes + r.Orders + r.Usage + r.Batches + r.Claims
	return r
}

// logBytesPerSecond returns the bytes of log records per second, including checkpoints.
func logBytesPerSecond(size Size, costs UnitCosts) float64 {
	r := LogRecords(size)
	claims := r.Claims * (costs.ClaimsRecordBytes + r.ClaimsPerRecord*costs.ClaimBytes)
	checkpoint := float64(size.Trainers)*costs.DeliveryStateBytes + float64(size.Keys)*costs.KeyCheckpointBytes + costs.RecordIDBytes
	return (r.Total-r.Claims)*costs.RecordBytes + claims + checkpoint/size.CheckpointInterval.Seconds()
}

// logFollower returns the cost of receiving and applying the log.
func logFollower(size Size, costs UnitCosts) Role {
	records := LogRecords(size).Total
	return Role{
		Name: "log follower", Holders: size.Instances, State: "folded state, keys, routes", Control: true,
		Memory:     float64(size.Keys)*costs.KeyBytes + float64(size.Engines)*costs.TargetBytes + float64(size.Trainers)*costs.DeliveryStateBytes + costs.RecordIDBytes + costs.RecentRecordBytes,
		Messages:   records,
		WireBytes:  logBytesPerSecond(size, costs),
		CPUPercent: cpuPercent(records, costs.RecordCPU),
	}
}

// logReader returns the cost of relaying the log and the list of targets to the other
// instances of a data centre, its followers.
func logReader(size Size, costs UnitCosts) Role {
	followers := float64(size.Instances)/float64(size.DataCentres)/float64(size.ReadersPerDataCentre) - 1
	targets := float64(size.Engines) / float64(size.DataCentres)
	return Role{
		Name: "log reader and relay", Holders: size.DataCentres * size.ReadersPerDataCentre, State: "latest records",
		Messages:  LogRecords(size).Total * followers,
		WireBytes: logBytesPerSecond(size, costs)*followers + targets*costs.ListEntryBytes/targetListInterval.Seconds(),
	}
}

// targetListInterval is the interval at which a log reader reads the list of targets of
// its data centre.
const targetListInterval = 8900 * time.Millisecond

// membership returns the cost of heartbeats, with loads and summaries.
func membership(size Size, costs UnitCosts) Role {
	heartbeats := float64(size.Instances) / float64(size.DataCentres) / size.Heartbeat.Seconds()
	return Role{
		Name: "membership and loads", Holders: size.Instances, State: "peers of the data centre, digests of the others", Control: true,
		Memory:     float64(size.Instances) * costs.ListEntryBytes,
		Messages:   2 * heartbeats,
		WireBytes:  heartbeats * costs.HeartbeatBytes,
		CPUPercent: cpuPercent(heartbeats, costs.HeartbeatCPU),
	}
}

// listIntervalPerInstance is the poll interval of the list of instances, per listed
// instance: a larger list is read less often.
const listIntervalPerInstance = 60 * time.Millisecond

// Every changePollInterval an instance polls the log reader of each data centre for
// changes of its targets. A poll takes changePollBytes.
const (
	changePollInterval = 2 * time.Second
	changePollBytes    = 120
)

// listPoller returns the cost of polling the list of instances and the changes of targets.
func listPoller(size Size, costs UnitCosts) Role {
	polls := float64(size.DataCentres) / changePollInterval.Seconds()
	reads := 1 / (listIntervalPerInstance.Seconds() * float64(size.Instances))
	return Role{
		Name: "lists of instances and targets", Holders: size.Instances, State: "none of its own", Control: true,
		Messages:  polls + reads,
		WireBytes: reads*float64(size.Instances)*costs.ListEntryBytes + polls*changePollBytes,
	}
}
