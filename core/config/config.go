// Package config defines the operators' configuration of a rollout deployment:
// its schema, the merge of a base file with the deployment's overlays, and the
// checks that a configuration must pass before it is appended to the log.
//
// The package reads no files. Callers pass it file contents and receive either
// a valid Config or every finding with its file, line and column. A valid Config
// has all defaults applied.
package config

import "time"

// Kind is the type of a service.
type Kind string

// The kinds of service.
const (
	KindEngine Kind = "engine" // a model engine with the OpenAI-compatible API
	KindPlain  Kind = "plain"  // a plain HTTP service
)

// Config is one deployment's complete, merged configuration.
type Config struct {
	Deployment  string       `yaml:"deployment" cbor:"1,keyasint"`
	Region      string       `yaml:"region" cbor:"2,keyasint"`
	DataCentres []DataCentre `yaml:"dataCentres" cbor:"3,keyasint"`
	Services    []Service    `yaml:"services" cbor:"4,keyasint"`
	Accounts    []Account    `yaml:"accounts" cbor:"5,keyasint"`
	Trainers    []Trainer    `yaml:"trainers" cbor:"6,keyasint"`
	Cost        Cost         `yaml:"cost" cbor:"7,keyasint"`
	Usage       Usage        `yaml:"usage" cbor:"8,keyasint"`
	Control     Control      `yaml:"control" cbor:"9,keyasint"`
	Capacity    Capacity     `yaml:"capacity" cbor:"60,keyasint"`
	Retries     Retries      `yaml:"retries" cbor:"30,keyasint"`
}

// DataCentre is one failure domain of the region. In a cheap one the platform sells
// cheap targets (spot, preemptible): all of them can be reclaimed together at short
// notice.
type DataCentre struct {
	Name  string `yaml:"name" cbor:"1,keyasint"`
	Cheap bool   `yaml:"cheap" cbor:"2,keyasint"` // sells cheap targets
}

// Service is a set of interchangeable targets that serve the same requests.
type Service struct {
	Name          string        `yaml:"name" cbor:"1,keyasint"`
	Kind          Kind          `yaml:"kind" cbor:"2,keyasint"`
	Model         string        `yaml:"model" cbor:"3,keyasint"`         // name that callers put in "model"; engines only
	MinTargets    int           `yaml:"minTargets" cbor:"4,keyasint"`    // minimum number of running targets
	MaxTargets    int           `yaml:"maxTargets" cbor:"5,keyasint"`    // maximum number of running targets
	Concurrency   int           `yaml:"concurrency" cbor:"6,keyasint"`   // maximum requests in flight per target
	QueueLimit    int           `yaml:"queueLimit" cbor:"7,keyasint"`    // maximum requests waiting per target
	ChecksFencing bool          `yaml:"checksFencing" cbor:"8,keyasint"` // targets reject orders with an old fencing number
	StartUp       time.Duration `yaml:"startUp" cbor:"9,keyasint"`       // time from the start order to the first response
	CostPerHour   float64       `yaml:"costPerHour" cbor:"10,keyasint"`  // currency units per running target
	CheapPerHour  float64       `yaml:"cheapPerHour" cbor:"11,keyasint"` // currency units per running cheap target
	Routes        []Route       `yaml:"routes" cbor:"12,keyasint"`       // plain services only
	// TokensPerSecond is the generation rate of one engine under full load.
	TokensPerSecond float64    `yaml:"tokensPerSecond" cbor:"60,keyasint"`
	Schedule        []Schedule `yaml:"schedule" cbor:"61,keyasint"`     // higher minimums at times that are known to be busy
	SwapParallel    int        `yaml:"swapParallel" cbor:"40,keyasint"` // engines that load weights at the same time; zero: a quarter of the service's
	// KVMinTokens is the length, in tokens, from which a stream's KV cache is imported
	// when the stream moves to another engine. Zero: it is never imported.
	KVMinTokens int `yaml:"kvMinTokens" cbor:"30,keyasint"`
	// SampleShare is the share of a target's token capacity that is reserved for
	// trainers' samples while callers wait. Zero: 0.2.
	SampleShare float64 `yaml:"sampleShare" cbor:"20,keyasint"`
}

// Route holds the settings of all requests below one path of a plain service.
type Route struct {
	Name       string `yaml:"name" cbor:"1,keyasint"`       // path prefix, such as /holds
	Repeatable bool   `yaml:"repeatable" cbor:"2,keyasint"` // requests are idempotent: retried even if they may have run
	Open       bool   `yaml:"open" cbor:"3,keyasint"`       // requests need no key
}

// Account is a client account with its limits.
type Account struct {
	Name              string   `yaml:"name" cbor:"1,keyasint"`
	Weight            float64  `yaml:"weight" cbor:"2,keyasint"`            // relative share under contention
	RequestsPerSecond float64  `yaml:"requestsPerSecond" cbor:"3,keyasint"` // limit over all instances
	Concurrency       int      `yaml:"concurrency" cbor:"4,keyasint"`       // maximum requests in flight over all instances
	Services          []string `yaml:"services" cbor:"5,keyasint"`          // services that the account may use
}

