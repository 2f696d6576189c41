// Package size decides how many targets a service should have in each data centre.
package size

import (
	"cmp"
	"slices"
	"time"
)

// Demand is what a service's targets have to do.
type Demand struct {
	PeakTasks      int // most tasks that waited or ran at a time, lately
	SlotsPerTarget int // tasks that one target runs at once
}

// Thresholds of Short.
const (
	// maxSlotWait is how long a task may wait for a slot: it then ends noticeably
	// later. A burst of short tasks waits less at usual load.
	maxSlotWait = 700 * time.Millisecond
	// maxDueFraction of the time until its results are due is what a job takes at most
	// without need for more targets; the rest is left for the loss of one.
	maxDueFraction = 0.8
)

// NeedsMoreTargets reports whether a job calls for more targets: its tasks waited for slots, and
// it took (or has taken until now) nearly as long as it may.
func NeedsMoreTargets(waited, took, due time.Duration) bool {
	return waited > maxSlotWait && took > time.Duration(maxDueFraction*float64(due))
}

// Bounds limit the targets in each data centre.
type Bounds struct {
	Min, Max int
	Prices   map[string]float64 // a target's price a second, by data centre
}

// DesiredTargets returns the number of targets by data centre: enough slots for the demand,
// and never fewer than there are. They are spread evenly, so that the loss of a
// data centre costs least; the cheaper ones get what is left over.
func DesiredTargets(d Demand, b Bounds, present map[string]int) map[string]int {
	zones := make([]string, 0, len(b.Prices))
	for zone := range b.Prices {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(x, y string) int {
		return cmp.Or(cmp.Compare(b.Prices[x], b.Prices[y]), cmp.Compare(x, y))
	})
	want := make(map[string]int, len(zones))
	total := 0
	for _, z := range zones {
		want[z] = min(max(present[z], b.Min), b.Max)
		total += want[z]
	}
	needed := d.PeakTasks/max(1, d.SlotsPerTarget) + 1
	for total < needed {
		least := ""
		for _, z := range zones {
			if want[z] < b.Max && (least == "" || want[z] < want[least]) {
				least = z
			}
		}
		if least == "" {
			return want
		}
		want[least]++
		total++
	}
	return want
}
