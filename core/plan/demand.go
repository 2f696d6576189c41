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

// Step is the remaining work of an open step of a trainer. A step is a fixed number of
// groups of samples, which are generated before a deadline.
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
// requests, plain services, the minimum and scheduled peaks get on-demand targets.
// Sampling is resumable, so the further targets that it needs may be cheap, up to
// LossShare of all targets in each cheap data centre; the rest are on-demand.
func RequiredTargets(cfg *config.Config, s *config.Service, d Demand, wallTime time.Time) Requirement {
	requestsPerTarget := float64(s.Concurrency) * cfg.Capacity.Utilisation
	callerTargets := float64(d.Callers) / requestsPerTarget
	sampleTargets := targetsForSamples(cfg, s, d, requestsPerTarget)
	minimum := min(max(s.MinTargets, scheduledMinimum(cfg, s, wallTime)), s.MaxTargets)
	total := min(max(minimum, ceilWithTolerance(callerTargets+sampleTargets)), s.MaxTargets)
	onDemand := min(max(minimum, ceilWithTolerance(callerTargets)), total)
	cheap := min(total-onDemand, maxCheapTargets(cfg, s, total))
	return Requirement{OnDemand: total - cheap, Cheap: cheap}
}

// targetsForSamples returns the number of targets needed for samples. It follows from the
// token rate that the deadlines of the open steps require. Without open steps, or if the
// configuration has no token rate of the service, it follows from the samples granted and
// waiting.
func targetsForSamples(cfg *config.Config, s *config.Service, d Demand, requestsPerTarget float64) float64 {
	if len(d.Steps) == 0 || s.TokensPerSecond == 0 {
		return float64(d.Samples) / requestsPerTarget
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
	localTime := cfg.Capacity.LocalTime(wallTime)
	targets := 0
	for i := range s.Schedule {
		if s.Schedule[i].Active(localTime, s.StartUp+scheduleLead) {
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
