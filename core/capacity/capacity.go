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
	ReadersPerCentre  int           // nodes of a data centre that read the log themselves
}

// Target is the size that the users named for two years from now.
func Target() Size {
	return Size{
		Nodes: 1700, Regions: 7, DataCentres: 27, Samplers: 12000, Accounts: 1000, Keys: 100000,
		RequestsPerSecond: 26000, TokensPerSecond: 7.7e6, SecondsPerRequest: 10, RemoteAdmissions: 1, NonRepeatable: 0.02,
		Trainers: 17, SamplesPerStep: 2048, TokensPerSample: 2000, Step: 24 * time.Minute,
		ChangesPerDay: 8900, OrdersPerDay: 10 * 2600,
		Heartbeat: time.Second, LeaseTerm: 6 * time.Second, UsageWindow: time.Minute,
		LoadInterval: time.Second, ReadersPerCentre: 2,
	}
}

// Slopes are measured costs of one unit each.
type Slopes struct {
	RequestCPU        time.Duration // entry: one request, without its tokens
	TokenCPU          time.Duration // entry: one relayed token event
	StreamBytes       float64       // entry: memory of an open stream
	AdmitCPU          time.Duration // owner: one admission, its message included
	AdmitMessageBytes float64       // request, grant and finish of one remote admission
	QueueBytes        float64       // owner: memory of one target's queue
	LoadPollCPU       time.Duration // owner: one load report
	RouteBytes        float64       // every node: memory of one target in the table
	RouteCPU          time.Duration // every node: one changed load in the table
	KeyBytes          float64       // every node: memory of one key
	RecordCPU         time.Duration // every node: one folded record
	RecordBytes       float64       // every node: one record on the wire
	BeatCPU           time.Duration // every node: one heartbeat received
	BeatBytes         float64       // every node: one heartbeat without loads
	LoadBytes         float64       // one load in a heartbeat
	SampleBytes       float64       // trainer's owner: memory of one finished sample
	SampleCPU         time.Duration // trainer's owner: one sample, without its tokens
	PlanCPU           time.Duration // controller: one planning pass, per target
	BaseBytes         float64       // an idle process
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
	Control    bool    `json:"control"`          // counts against the control budget
}

// Roles returns the cost of every role.
func Roles(z Size, s Slopes) []Role {
	return []Role{
		entry(z, s), dispatcher(z, s), trainerOwner(z, s), controller(z, s), logFollower(z, s), logReader(z, s), membership(z, s),
	}
}

func percent(perSecond float64, cost time.Duration) float64 {
	return perSecond * cost.Seconds() * 100
}

func entry(z Size, s Slopes) Role {
	requests := z.RequestsPerSecond / float64(z.Nodes)
	tokens := z.TokensPerSecond / float64(z.Nodes)
	streams := requests * z.SecondsPerRequest
	return Role{
		Name: "entry", Holders: z.Nodes, State: "open streams",
		Memory:     streams * s.StreamBytes,
		Messages:   requests * z.RemoteAdmissions * messagesPerAdmission,
		Wire:       requests * z.RemoteAdmissions * s.AdmitMessageBytes,
		CPUPercent: percent(requests, s.RequestCPU) + percent(tokens, s.TokenCPU),
	}
}

// messagesPerAdmission: the request, the grant, the finish.
const messagesPerAdmission = 3

func dispatcher(z Size, s Slopes) Role {
	requests := z.RequestsPerSecond / float64(z.Nodes)
	targets := float64(z.Samplers) / float64(z.Nodes)
	polls := targets / z.LoadInterval.Seconds()
	return Role{
		Name: "dispatcher", Holders: z.Nodes, State: "queues of owned targets",
		Memory:     targets * s.QueueBytes,
		Messages:   requests*z.RemoteAdmissions*messagesPerAdmission + polls,
		Wire:       requests * z.RemoteAdmissions * s.AdmitMessageBytes,
		CPUPercent: percent(requests, s.AdmitCPU) + percent(polls, s.LoadPollCPU),
	}
}

// stepsHeld: a trainer's owner holds the step being taken and the next.
const stepsHeld = 2

