// Package capacity works out what each role costs a node at a given size, from
// slopes that benchmarks measured. docs/CAPACITY.md names the command behind
// each slope.
package capacity

import "time"

// Size describes a deployment.
type Size struct {
	Nodes             int
	Regions           int
	DataCentres       int
	Samplers          int
	Accounts          int
	Keys              int
	RequestsPerSecond float64
	TokensPerSecond   float64
	SecondsPerRequest float64 // a stream's life
	RemoteAdmissions  float64 // part of the requests whose target another node owns
	NonRepeatable     float64 // part of the requests
	Trainers          int
	SamplesPerStep    int
	TokensPerSample   int
	Step              time.Duration
	ChangesPerDay     float64
	OrdersPerDay      float64
	Heartbeat         time.Duration
	LeaseTerm         time.Duration
	UsageWindow       time.Duration
	LoadInterval      time.Duration // between two load reports of a target
	Checkpoint        time.Duration // between two checkpoints
	SubjectsPerNode   int           // accounts and services that a node counts use for in a window
	ReadersPerCentre  int           // nodes of a data centre that read the log themselves
}

// Target is the size that the users named for two years from now. What they
// left open (stream lengths, keys, timing) is set to today's ratios.
func Target() Size {
	return Size{
		Nodes: 1700, Regions: 7, DataCentres: 27, Samplers: 12000, Accounts: 1000, Keys: 4000,
		RequestsPerSecond: 26000, TokensPerSecond: 7.7e6, SecondsPerRequest: 10, RemoteAdmissions: 1, NonRepeatable: 0.02,
		Trainers: 17, SamplesPerStep: 2048, TokensPerSample: 2000, Step: 24 * time.Minute,
		ChangesPerDay: 8900, OrdersPerDay: 10 * 2600,
		Heartbeat: 2 * time.Second, LeaseTerm: 12 * time.Second, UsageWindow: time.Minute,
		LoadInterval: time.Second, Checkpoint: 450 * time.Second, SubjectsPerNode: 16, ReadersPerCentre: 3,
	}
}

// Role is what one role costs the node that holds it.
type Role struct {
	Name       string  `json:"role"`
	Holders    int     `json:"holders"`          // nodes that hold it at once
	State      string  `json:"state"`            // what it keeps
	Memory     float64 `json:"memoryBytes"`      // per holder
	Messages   float64 `json:"messagesPerSec"`   // per holder, sent and received
	Wire       float64 `json:"wireBytesPerSec"`  // per holder, sent and received
	CPUPercent float64 `json:"cpuPercentOfCore"` // per holder
	Control    bool    `json:"control"`          // counts against every node's control budget
}

// Roles returns the cost of every role.
func Roles(z Size, s Slopes) []Role {
	return []Role{
		entry(z, s), dispatcher(z, s), trainerOwner(z, s), controller(z, s), usageHolder(z, s),
		logReader(z, s), logFollower(z, s), membership(z, s), lists(z, s), usageSender(z, s),
	}
}

// Control sums what every node pays for control.
func Control(roles []Role) Role {
	sum := Role{Name: "control, every node", State: "all of the above that every node holds", Control: true}
	for _, r := range roles {
		if !r.Control {
			continue
		}
		sum.Holders = max(sum.Holders, r.Holders)
		sum.Memory += r.Memory
		sum.Messages += r.Messages
		sum.Wire += r.Wire
		sum.CPUPercent += r.CPUPercent
	}
	return sum
}

func percent(perSecond float64, cost time.Duration) float64 {
	return perSecond * cost.Seconds() * 100
}

// messagesPerAdmission: the request, the grant, the finish.
const messagesPerAdmission = 3

func entry(z Size, s Slopes) Role {
	requests := z.RequestsPerSecond / float64(z.Nodes)
	tokens := z.TokensPerSecond / float64(z.Nodes)
	return Role{
		Name: "entry", Holders: z.Nodes, State: "open streams",
		Memory:     requests * z.SecondsPerRequest * s.StreamBytes,
		Messages:   requests * z.RemoteAdmissions * messagesPerAdmission,
		Wire:       requests * z.RemoteAdmissions * s.AdmitBytes,
		CPUPercent: percent(requests, s.RequestCPU) + percent(tokens, s.TokenCPU),
	}
}

