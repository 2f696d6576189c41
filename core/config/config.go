// Package config defines the operators' configuration of a rollout deployment:
// its schema, the merge of a base file with site overlays, and the checks that
// a configuration must pass before it is appended to the log.
//
// The package reads no files. Callers hand it file contents and receive either
// a valid Config or every finding with its file, line and column.
package config

import "time"

// Kind tells how a service answers requests.
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

// DataCentre is one failure domain of the region.
type DataCentre struct {
	Name  string `yaml:"name" cbor:"1,keyasint"`
	Cheap bool   `yaml:"cheap" cbor:"2,keyasint"` // sells targets that can vanish at once
}

// Service is a set of interchangeable targets.
type Service struct {
	Name          string        `yaml:"name" cbor:"1,keyasint"`
	Kind          Kind          `yaml:"kind" cbor:"2,keyasint"`
	Model         string        `yaml:"model" cbor:"3,keyasint"`         // name that callers put in "model"; engines only
	MinTargets    int           `yaml:"minTargets" cbor:"4,keyasint"`    // running targets at all times
	MaxTargets    int           `yaml:"maxTargets" cbor:"5,keyasint"`    // upper bound on running targets
	Concurrency   int           `yaml:"concurrency" cbor:"6,keyasint"`   // requests in flight per target
	QueueLimit    int           `yaml:"queueLimit" cbor:"7,keyasint"`    // requests waiting per target
	ChecksFencing bool          `yaml:"checksFencing" cbor:"8,keyasint"` // targets refuse an old fencing number
	StartUp       time.Duration `yaml:"startUp" cbor:"9,keyasint"`       // from start order to first answer
	CostPerHour   float64       `yaml:"costPerHour" cbor:"10,keyasint"`  // currency units per running target
	CheapPerHour  float64       `yaml:"cheapPerHour" cbor:"11,keyasint"` // the same on reclaimable targets
	Routes        []Route       `yaml:"routes" cbor:"12,keyasint"`       // plain services only
	// TokensPerSecond is what one engine generates under full load.
	TokensPerSecond float64    `yaml:"tokensPerSecond" cbor:"60,keyasint"`
	Schedule        []Schedule `yaml:"schedule" cbor:"61,keyasint"`     // times that are known to be busy
	SwapParallel    int        `yaml:"swapParallel" cbor:"40,keyasint"` // engines that change weights at once; zero: a quarter
	KVMinTokens     int        `yaml:"kvMinTokens" cbor:"30,keyasint"`  // tokens from which a moved stream's KV cache is imported; zero: never
	SampleShare     float64    `yaml:"sampleShare" cbor:"20,keyasint"`  // part of a target's tokens that samples get while callers wait; zero: 0.2
}

// Route describes the calls below one path of a plain service.
type Route struct {
	Name       string `yaml:"name" cbor:"1,keyasint"` // path prefix, such as /holds
	Repeatable bool   `yaml:"repeatable" cbor:"2,keyasint"`
	Open       bool   `yaml:"open" cbor:"3,keyasint"` // needs no key
}

// Account is a client account with its limits.
type Account struct {
	Name              string   `yaml:"name" cbor:"1,keyasint"`
	Weight            float64  `yaml:"weight" cbor:"2,keyasint"`            // share under contention
	RequestsPerSecond float64  `yaml:"requestsPerSecond" cbor:"3,keyasint"` // over all instances
	Concurrency       int      `yaml:"concurrency" cbor:"4,keyasint"`       // requests in flight over all instances
	Services          []string `yaml:"services" cbor:"5,keyasint"`
}

// Trainer is a consumer of sample groups.
type Trainer struct {
	Name          string        `yaml:"name" cbor:"1,keyasint"`
	Service       string        `yaml:"service" cbor:"2,keyasint"` // engine service that generates the samples
	GroupSize     int           `yaml:"groupSize" cbor:"3,keyasint"`
	GroupsPerStep int           `yaml:"groupsPerStep" cbor:"4,keyasint"`
	MaxStaleness  int           `yaml:"maxStaleness" cbor:"5,keyasint"` // weight versions
	StepDeadline  time.Duration `yaml:"stepDeadline" cbor:"6,keyasint"`
	Weight        float64       `yaml:"weight" cbor:"7,keyasint"` // share under contention
	Scorer        string        `yaml:"scorer" cbor:"8,keyasint"` // URL of the scoring service; empty: no scores
	// Account is the client account whose keys the trainer shows and whose usage
	// its samples are. Empty: the trainer shows no key.
	Account string `yaml:"account" cbor:"9,keyasint"`
}

// Cost bounds what the deployment may spend on targets.
type Cost struct {
	LimitPerHour float64 `yaml:"limitPerHour" cbor:"1,keyasint"` // currency units
}

// Usage sets the billing windows.
type Usage struct {
	Window time.Duration `yaml:"window" cbor:"1,keyasint"`
	Grace  time.Duration `yaml:"grace" cbor:"2,keyasint"` // wait for late counts before a window is sealed
}

// Control sets the timing of leases, heartbeats and freshness.
type Control struct {
	LeaseTerm   time.Duration `yaml:"leaseTerm" cbor:"1,keyasint"`
	DriftMargin time.Duration `yaml:"driftMargin" cbor:"2,keyasint"`
	Heartbeat   time.Duration `yaml:"heartbeat" cbor:"3,keyasint"`
	FreshFor    time.Duration `yaml:"freshFor" cbor:"4,keyasint"` // keyed routes fail closed after this long without proof of freshness
	OrderFlight time.Duration `yaml:"orderFlight" cbor:"5,keyasint"`

	LogKeep    int           `yaml:"logKeep" cbor:"50,keyasint"`    // records that the platform's log keeps at least
	LogKeepFor time.Duration `yaml:"logKeepFor" cbor:"51,keyasint"` // how long it keeps them at least
	LogReaders int           `yaml:"logReaders" cbor:"52,keyasint"` // instances per data centre that read the log themselves
	ShardBy    ShardBy       `yaml:"shardBy" cbor:"53,keyasint"`    // who is in charge of orders: one instance, or one per data centre
	Format     int           `yaml:"format" cbor:"54,keyasint"`     // newest format level of records; raised once every instance reads it
}

// ShardBy tells what one lease for orders covers.
type ShardBy string

// The spans of a lease for orders.
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
