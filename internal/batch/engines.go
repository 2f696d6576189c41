package batch

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/node"
)

func latestOrderTime(orders map[string]job.LoadOrder) time.Duration {
	newest := time.Duration(0)
	for _, o := range orders {
		newest = max(newest, o.ReadAt)
	}
	return newest
}

// schedulerEngines returns the registered engines with their unfinished load orders and the
// models that they serve.
func schedulerEngines(view *node.View, orders map[string]job.LoadOrder, allowedStaleness map[string]int64) []assign.Engine {
	out := make([]assign.Engine, 0, len(view.Targets))
	for _, t := range view.Targets {
		if len(t.Models) == 0 {
			continue
		}
		e := assign.Engine{ID: t.ID, Service: t.Service, Slots: t.Slots, Ready: t.Ready, Limited: t.Limited, Software: originOf(t), Versions: t.Models}
		if o, ordered := orders[t.ID]; ordered && t.Models[o.Model] < o.Version {
			e.LoadOrderedAt, e.LoadingModel = o.ReadAt, o.Model
		}
		for model, version := range t.Models {
			if version >= view.DesiredVersions[model]-allowedStaleness[model] {
				e.Serves = append(e.Serves, model)
			}
		}
		out = append(out, e)
	}
	return out
}