func dispatcher(z Size, s Slopes) Role {
	requests := z.RequestsPerSecond / float64(z.Nodes)
	targets := float64(z.Samplers) / float64(z.Nodes)
	polls := targets / z.LoadInterval.Seconds()
	return Role{
		Name: "dispatcher", Holders: z.Nodes, State: "queues of owned targets",
		Memory:     targets * s.QueueBytes,
		Messages:   requests*z.RemoteAdmissions*messagesPerAdmission + polls,
		Wire:       requests * z.RemoteAdmissions * s.AdmitBytes,
		CPUPercent: percent(requests, s.AdmitCPU) + percent(polls, s.RequestCPU),
	}
}

// stepsHeld: a trainer's owner holds the step being taken and the next.
const stepsHeld = 2

func trainerOwner(z Size, s Slopes) Role {
	samples := float64(z.SamplesPerStep) / z.Step.Seconds()
	bytes := float64(z.TokensPerSample) * s.TokenBytes
	return Role{
		Name: "trainer owner", Holders: z.Trainers, State: "samples until acknowledged; the same at its mirror",
		Memory:     stepsHeld * float64(z.SamplesPerStep) * bytes,
		Messages:   samples * (messagesPerAdmission + 1),
		Wire:       samples * (2*bytes + s.AdmitBytes), // to the mirror and to the trainer
		CPUPercent: percent(samples, s.RequestCPU+s.AdmitCPU) + percent(samples*float64(z.TokensPerSample), s.TokenCPU),
	}
}

// controllerPasses a second plan a data centre's targets.
const controllerPasses = 5

func controller(z Size, s Slopes) Role {
	targets := float64(z.Samplers) / float64(z.DataCentres)
	orders := z.OrdersPerDay / secondsPerDay / float64(z.DataCentres)
	return Role{
		Name: "controller", Holders: z.DataCentres, State: "plan of a data centre",
		Memory:     targets * s.TargetBytes,
		Messages:   3*orders + renewalsPerTerm/z.LeaseTerm.Seconds(),
		Wire:       3 * orders * s.RecordBytes,
		CPUPercent: percent(controllerPasses*targets, s.PlanCPU),
	}
}

// usageSends is how often a node tells its counts, and to how many.
const (
	usageInterval  = 2500 * time.Millisecond
	usageReceivers = 2
)

func usageBytes(z Size, s Slopes) float64 {
	return float64(z.SubjectsPerNode) * s.SubjectBytes / usageInterval.Seconds()
}

func usageSender(z Size, s Slopes) Role {
	return Role{
		Name: "usage counts", Holders: z.Nodes, State: "counts of open windows", Control: true,
		Memory:   4 * float64(z.SubjectsPerNode) * s.SubjectBytes,
		Messages: usageReceivers / usageInterval.Seconds(),
		Wire:     usageReceivers * usageBytes(z, s),
	}
}

func usageHolder(z Size, s Slopes) Role {
	senders := float64(z.Nodes) / float64(z.DataCentres)
	return Role{
		Name: "bills of a data centre", Holders: z.DataCentres, State: "counts of its nodes",
		Memory:   4 * senders * float64(z.SubjectsPerNode) * s.SubjectBytes,
		Messages: senders / usageInterval.Seconds(),
		Wire:     senders * usageBytes(z, s),
	}
}

// renewalsPerTerm of a lease.
const renewalsPerTerm = 3

const secondsPerDay = 24 * 60 * 60

// Records is the number of log records a second over all instances, by kind.
type Records struct {
	Leases    float64 `json:"leases"`
	Changes   float64 `json:"changes"`
	Orders    float64 `json:"orders"`
	Usage     float64 `json:"usage"`
	Batches   float64 `json:"batches"`
	Claims    float64 `json:"claims"`
	Total     float64 `json:"total"`
	PerRecord float64 `json:"claimsPerRecord"`
}

