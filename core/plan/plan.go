// Package plan decides which targets to start and stop.
package plan

import (
	"sort"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// Target is a target that the platform lists or that an open order starts.
type Target struct {
	ID         string
	Service    string
	DataCentre string
	Cheap      bool
	Leaving    bool
}

// Order is a wanted change.
type Order struct {
	Action     record.Action
	Service    string
	DataCentre string
	Cheap      bool
	Target     string // for a stop
}

// Missing returns the starts that bring every service to its minimum, spread
// over the data centres that do not reclaim targets.
func Missing(cfg *config.Config, targets []Target) []Order {
	var orders []Order
	for i := range cfg.Services {
		orders = append(orders, missing(cfg, &cfg.Services[i], targets)...)
	}
	return orders
}

func missing(cfg *config.Config, s *config.Service, targets []Target) []Order {
	perDC := map[string]int{}
	total := 0
	for _, t := range targets {
		if t.Service == s.Name && !t.Leaving {
			perDC[t.DataCentre]++
			total++
		}
	}
	var orders []Order
	for ; total < s.MinTargets; total++ {
		dc := emptiest(cfg, perDC)
		if dc == "" {
			return orders
		}
		perDC[dc]++
		orders = append(orders, Order{Action: record.ActionStart, Service: s.Name, DataCentre: dc})
	}
	return orders
}

// emptiest returns the safe data centre with the fewest targets.
func emptiest(cfg *config.Config, perDC map[string]int) string {
	var names []string
	for _, dc := range cfg.DataCentres {
		if !dc.Cheap {
			names = append(names, dc.Name)
		}
	}
	sort.SliceStable(names, func(i, j int) bool { return perDC[names[i]] < perDC[names[j]] })
	if len(names) == 0 {
		return ""
	}
	return names[0]
}
