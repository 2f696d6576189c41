// Package size decides how many targets a service should have in each data centre.
//
// Its caller passes in the time, the jobs, the registered targets, the bounds with the prices
// and the outcomes of orders, and sends the orders. A Forecast estimates the load from the jobs,
// a Planner orders what is missing for it. The package performs no I/O.
package size

import "time"

// Demand is the load of a service.
type Demand struct {
	PeakTasks      int // recent maximum of tasks waiting or running at the same time
	SlotsPerTarget int // tasks that one target runs concurrently
}

// Thresholds of NeedsMoreTargets.
const (
	// maxSlotWait is the longest wait for a free slot that does not call for more
	// targets. A longer wait delays a task noticeably; a burst of short tasks waits
	// less at normal load.
	maxSlotWait = 700 * time.Millisecond
	// maxDueFraction is the fraction of its deadline that a job may take without calling
	// for more targets. The rest is a reserve for the loss of a target.
	maxDueFraction = 0.8
)

// NeedsMoreTargets reports whether a job calls for more targets: its tasks waited for
// free slots for longer than maxSlotWait, and elapsed, its duration or, if it is open,
// its duration so far, exceeds maxDueFraction of the deadline. deadline is the time from
// its submission until its results are due.
func NeedsMoreTargets(slotWait, elapsed, deadline time.Duration) bool {
	return slotWait > maxSlotWait && elapsed > time.Duration(maxDueFraction*float64(deadline))
}

// Bounds holds the limits of the number of targets in each data centre, and the prices.
type Bounds struct {
	Min, Max int
	Prices   map[string]float64 // price of a target per second, by data centre
}

// DesiredTargets returns the number of targets by data centre, for every data centre
// with a price. Each number is at least the present one and Min, but at most Max.
// Targets are added until there are more slots than peak tasks or every data centre has
// Max targets. They are spread evenly, to minimise the loss when a data centre fails; at
// equal numbers the cheapest data centre gets the next target.
func DesiredTargets(d Demand, b Bounds, present map[string]int) map[string]int {
	dataCentres := byPrice(b)
	desired := make(map[string]int, len(dataCentres))
	total := 0
	for _, dc := range dataCentres {
		desired[dc] = min(max(present[dc], b.Min), b.Max)
		total += desired[dc]
	}
	needed := d.PeakTasks/max(1, d.SlotsPerTarget) + 1
	for total < needed {
		smallest := ""
		for _, dc := range dataCentres {
			if desired[dc] < b.Max && (smallest == "" || desired[dc] < desired[smallest]) {
				smallest = dc
			}
		}
		if smallest == "" {
			return desired
		}
		desired[smallest]++
		total++
	}
	return desired
}
