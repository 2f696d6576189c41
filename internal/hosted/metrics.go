package hosted

import "github.com/VictoriaMetrics/metrics"

// metricSet holds an instance's counters and histograms.
type metricSet struct {
	set *metrics.Set

	requests, retries, refused, failed *metrics.Counter
	requestTime                        *metrics.Histogram

	jobs, listed, givenUp, claims    *metrics.Counter
	runs, runsBroken, runsMoved      *metrics.Counter
	runsResumed, runsStartedOver     *metrics.Counter
	taskTime                         *metrics.Histogram
	orders, reports                  *metrics.Counter
	limitsNamed, streamsTakenUp      *metrics.Counter
	linksLost, relayed               *metrics.Counter
	targetsDoubted                   *metrics.Counter
	peersRefused                     *metrics.Counter
	targetsCrashed, condemned        *metrics.Counter
	suspectsServed, condemnedRefused *metrics.Counter

	allowancesGranted, allowancesDenied, allowancesUnanswered *metrics.Counter

	scored, scoreRetries, unscorable *metrics.Counter
	scoreTime                        *metrics.Histogram
}

func newMetricSet() *metricSet {
	set := metrics.NewSet()
	return &metricSet{
		set:              set,
		requests:         set.NewCounter("amaranth_hosted_calls_total"),
		retries:          set.NewCounter("amaranth_hosted_call_retries_total"),
		refused:          set.NewCounter("amaranth_hosted_calls_refused_total"),
		failed:           set.NewCounter("amaranth_hosted_calls_failed_total"),
		requestTime:      set.NewHistogram("amaranth_hosted_call_seconds"),
		jobs:             set.NewCounter("amaranth_hosted_jobs_accepted_total"),
		listed:           set.NewCounter("amaranth_hosted_results_listed_total"),
		givenUp:          set.NewCounter("amaranth_hosted_results_given_up_total"),
		claims:           set.NewCounter("amaranth_hosted_jobs_claimed_total"),
		runs:             set.NewCounter("amaranth_hosted_runs_total"),
		runsBroken:       set.NewCounter("amaranth_hosted_runs_broken_total"),
		runsMoved:        set.NewCounter("amaranth_hosted_runs_moved_total"),
		runsResumed:      set.NewCounter("amaranth_hosted_runs_resumed_total"),
		runsStartedOver:  set.NewCounter("amaranth_hosted_runs_started_over_total"),
		taskTime:         set.NewHistogram("amaranth_hosted_task_seconds"),
		orders:           set.NewCounter("amaranth_hosted_weight_orders_total"),
		reports:          set.NewCounter("amaranth_hosted_usage_reports_total"),
		streamsTakenUp:   set.NewCounter("amaranth_hosted_streams_taken_up_total"),
		targetsCrashed:   set.NewCounter("amaranth_hosted_targets_crashed_total"),
		relayed:          set.NewCounter("amaranth_hosted_calls_relayed_total"),
		targetsDoubted:   set.NewCounter("amaranth_hosted_targets_doubted_total"),
		peersRefused:     set.NewCounter("amaranth_hosted_peer_connections_refused_total"),
		linksLost:        set.NewCounter("amaranth_hosted_links_lost_total"),
		condemned:        set.NewCounter("amaranth_hosted_calls_condemned_total"),
		suspectsServed:   set.NewCounter("amaranth_hosted_suspects_served_total"),
		condemnedRefused: set.NewCounter("amaranth_hosted_condemned_calls_refused_total"),
		limitsNamed:      set.NewCounter("amaranth_hosted_target_limits_named_total"),

		allowancesGranted:    set.NewCounter(`amaranth_hosted_allowances_total{outcome="granted"}`),
		allowancesDenied:     set.NewCounter(`amaranth_hosted_allowances_total{outcome="denied"}`),
		allowancesUnanswered: set.NewCounter(`amaranth_hosted_allowances_total{outcome="unanswered"}`),

		scored:       set.NewCounter(`amaranth_hosted_score_calls_total{outcome="scored"}`),
		scoreRetries: set.NewCounter(`amaranth_hosted_score_calls_total{outcome="retry"}`),
		unscorable:   set.NewCounter(`amaranth_hosted_score_calls_total{outcome="given up"}`),
		scoreTime:    set.NewHistogram("amaranth_hosted_score_seconds"),
	}
}