func trainerOwner(z Size, s Slopes) Role {
	samples := float64(z.SamplesPerStep) / z.Step.Seconds()
	bytes := samples * s.SampleBytes
	return Role{
		Name: "trainer owner", Holders: z.Trainers, State: "samples until acknowledged",
		Memory:     stepsHeld * float64(z.SamplesPerStep) * s.SampleBytes,
		Messages:   samples * (messagesPerAdmission + 1),
		Wire:       2*bytes + samples*s.AdmitMessageBytes, // to the mirror and to the trainer
		CPUPercent: percent(samples, s.SampleCPU) + percent(samples*float64(z.TokensPerSample), s.TokenCPU),
	}
}

// renewalsPerTerm of a lease.
const renewalsPerTerm = 3

// controllerPasses a second plan a data centre's targets.
const controllerPasses = 5

func controller(z Size, s Slopes) Role {
	targets := float64(z.Samplers) / float64(z.DataCentres)
	orders := z.OrdersPerDay / secondsPerDay / float64(z.DataCentres)
	appends := renewalsPerTerm/z.LeaseTerm.Seconds() + 2*orders + 2/z.UsageWindow.Seconds()
	return Role{
		Name: "controller", Holders: z.DataCentres, State: "plan of a data centre", Control: true,
		Memory:     targets * s.RouteBytes,
		Messages:   appends + orders,
		Wire:       (appends + orders) * s.RecordBytes,
		CPUPercent: percent(controllerPasses*targets, s.PlanCPU),
	}
}

const secondsPerDay = 24 * 60 * 60

// Records is the number of log records a second over all instances, by kind.
type Records struct {
	Leases   float64 `json:"leases"`
	Changes  float64 `json:"changes"`
	Orders   float64 `json:"orders"`
	Usage    float64 `json:"usage"`
	Batches  float64 `json:"batches"`
	Claims   float64 `json:"claims"`
	Joined   float64 `json:"total"`
	InClaims float64 `json:"claimsPerRecord"`
}

// claimGather is how long a data centre gathers claims into one record.
const claimGather = 250 * time.Millisecond

// LogRecords returns the load on the log.
func LogRecords(z Size) Records {
	holders := float64(z.DataCentres + z.Trainers)
	r := Records{
		Leases:  holders * renewalsPerTerm / z.LeaseTerm.Seconds(),
		Changes: z.ChangesPerDay / secondsPerDay,
		Orders:  2 * z.OrdersPerDay / secondsPerDay,
		Usage:   2 * float64(z.DataCentres) / z.UsageWindow.Seconds(),
		Batches: 2 * float64(z.Trainers) * batchesPerStep / z.Step.Seconds(),
		Claims:  float64(z.DataCentres) / claimGather.Seconds(),
	}
	claims := z.RequestsPerSecond * z.NonRepeatable
	r.Claims = min(r.Claims, claims)
	if r.Claims > 0 {
		r.InClaims = claims / r.Claims
	}
	r.Joined = r.Leases + r.Changes + r.Orders + r.Usage + r.Batches + r.Claims
	return r
}

// batchesPerStep that a trainer takes its samples in.
const batchesPerStep = 16

func logFollower(z Size, s Slopes) Role {
	records := LogRecords(z).Joined
	return Role{
		Name: "log follower", Holders: z.Nodes, State: "folded control state", Control: true,
		Memory:     float64(z.Keys)*s.KeyBytes + float64(z.Samplers)*s.RouteBytes,
		Messages:   records,
		Wire:       records * s.RecordBytes,
		CPUPercent: percent(records, s.RecordCPU),
	}
}

func logReader(z Size, s Slopes) Role {
	records := LogRecords(z).Joined
	followers := float64(z.Nodes)/float64(z.DataCentres)/float64(z.ReadersPerCentre) - 1
	return Role{
		Name: "log reader", Holders: z.DataCentres * z.ReadersPerCentre, State: "latest records", Control: true,
		Messages:   records * followers,
		Wire:       records * s.RecordBytes * followers,
		CPUPercent: percent(followers*records, s.RecordCPU/2),
	}
}

func membership(z Size, s Slopes) Role {
	perCentre := float64(z.Nodes) / float64(z.DataCentres)
	beats := perCentre / z.Heartbeat.Seconds()
	loads := float64(z.Samplers) / float64(z.DataCentres) / z.LoadInterval.Seconds()
	return Role{
		Name: "membership", Holders: z.Nodes, State: "peers of the data centre, digests of the others", Control: true,
		Messages:   2 * beats,
		Wire:       2 * (beats*s.BeatBytes + loads*s.LoadBytes),
		CPUPercent: percent(2*beats, s.BeatCPU) + percent(loads, s.RouteCPU),
	}
}