// batchesPerStep that a trainer takes its samples in.
const batchesPerStep = 16

// claimRecords a second are the most that claims may take of the log.
const claimRecords = 150

// LogRecords returns the load on the log.
func LogRecords(z Size) Records {
	holders := float64(z.DataCentres + z.Trainers + 1)
	claims := z.RequestsPerSecond * z.NonRepeatable
	r := Records{
		Leases:  holders * renewalsPerTerm / z.LeaseTerm.Seconds(),
		Changes: z.ChangesPerDay / secondsPerDay,
		Orders:  2 * z.OrdersPerDay / secondsPerDay,
		Usage:   2 * float64(z.DataCentres) / z.UsageWindow.Seconds(),
		Batches: 2 * float64(z.Trainers) * batchesPerStep / z.Step.Seconds(),
		Claims:  min(claimRecords, claims),
	}
	if r.Claims > 0 {
		r.PerRecord = claims / r.Claims
	}
	r.Total = r.Leases + r.Changes + r.Orders + r.Usage + r.Batches + r.Claims
	return r
}

// logBytes is what the log's records take a second, checkpoints included.
func logBytes(z Size, s Slopes) float64 {
	r := LogRecords(z)
	claims := r.Claims * (s.ClaimsBytes + r.PerRecord*s.ClaimBytes)
	checkpoint := float64(z.Trainers)*s.LedgerBytes + float64(z.Keys)*s.KeyEncoded + s.IDBytes
	return (r.Total-r.Claims)*s.RecordBytes + claims + checkpoint/z.Checkpoint.Seconds()
}

func logFollower(z Size, s Slopes) Role {
	records := LogRecords(z).Total
	return Role{
		Name: "log follower", Holders: z.Nodes, State: "folded state, keys, routes", Control: true,
		Memory:     float64(z.Keys)*s.KeyBytes + float64(z.Samplers)*s.TargetBytes + float64(z.Trainers)*s.LedgerBytes + s.IDBytes + s.RecentBytes,
		Messages:   records,
		Wire:       logBytes(z, s),
		CPUPercent: percent(records, s.RecordCPU),
	}
}

func logReader(z Size, s Slopes) Role {
	followers := float64(z.Nodes)/float64(z.DataCentres)/float64(z.ReadersPerCentre) - 1
	targets := float64(z.Samplers) / float64(z.DataCentres)
	return Role{
		Name: "log reader and relay", Holders: z.DataCentres * z.ReadersPerCentre, State: "latest records",
		Messages: LogRecords(z).Total * followers,
		Wire:     logBytes(z, s)*followers + targets*s.ListedBytes/targetListInterval.Seconds(),
	}
}

// targetListInterval is how often a reader reads its data centre's targets.
const targetListInterval = 8900 * time.Millisecond

func membership(z Size, s Slopes) Role {
	beats := float64(z.Nodes) / float64(z.DataCentres) / z.Heartbeat.Seconds()
	return Role{
		Name: "membership and loads", Holders: z.Nodes, State: "peers of the data centre, digests of the others", Control: true,
		Memory:     float64(z.Nodes) * s.ListedBytes,
		Messages:   2 * beats,
		Wire:       beats * s.BeatBytes,
		CPUPercent: percent(beats, s.BeatCPU),
	}
}

// listInterval per instance listed: a larger list is read less often.
const listInterval = 60 * time.Millisecond

// askInterval is how often a node asks each data centre's reader for changes of
// its targets, and askBytes what that takes.
const (
	askInterval = 2 * time.Second
	askBytes    = 120
)

func lists(z Size, s Slopes) Role {
	asks := float64(z.DataCentres) / askInterval.Seconds()
	reads := 1 / (listInterval.Seconds() * float64(z.Nodes))
	return Role{
		Name: "lists of instances and targets", Holders: z.Nodes, State: "none of its own", Control: true,
		Messages: asks + reads,
		Wire:     reads*float64(z.Nodes)*s.ListedBytes + asks*askBytes,
	}
}
