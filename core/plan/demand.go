package plan

import (
	"math"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
)

// samplingFraction is the part of the time to a step's deadline that sampling is
// planned to take. The rest is for stragglers.
const samplingFraction = 0.75

// scheduleLead is added to the start-up time when a schedule comes near.
const scheduleLead = time.Minute

// Step is the work that a trainer still needs for its step.
type Step struct {
	Tokens    float64       // still to be generated
	Remaining time.Duration // to the deadline
}

// Demand is the load of one service.
type Demand struct {
	Callers int    // callers' requests granted and waiting
	Samples int    // samples granted and waiting
	Steps   []Step // open steps of trainers
}

// Requirement is how many targets a service needs. Safe ones are not reclaimable.
type Requirement struct {
	OnDemand int
	Cheap    int
}

// Total returns all targets needed.
func (n Requirement) Total() int { return n.OnDemand + n.Cheap }

// RequiredTargets returns the targets that the service needs. Callers' and plain services'
// work, the minimum and scheduled peaks are met by safe targets; what resumable
// sampling needs beyond them may go to cheap ones, up to the share that one data
// centre may take with it.
func RequiredTargets(cfg *config.Config, s *config.Service, d Demand, wall time.Time) Requirement {
	perTarget := float64(s.Concurrency) * cfg.Capacity.Utilisation
	callers := float64(d.Callers) / perTarget
	samples := samplesNeed(cfg, s, d, perTarget)
	base := min(max(s.MinTargets, scheduledMinimum(cfg, s, wall)), s.MaxTargets)
	total := min(max(base, ceilWithTolerance(callers+samples)), s.MaxTargets)
	safe := min(max(base, ceilWithTolerance(callers)), total)
	cheap := min(total-safe, maxCheapTargets(cfg, s, total))
	return Requirement{OnDemand: total - cheap, Cheap: cheap}
}

// samplesNeed returns the targets for samples: by the trainers' deadlines where
// they are known, else by the requests at hand.
func samplesNeed(cfg *config.Config, s *config.Service, d Demand, perTarget float64) float64 {
	if len(d.Steps) == 0 || s.TokensPerSecond == 0 {
		return float64(d.Samples) / perTarget
	}
	rate := 0.0
	for _, step := range d.Steps {
		left := max(step.Remaining.Seconds(), 1) * samplingFraction
		rate += step.Tokens / left
	}
	return rate / (s.TokensPerSecond * cfg.Capacity.Utilisation)
}

func scheduledMinimum(cfg *config.Config, s *config.Service, wall time.Time) int {
	local := cfg.Capacity.LocalTime(wall)
	targets := 0
	for i := range s.Schedule {
		if s.Schedule[i].Active(local, s.StartUp+scheduleLead) {
			targets = max(targets, s.Schedule[i].MinTargets)
		}
	}
	return targets
}

// maxCheapTargets returns how many of total targets may be cheap.
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

// maxCheapPerDataCentre returns how many of total targets one cheap data centre may hold,
// so that the rest carries on when it vanishes.
func maxCheapPerDataCentre(cfg *config.Config, total int) int {
	return int(math.Floor(float64(total) * cfg.Capacity.LossShare))
}

// ceilWithTolerance rounds up, forgiving the last bits of a division.
func ceilWithTolerance(x float64) int { return int(math.Ceil(x - 1e-9)) }
