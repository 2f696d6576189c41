package node

import (
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/amaranthfold/amaranthfold/core/catalog"
)

const (
	// maxAccountLabels bounds the accounts that have metrics of their own: a configuration may
	// have thousands, and each takes up to ten series here.
	maxAccountLabels = 64
	// otherAccounts is the label of all accounts beyond maxAccountLabels. An account of this
	// name counts with them.
	otherAccounts = "other"
	// noAccount is the label of requests without an account: score calls and public routes.
	noAccount = "none"
)

// accountLabels assigns label values of metrics to accounts: the first accounts seen get their
// own, all further ones share otherAccounts. It is not safe for concurrent use.
type accountLabels struct {
	limit int
	named map[string]bool // accounts with a value of their own
}

func newAccountLabels(limit int) *accountLabels {
	return &accountLabels{limit: limit, named: map[string]bool{}}
}

// label returns the label value of an account.
func (l *accountLabels) label(account string) string {
	switch {
	case account == "":
		return noAccount
	case l.named[account]:
	case len(l.named) >= l.limit:
		return otherAccounts
	default:
		l.named[account] = true
	}
	return account
}

// keep removes the accounts that are not configured any more, which makes room for others, and
// returns them.
func (l *accountLabels) keep(accounts []catalog.Account) (removed []string) {
	configured := make(map[string]bool, len(accounts))
	for i := range accounts {
		configured[accounts[i].Name] = true
	}
	for account := range l.named {
		if !configured[account] {
			delete(l.named, account)
			removed = append(removed, account)
		}
	}
	return removed
}

// labelEscaper escapes a label value as the Prometheus text format requires. The verb %q
// would write escapes that the format does not have.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// accountLabel returns the label of an account as it stands in the name of a series.
func accountLabel(value string) string {
	return `account="` + labelEscaper.Replace(strings.ToValidUTF8(value, "\uFFFD")) + `"`
}

// series returns the name of an account's series of a metric. further are the labels after the
// account, each with a comma before it. It is called with accountsMu held.
func (m *Metrics) series(metric, account, further string) string {
	return metric + "{" + accountLabel(m.accounts.label(account)) + further + "}"
}

// accountCounter returns an account's counter of a metric. accountsMu is held until it is
// registered, so that keepAccounts misses none.
func (m *Metrics) accountCounter(metric, account, further string) *metrics.Counter {
	m.accountsMu.Lock()
	defer m.accountsMu.Unlock()
	return m.Set.GetOrCreateCounter(m.series(metric, account, further))
}

// accountHistogram is accountCounter for a histogram.
func (m *Metrics) accountHistogram(metric, account string) *metrics.Histogram {
	m.accountsMu.Lock()
	defer m.accountsMu.Unlock()
	return m.Set.GetOrCreateHistogram(m.series(metric, account, ""))
}

// keepAccounts removes the series of accounts that are not configured any more.
func (m *Metrics) keepAccounts(accounts []catalog.Account) {
	m.accountsMu.Lock()
	defer m.accountsMu.Unlock()
	for _, account := range m.accounts.keep(accounts) {
		for _, name := range m.Set.ListMetricNames() {
			if strings.Contains(name, "{"+accountLabel(account)) {
				m.Set.UnregisterMetric(name)
			}
		}
	}
}

// CountNotAdmitted counts a plain request that is refused because no target has a free slot for
// it before its deadline.
func (m *Metrics) CountNotAdmitted(account string) {
	m.accountCounter("amaranth_hosted_calls_not_admitted_total", account, "").Inc()
}

// CountCallWaiting counts a plain request that starts to wait for a free slot.
func (m *Metrics) CountCallWaiting(account string) {
	m.accountCounter("amaranth_hosted_calls_waited_total", account, "").Inc()
}

// ObserveCallWait observes how long a plain request waited for a free slot.
func (m *Metrics) ObserveCallWait(account string, wait time.Duration) {
	m.accountHistogram("amaranth_hosted_call_wait_seconds", account).Update(wait.Seconds())
}

// ObserveTaskWait observes how long a task waited for the engine that a run of it starts on.
func (m *Metrics) ObserveTaskWait(account string, wait time.Duration) {
	m.accountHistogram("amaranth_hosted_task_wait_seconds", account).Update(wait.Seconds())
}

// CountGroup counts a group of tasks that has ended, by its outcome.
func (m *Metrics) CountGroup(account, outcome string) {
	m.accountCounter("amaranth_hosted_groups_total", account, `,outcome="`+outcome+`"`).Inc()
}