// Trainer is a consumer of sample groups.
type Trainer struct {
	Name          string        `yaml:"name" cbor:"1,keyasint"`
	Service       string        `yaml:"service" cbor:"2,keyasint"`   // engine service that generates the samples
	GroupSize     int           `yaml:"groupSize" cbor:"3,keyasint"` // samples
	GroupsPerStep int           `yaml:"groupsPerStep" cbor:"4,keyasint"`
	MaxStaleness  int           `yaml:"maxStaleness" cbor:"5,keyasint"` // allowed staleness of samples, in weight versions
	StepDeadline  time.Duration `yaml:"stepDeadline" cbor:"6,keyasint"` // time for an open step, from when it is first seen
	Weight        float64       `yaml:"weight" cbor:"7,keyasint"`       // relative share under contention
	Scorer        string        `yaml:"scorer" cbor:"8,keyasint"`       // URL of the scoring service; empty: no scores
	// Account is the client account whose keys the trainer presents and to which the
	// usage of its samples is counted. Empty: the trainer presents no key.
	Account string `yaml:"account" cbor:"9,keyasint"`
}

// Cost limits what the deployment may spend on targets.
type Cost struct {
	LimitPerHour float64 `yaml:"limitPerHour" cbor:"1,keyasint"` // currency units
}

// Usage holds the settings of the billing windows. A window is sealed, which fixes
// its billed counts, when Grace has passed since its end.
type Usage struct {
	Window time.Duration `yaml:"window" cbor:"1,keyasint"`
	Grace  time.Duration `yaml:"grace" cbor:"2,keyasint"` // wait for late counts before a window is sealed
}

// Control holds the settings of leases, heartbeats, freshness and the log.
type Control struct {
	LeaseTerm   time.Duration `yaml:"leaseTerm" cbor:"1,keyasint"`   // validity of one acquisition or renewal of a lease
	DriftMargin time.Duration `yaml:"driftMargin" cbor:"2,keyasint"` // extra wait before others acquire an expired lease
	Heartbeat   time.Duration `yaml:"heartbeat" cbor:"3,keyasint"`   // interval between heartbeats
	// FreshFor is the maximum age of the last confirmed log read. Beyond it, routes
	// that need a key fail closed.
	FreshFor time.Duration `yaml:"freshFor" cbor:"4,keyasint"`
	// OrderFlight is the longest time that an order sent to the platform, or another
	// call that a lease covers, may be in flight. The lease must remain valid for at
	// least this long when the call is sent.
	OrderFlight time.Duration `yaml:"orderFlight" cbor:"5,keyasint"`

	LogKeep    int           `yaml:"logKeep" cbor:"50,keyasint"`    // minimum number of records that the platform's log retains
	LogKeepFor time.Duration `yaml:"logKeepFor" cbor:"51,keyasint"` // minimum time for which it retains them
	LogReaders int           `yaml:"logReaders" cbor:"52,keyasint"` // instances per data centre that read the log directly
	// ShardBy selects one lease for the orders of the whole deployment, or one for those
	// of each data centre.
	ShardBy ShardBy `yaml:"shardBy" cbor:"53,keyasint"`
	// Format is the newest allowed format level of records. It is raised only after
	// every instance can read that level.
	Format int `yaml:"format" cbor:"54,keyasint"`
}

// ShardBy is the scope of one lease for orders.
type ShardBy string

// The scopes of a lease for orders.
const (
	ShardByDeployment ShardBy = "deployment"
	ShardByDataCentre ShardBy = "data-centre"
)

// Service returns the service called name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// ServiceForModel returns the engine service that serves model, or nil.
func (c *Config) ServiceForModel(model string) *Service {
	for i := range c.Services {
		if c.Services[i].Kind == KindEngine && c.Services[i].Model == model {
			return &c.Services[i]
		}
	}
	return nil
}

// Account returns the client account called name, or nil.
func (c *Config) Account(name string) *Account {
	for i := range c.Accounts {
		if c.Accounts[i].Name == name {
			return &c.Accounts[i]
		}
	}
	return nil
}

// HasDataCentre reports whether there is a data centre called name.
func (c *Config) HasDataCentre(name string) bool {
	for i := range c.DataCentres {
		if c.DataCentres[i].Name == name {
			return true
		}
	}
	return false
}

// Trainer returns the trainer called name, or nil.
func (c *Config) Trainer(name string) *Trainer {
	for i := range c.Trainers {
		if c.Trainers[i].Name == name {
			return &c.Trainers[i]
		}
	}
	return nil
}

// MayUse reports whether the account may call the service.
func (a *Account) MayUse(service string) bool {
	for _, s := range a.Services {
		if s == service {
			return true
		}
	}
	return false
}
