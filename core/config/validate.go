package config

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// Defaults of fields that the files leave out, and limits.
const (
	defaultConcurrency = 8   // requests in flight per target
	defaultQueueLimit  = 256 // requests waiting per target
	defaultWindow      = time.Minute
	defaultGrace       = 10 * time.Second
	defaultLeaseTerm   = 6 * time.Second
	defaultDriftMargin = 500 * time.Millisecond
	defaultHeartbeat   = time.Second
	defaultFreshFor    = 4 * time.Second
	defaultOrderFlight = time.Second
	defaultLogKeep     = 100_000 // records
	defaultLogKeepFor  = time.Hour
	defaultLogReaders  = 3 // instances per data centre
	defaultFormat      = 1
	minLogKeepRecords  = 1000
	maxFormat          = 1 // newest format level that this build reads; equals record.Version
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

func applyDefaults(c *Config) {
	for i := range c.Services {
		s := &c.Services[i]
		setDefault(&s.Concurrency, defaultConcurrency)
		setDefault(&s.QueueLimit, defaultQueueLimit)
	}
	for i := range c.Accounts {
		setDefault(&c.Accounts[i].Weight, 1)
	}
	for i := range c.Trainers {
		setDefault(&c.Trainers[i].Weight, 1)
	}
	setDefault(&c.Usage.Window, defaultWindow)
	setDefault(&c.Usage.Grace, defaultGrace)
	setDefault(&c.Control.LeaseTerm, defaultLeaseTerm)
	setDefault(&c.Control.DriftMargin, defaultDriftMargin)
	setDefault(&c.Control.Heartbeat, defaultHeartbeat)
	setDefault(&c.Control.FreshFor, defaultFreshFor)
	setDefault(&c.Control.OrderFlight, defaultOrderFlight)
	c.Capacity.applyDefaults()
	applyRetryDefaults(&c.Retries)
	setDefault(&c.Control.LogKeep, defaultLogKeep)
	setDefault(&c.Control.LogKeepFor, defaultLogKeepFor)
	setDefault(&c.Control.LogReaders, defaultLogReaders)
	setDefault(&c.Control.ShardBy, ShardByDeployment)
	setDefault(&c.Control.Format, defaultFormat)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// validator checks the merged configuration and adds a finding with its position for
// each invalid value.
type validator struct {
	*collector
	cfg          *Config
	positions    *positions
	fallbackFile string // file of a finding about a required field that no file sets
}

func validate(c *collector, cfg *Config, pos *positions, fallbackFile string) {
	v := &validator{collector: c, cfg: cfg, positions: pos, fallbackFile: fallbackFile}
	v.name("deployment", cfg.Deployment)
	v.dataCentres()
	v.services()
	v.accounts()
	v.trainers()
	v.control()
	v.capacity()
	v.retries()
	v.positive("cost.limitPerHour", cfg.Cost.LimitPerHour)
}

func (v *validator) errorf(path, format string, args ...any) {
	v.add(v.positions.lookup(path, v.fallbackFile), "%s %s", path, fmt.Sprintf(format, args...))
}

func (v *validator) name(path, name string) {
	if !namePattern.MatchString(name) {
		v.errorf(path, "is %q, want lower-case letters, digits and hyphens", name)
	}
}

func (v *validator) positive(path string, value float64) {
	if value <= 0 {
		v.errorf(path, "is %g, want more than zero", value)
	}
}

func (v *validator) nonNegative(path string, value float64) {
	if value < 0 {
		v.errorf(path, "is %g, want zero or more", value)
	}
}

func (v *validator) dataCentres() {
	if len(v.cfg.DataCentres) == 0 {
		v.errorf("dataCentres", "is empty, want at least one")
	}
	for _, dc := range v.cfg.DataCentres {
		v.name("dataCentres["+dc.Name+"]", dc.Name)
	}
}

func (v *validator) services() {
	models := map[string]string{}
	for i := range v.cfg.Services {
		s := &v.cfg.Services[i]
		path := "services[" + s.Name + "]"
		v.name(path, s.Name)
		v.serviceKind(path, s)
		v.nonNegative(path+".minTargets", float64(s.MinTargets))
		v.positive(path+".maxTargets", float64(s.MaxTargets))
		if s.MaxTargets < s.MinTargets {
			v.errorf(path+".maxTargets", "is %d, less than minTargets %d", s.MaxTargets, s.MinTargets)
		}
		v.positive(path+".concurrency", float64(s.Concurrency))
		v.positive(path+".queueLimit", float64(s.QueueLimit))
		if s.SampleShare < 0 || s.SampleShare >= 1 {
			v.errorf(path+".sampleShare", "is %g, want zero or more and less than one", s.SampleShare)
		}
		v.nonNegative(path+".costPerHour", s.CostPerHour)
		v.nonNegative(path+".cheapPerHour", s.CheapPerHour)
		v.nonNegative(path+".startUp", float64(s.StartUp))
		v.nonNegative(path+".tokensPerSecond", s.TokensPerSecond)
		v.schedule(path, s)
		v.nonNegative(path+".kvMinTokens", float64(s.KVMinTokens))
		v.nonNegative(path+".swapParallel", float64(s.SwapParallel))
		if other, exists := models[s.Model]; exists && s.Model != "" {
			v.errorf(path+".model", "is %q, which service %q already serves", s.Model, other)
		}
		models[s.Model] = s.Name
	}
}

func (v *validator) serviceKind(path string, s *Service) {
	switch s.Kind {
	case KindEngine:
		if s.Model == "" {
			v.errorf(path+".model", "is missing; an engine service needs one")
		}
		if len(s.Routes) > 0 {
			v.errorf(path+".routes", "is only for plain services")
		}
	case KindPlain:
		if s.Model != "" {
			v.errorf(path+".model", "is only for engine services")
		}
		for _, r := range s.Routes {
			if !strings.HasPrefix(r.Name, "/") {
				v.errorf(path+".routes["+r.Name+"]", "is %q, want a path that starts with /", r.Name)
			}
		}
	default:
		v.errorf(path+".kind", "is %q, want %q or %q", s.Kind, KindEngine, KindPlain)
	}
}

func (v *validator) accounts() {
	for _, a := range v.cfg.Accounts {
		path := "accounts[" + a.Name + "]"
		v.name(path, a.Name)
		v.positive(path+".weight", a.Weight)
		v.nonNegative(path+".requestsPerSecond", a.RequestsPerSecond)
		v.nonNegative(path+".concurrency", float64(a.Concurrency))
		for _, s := range a.Services {
			if v.cfg.Service(s) == nil {
				v.errorf(path+".services["+s+"]", "names service %q, which does not exist", s)
			}
		}
	}
}

func (v *validator) trainers() {
	for _, t := range v.cfg.Trainers {
		path := "trainers[" + t.Name + "]"
		v.name(path, t.Name)
		s := v.cfg.Service(t.Service)
		if s == nil || s.Kind != KindEngine {
			v.errorf(path+".service", "is %q, want an engine service", t.Service)
		}
		v.trainerAccount(path, &t)
		v.positive(path+".weight", t.Weight)
		v.positive(path+".groupSize", float64(t.GroupSize))
		v.positive(path+".groupsPerStep", float64(t.GroupsPerStep))
		v.nonNegative(path+".maxStaleness", float64(t.MaxStaleness))
		v.positive(path+".stepDeadline", t.StepDeadline.Seconds())
	}
}

func (v *validator) trainerAccount(path string, t *Trainer) {
	if t.Account == "" {
		return
	}
	a := v.cfg.Account(t.Account)
	if a == nil {
		v.errorf(path+".account", "names client account %q, which does not exist", t.Account)
		return
	}
	if !a.MayUse(t.Service) {
		v.errorf(path+".account", "names client account %q, which may not use service %q", t.Account, t.Service)
	}
}

func (v *validator) control() {
	c := v.cfg.Control
	v.positive("usage.window", v.cfg.Usage.Window.Seconds())
	v.nonNegative("usage.grace", v.cfg.Usage.Grace.Seconds())
	v.positive("control.leaseTerm", c.LeaseTerm.Seconds())
	v.positive("control.driftMargin", c.DriftMargin.Seconds())
	v.positive("control.heartbeat", c.Heartbeat.Seconds())
	v.positive("control.freshFor", c.FreshFor.Seconds())
	v.positive("control.orderFlight", c.OrderFlight.Seconds())
	v.logSettings(c)
	if c.LeaseTerm <= 2*c.OrderFlight {
		v.errorf("control.leaseTerm", "is %s, want more than twice orderFlight %s", c.LeaseTerm, c.OrderFlight)
	}
}

func (v *validator) logSettings(c Control) {
	if c.LogKeep < minLogKeepRecords {
		v.errorf("control.logKeep", "is %d, want at least %d records", c.LogKeep, minLogKeepRecords)
	}
	v.positive("control.logKeepFor", c.LogKeepFor.Seconds())
	v.positive("control.logReaders", float64(c.LogReaders))
	if c.ShardBy != ShardByDeployment && c.ShardBy != ShardByDataCentre {
		v.errorf("control.shardBy", "is %q, want %q or %q", c.ShardBy, ShardByDeployment, ShardByDataCentre)
	}
	if c.Format < 1 || c.Format > maxFormat {
		v.errorf("control.format", "is %d, want 1 to %d", c.Format, maxFormat)
	}
}
