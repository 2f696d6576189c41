package operator

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/amaranthfold/amaranthfold/internal/control"
)

// newGauges returns gauges that read the snapshot of the instance's control loop at every
// scrape.
func newGauges(o Options) *metrics.Set {
	set := metrics.NewSet()
	gauge := func(name string, read func(s *control.Snapshot) float64) {
		set.NewGauge(name, func() float64 { return read(o.Loop.Snapshot()) })
	}
	gauge("amaranth_log_offset", func(s *control.Snapshot) float64 { return float64(s.Offset) })
	gauge("amaranth_config_offset", func(s *control.Snapshot) float64 { return float64(s.ConfigOffset) })
	gauge("amaranth_view_age_seconds", func(s *control.Snapshot) float64 { return (o.Clock.Now() - s.FreshAt).Seconds() })
	gauge("amaranth_keys", func(s *control.Snapshot) float64 { return float64(s.Keys.Len()) })
	gauge("amaranth_peers", func(s *control.Snapshot) float64 { return float64(len(s.Peers)) })
	gauge("amaranth_peers_suspect", func(s *control.Snapshot) float64 { return float64(countSuspect(s)) })
	gauge("amaranth_leases_held", func(s *control.Snapshot) float64 { return float64(countHeld(o.Loop, s)) })
	gauge("amaranth_orders_open", func(s *control.Snapshot) float64 { return float64(len(s.Orders)) })
	return set
}

func countSuspect(s *control.Snapshot) int {
	n := 0
	for _, p := range s.Peers {
		if p.Suspect {
			n++
		}
	}
	return n
}

func countHeld(loop *control.Loop, s *control.Snapshot) int {
	n := 0
	for name := range s.Leases {
		if _, held := loop.Held(name, 0); held {
			n++
		}
	}
	return n
}

// metrics writes the instance's metrics in the Prometheus text format.
func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.gauges.WritePrometheus(w)
	s.Measures.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
