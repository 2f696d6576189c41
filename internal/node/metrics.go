package node

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics holds an instance's counters and histograms.
type Metrics struct {
	Set *metrics.Set

	Requests, Retries, Refused, Failed *metrics.Counter
	RequestTime                        *metrics.Histogram

	Jobs, Listed, GivenUp, Claims    *metrics.Counter
	Runs, RunsBroken, RunsMoved      *metrics.Counter
	RunsResumed, RunsStartedOver     *metrics.Counter
	PartsKept, PartsRefused          *metrics.Counter
	TaskTime, StartSlack             *metrics.Histogram
	StartsLate                       *metrics.Counter
	Orders, Reports                  *metrics.Counter
	limitsNamed, StreamsTakenUp      *metrics.Counter
	linksLost, Relayed               *metrics.Counter
	targetsDoubted, startsRead       *metrics.Counter
	peersRefused, entriesUnused      *metrics.Counter
	TargetsCrashed, Condemned        *metrics.Counter
	SuspectsServed, CondemnedRefused *metrics.Counter
	standstills                      *metrics.Counter

	allowancesGranted, allowancesDenied, allowancesUnanswered *metrics.Counter

	Scored, ScoreRetries, Unscorable *metrics.Counter
	ScoreTime                        *metrics.Histogram

	accountsMu sync.Mutex
	accounts   *accountLabels
}

func newMetricSet() *Metrics {
	set := metrics.NewSet()
	return &Metrics{
		Set:              set,
		accounts:         newAccountLabels(maxAccountLabels),
		Requests:         set.NewCounter("amaranth_hosted_calls_total"),
		Retries:          set.NewCounter("amaranth_hosted_call_retries_total"),
		Refused:          set.NewCounter("amaranth_hosted_calls_refused_total"),
		Failed:           set.NewCounter("amaranth_hosted_calls_failed_total"),
		RequestTime:      set.NewHistogram("amaranth_hosted_call_seconds"),
		Jobs:             set.NewCounter("amaranth_hosted_jobs_accepted_total"),
		Listed:           set.NewCounter("amaranth_hosted_results_listed_total"),
		GivenUp:          set.NewCounter("amaranth_hosted_results_given_up_total"),
		Claims:           set.NewCounter("amaranth_hosted_jobs_claimed_total"),
		Runs:             set.NewCounter("amaranth_hosted_runs_total"),
		RunsBroken:       set.NewCounter("amaranth_hosted_runs_broken_total"),
		RunsMoved:        set.NewCounter("amaranth_hosted_runs_moved_total"),
		RunsResumed:      set.NewCounter("amaranth_hosted_runs_resumed_total"),
		RunsStartedOver:  set.NewCounter("amaranth_hosted_runs_started_over_total"),
		PartsKept:        set.NewCounter(`amaranth_hosted_stored_parts_total{outcome="kept"}`),
		PartsRefused:     set.NewCounter(`amaranth_hosted_stored_parts_total{outcome="refused"}`),
		TaskTime:         set.NewHistogram("amaranth_hosted_task_seconds"),
		StartSlack:       set.NewHistogram("amaranth_hosted_start_slack_seconds"),
		StartsLate:       set.NewCounter("amaranth_hosted_starts_late_total"),
		Orders:           set.NewCounter("amaranth_hosted_weight_orders_total"),
		Reports:          set.NewCounter("amaranth_hosted_usage_reports_total"),
		StreamsTakenUp:   set.NewCounter("amaranth_hosted_streams_taken_up_total"),
		TargetsCrashed:   set.NewCounter("amaranth_hosted_targets_crashed_total"),
		Relayed:          set.NewCounter("amaranth_hosted_calls_relayed_total"),
		peersRefused:     set.NewCounter("amaranth_hosted_peer_connections_refused_total"),
		targetsDoubted:   set.NewCounter("amaranth_hosted_targets_doubted_total"),
		standstills:      set.NewCounter("amaranth_hosted_standstills_total"),
		entriesUnused:    set.NewCounter("amaranth_hosted_entries_unused_total"),
		startsRead:       set.NewCounter("amaranth_hosted_target_starts_read_total"),
		linksLost:        set.NewCounter("amaranth_hosted_links_lost_total"),
		Condemned:        set.NewCounter("amaranth_hosted_calls_condemned_total"),
		SuspectsServed:   set.NewCounter("amaranth_hosted_suspects_served_total"),
		CondemnedRefused: set.NewCounter("amaranth_hosted_condemned_calls_refused_total"),
		limitsNamed:      set.NewCounter("amaranth_hosted_target_limits_named_total"),

		allowancesGranted:    set.NewCounter(`amaranth_hosted_allowances_total{outcome="granted"}`),
		allowancesDenied:     set.NewCounter(`amaranth_hosted_allowances_total{outcome="denied"}`),
		allowancesUnanswered: set.NewCounter(`amaranth_hosted_allowances_total{outcome="unanswered"}`),

		Scored:       set.NewCounter(`amaranth_hosted_score_calls_total{outcome="scored"}`),
		ScoreRetries: set.NewCounter(`amaranth_hosted_score_calls_total{outcome="retry"}`),
		Unscorable:   set.NewCounter(`amaranth_hosted_score_calls_total{outcome="given up"}`),
		ScoreTime:    set.NewHistogram("amaranth_hosted_score_seconds"),
	}
}

// CountMove counts a run that moves off an engine for one of the reasons of package assign.
func (m *Metrics) CountMove(reason string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`amaranth_hosted_moves_total{reason=%q}`, reason)).Inc()
}

// SetTargets sets the number of targets that the load of a service calls for, and how many of
// them are missing.
func (m *Metrics) SetTargets(service string, wanted, missing int) {
	m.Set.GetOrCreateGauge(fmt.Sprintf(`amaranth_hosted_targets_wanted{service=%q}`, service), nil).Set(float64(wanted))
	m.Set.GetOrCreateGauge(fmt.Sprintf(`amaranth_hosted_targets_missing{service=%q}`, service), nil).Set(float64(missing))
}

// CountTargetOrder counts an order of targets by its outcome.
func (m *Metrics) CountTargetOrder(outcome string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`amaranth_hosted_target_orders_total{outcome=%q}`, outcome)).Inc()
}
