package config

import (
	"fmt"
	"strings"
	"time"
)

// Capacity holds the settings by which targets are started, drained and stopped.
type Capacity struct {
	Utilisation float64       `yaml:"utilisation" cbor:"1,keyasint"` // share of a target's concurrency that planning uses
	ShrinkAfter time.Duration `yaml:"shrinkAfter" cbor:"2,keyasint"` // how long a surplus of targets must last before one is drained
	MinLifetime time.Duration `yaml:"minLifetime" cbor:"3,keyasint"` // minimum age of a target that is drained because of a surplus
	// DrainSettle is the time that a drain takes to reach every instance. Only load
	// reports from after that time show that a drained target is idle.
	DrainSettle time.Duration `yaml:"drainSettle" cbor:"4,keyasint"`
	LossShare   float64       `yaml:"lossShare" cbor:"5,keyasint"` // largest share of a service's targets in one cheap data centre
	// OrderLag is the maximum lag of the platform's list of targets behind an order's
	// effect.
	OrderLag    time.Duration `yaml:"orderLag" cbor:"6,keyasint"`
	SilentAfter time.Duration `yaml:"silentAfter" cbor:"8,keyasint"` // time without a response after which an engine is replaced
	UTCOffset   time.Duration `yaml:"utcOffset" cbor:"7,keyasint"`   // of the deployment's local time
}

// Defaults of Capacity.
const (
	defaultUtilisation = 0.7
	defaultShrinkAfter = 5 * time.Minute
	defaultMinLifetime = 10 * time.Minute
	defaultDrainSettle = 2 * time.Second
	defaultLossShare   = 0.5
	defaultOrderLag    = 2 * time.Second
	defaultSilentAfter = 30 * time.Second
	maxUTCOffset       = 14 * time.Hour
)

func (c *Capacity) applyDefaults() {
	setDefault(&c.Utilisation, defaultUtilisation)
	setDefault(&c.ShrinkAfter, defaultShrinkAfter)
	setDefault(&c.MinLifetime, defaultMinLifetime)
	setDefault(&c.DrainSettle, defaultDrainSettle)
	setDefault(&c.LossShare, defaultLossShare)
	setDefault(&c.OrderLag, defaultOrderLag)
	setDefault(&c.SilentAfter, defaultSilentAfter)
}

// Schedule raises the minimum number of a service's targets at times that are known
// to be busy. Start and End are local times of day, such as 16:30. A schedule with
// neither Weekday nor Date is active every day.
type Schedule struct {
	Name       string `yaml:"name" cbor:"1,keyasint"`
	Weekday    string `yaml:"weekday" cbor:"2,keyasint"` // such as wednesday
	Date       string `yaml:"date" cbor:"3,keyasint"`    // such as 2026-03-04
	Start      string `yaml:"start" cbor:"4,keyasint"`
	End        string `yaml:"end" cbor:"5,keyasint"`
	MinTargets int    `yaml:"minTargets" cbor:"6,keyasint"`
}

const (
	timeOfDayLayout = "15:04"
	dateLayout      = time.DateOnly
)

// Active reports whether the schedule is active at the deployment's local time, or will be
// after lead: targets are started that long in advance.
func (s *Schedule) Active(local time.Time, lead time.Duration) bool {
	for _, t := range []time.Time{local, local.Add(lead)} {
		if s.matchesDay(t) && s.matchesTime(t) {
			return true
		}
	}
	return false
}

func (s *Schedule) matchesDay(local time.Time) bool {
	if s.Date != "" {
		return local.Format(dateLayout) == s.Date
	}
	return s.Weekday == "" || strings.EqualFold(local.Weekday().String(), s.Weekday)
}

func (s *Schedule) matchesTime(local time.Time) bool {
	now := local.Format(timeOfDayLayout)
	return s.Start <= now && now < s.End
}

// LocalTime returns t in the deployment's local time.
func (c *Capacity) LocalTime(t time.Time) time.Time {
	return t.In(time.FixedZone("site", int(c.UTCOffset/time.Second)))
}

func (v *validator) capacity() {
	c := v.cfg.Capacity
	v.share("capacity.utilisation", c.Utilisation)
	v.share("capacity.lossShare", c.LossShare)
	v.positive("capacity.shrinkAfter", c.ShrinkAfter.Seconds())
	v.positive("capacity.minLifetime", c.MinLifetime.Seconds())
	v.positive("capacity.drainSettle", c.DrainSettle.Seconds())
	v.positive("capacity.orderLag", c.OrderLag.Seconds())
	v.positive("capacity.silentAfter", c.SilentAfter.Seconds())
	if c.UTCOffset.Abs() > maxUTCOffset {
		v.errorf("capacity.utcOffset", "is %s, want at most %s either way", c.UTCOffset, maxUTCOffset)
	}
}

// share adds a finding unless value is above zero and at most one.
func (v *validator) share(path string, value float64) {
	if value <= 0 || value > 1 {
		v.errorf(path, "is %g, want more than zero and at most one", value)
	}
}

func (v *validator) schedule(path string, s *Service) {
	for i := range s.Schedule {
		entry := &s.Schedule[i]
		entryPath := path + ".schedule[" + entry.Name + "]"
		v.scheduleDay(entryPath, entry)
		v.scheduleTime(entryPath+".start", entry.Start)
		v.scheduleTime(entryPath+".end", entry.End)
		if entry.End <= entry.Start {
			v.errorf(entryPath+".end", "is %q, not after the start %q; split a schedule at midnight", entry.End, entry.Start)
		}
		if entry.MinTargets < 1 || entry.MinTargets > s.MaxTargets {
			v.errorf(entryPath+".minTargets", "is %d, want between 1 and maxTargets %d", entry.MinTargets, s.MaxTargets)
		}
	}
}

func (v *validator) scheduleDay(path string, s *Schedule) {
	if s.Weekday != "" && s.Date != "" {
		v.errorf(path, "names a weekday and a date, want one of them")
	}
	if _, err := time.Parse(dateLayout, s.Date); s.Date != "" && err != nil {
		v.errorf(path+".date", "is %q, want a date such as 2026-03-04", s.Date)
	}
	if s.Weekday != "" && !isWeekday(s.Weekday) {
		v.errorf(path+".weekday", "is %q, want a day such as wednesday", s.Weekday)
	}
}

func isWeekday(name string) bool {
	for day := time.Sunday; day <= time.Saturday; day++ {
		if strings.EqualFold(day.String(), name) {
			return true
		}
	}
	return false
}

func (v *validator) scheduleTime(path, value string) {
	t, err := time.Parse(timeOfDayLayout, value)
	if err != nil || t.Format(timeOfDayLayout) != value {
		v.errorf(path, "is %q, want a time of day such as 16:30", value)
	}
}

// String formats the schedule for events and reports.
func (s *Schedule) String() string {
	return fmt.Sprintf("%s (%s%s %s-%s)", s.Name, s.Weekday, s.Date, s.Start, s.End)
}
