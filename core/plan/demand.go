package plan

import (
	"math"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
)

// samplingFraction is the fraction of the time to a step's deadline that is planned for
// sampling. The rest is reserved for stragglers.
const samplingFraction = 0.75

// scheduleLead is added to a service's start-up time when targets are started ahead of a
// schedule.
const scheduleLead = time.Minute

// Step is the remaining work of a trainer's step.
type Step struct {
	Tokens    float64       // still to be generated
	Remaining time.Duration // time to the deadline
}

// Demand is the load of one service.
type Demand struct {
	Callers int    // callers' requests, granted and waiting
	Samples int    // samples, granted and waiting
	Steps   []Step // open steps of trainers
}

// Requirement is the number of targets that a service needs. Cheap targets are spot
// capacity: they can be reclaimed with their whole data centre at short notice.
// On-demand targets are not reclaimed.
type Requirement struct {
	OnDemand int
	Cheap    int
}

// Total returns the number of targets of both kinds.
func (n Requirement) Total() int { return n.OnDemand + n.Cheap }

// RequiredTargets returns the targets that the service needs, at most MaxTargets. Callers'
// requests, plain services, the minimum and scheduled peaks are served by on-demand
// targets. Sampling is resumable: what it needs beyond these may be served by cheap
// targets, up to LossShare of all targets in each cheap data centre.
func RequiredTargets(cfg *config.Config, s *config.Service, d Demand, wallTime time.Time) Requirement {
	perTarget := float64(s.Concurrency) * cfg.Capacity.Utilisation
	callerTargets := float64(d.Callers) / perTarget
	sampleTargets := targetsForSamples(cfg, s, d, perTarget)
	minimum := min(max(s.MinTargets, scheduledMinimum(cfg, s, wallTime)), s.MaxTargets)
	total := min(max(minimum, ceilWithTolerance(callerTargets+sampleTargets)), s.MaxTargets)
	onDemand := min(max(minimum, ceilWithTolerance(callerTargets)), total)
	cheap := min(total-onDemand, maxCheapTargets(cfg, s, total))
	return Requirement{OnDemand: total - cheap, Cheap: cheap}
}

// targetsForSamples returns the targets needed for samples. They follow from the token
// rate that the open steps' deadlines require, or, without open steps or a token rate
// of the service, from the samples granted and waiting.
func targetsForSamples(cfg *config.Config, s *config.Service, d Demand, perTarget float64) float64 {
	if len(d.Steps) == 0 || s.TokensPerSecond == 0 {
		return float64(d.Samples) / perTarget
	}
	rate := 0.0
	for _, step := range d.Steps {
		samplingSeconds := max(step.Remaining.Seconds(), 1) * samplingFraction
		rate += step.Tokens / samplingSeconds
	}
	return rate / (s.TokensPerSecond * cfg.Capacity.Utilisation)
}

// scheduledMinimum returns the highest minimum of the schedules that are active at
// wallTime or will be after the start-up time and scheduleLead.
func scheduledMinimum(cfg *config.Config, s *config.Service, wallTime time.Time) int {
	local := cfg.Capacity.LocalTime(wallTime)
	targets := 0
	for i := range s.Schedule {
		if s.Schedule[i].Active(local, s.StartUp+scheduleLead) {
			targets = max(targets, s.Schedule[i].MinTargets)
		}
	}
	return targets
}

// maxCheapTargets returns how many of total targets may be cheap: zero for plain services
// and services without a price for cheap targets, else the sum over the cheap data
// centres.
func maxCheapTargets(cfg *config.Config, s *config.Service, total int) int {
	if s.Kind != config.KindEngine || s.CheapPerHour == 0 {
		return 0
	}
	limit := 0
	for _, dc := range cfg.DataCentres {
		if dc.Cheap {
			limit += maxCheapPerDataCentre(cfg, total)
		}
	}
	return limit
}

// maxCheapPerDataCentre returns how many of total targets one cheap data centre may hold:
// LossShare of them, so that the other targets remain when it is reclaimed.
func maxCheapPerDataCentre(cfg *config.Config, total int) int {
	return int(math.Floor(float64(total) * cfg.Capacity.LossShare))
}

// ceilWithTolerance rounds up. The tolerance absorbs floating-point rounding errors.
func ceilWithTolerance(x float64) int { return int(math.Ceil(x - 1e-9)) }
