package engine

import (
	"net/http"
	"time"

	api "github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/standin"
	"github.com/amaranthfold/amaranthfold/internal/standin/weights"
)

func (e *Engine) handleManage(w http.ResponseWriter, r *http.Request) {
	var order api.Order
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	if !order.NotAfter.IsZero() && time.Now().After(order.NotAfter) {
		http.Error(w, "order arrived after its deadline", http.StatusGone)
		return
	}
	if !e.checkFencing(order) {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	if order.Kind != api.LoadWeights {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if err := e.swap(order); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// checkFencing reports whether the order's fencing number is not stale, and keeps the
// highest one received. Without ChecksFencing it accepts every number.
func (e *Engine) checkFencing(order api.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && order.Fencing < e.highestFencing {
		return false
	}
	e.highestFencing = max(e.highestFencing, order.Fencing)
	return true
}

// swap downloads the version while the engine serves with the old one, then switches
// to it between two steps. Running sequences continue with the new weights.
func (e *Engine) swap(order api.Order) error {
	if e.cfg.WeightStore != "" {
		if err := weights.Fetch(http.DefaultClient, e.cfg.WeightStore, order.Model, order.Version); err != nil {
			return err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failSwaps > 0 {
		e.failSwaps--
		if e.swapLosesVersion {
			e.version = 0
		}
		return errSwap
	}
	e.version = order.Version
	return nil
}

type swapError struct{}

func (swapError) Error() string { return "weight swap failed" }

var errSwap = swapError{}
