package measure

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Print writes the report as tables, the summary first.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	r.Summary().print(w)
	fmt.Fprintln(w, "\nACCOUNT\tSERVED\tFAILED\tREFUSED\tP50 MS\tP99 MS")
	for _, a := range r.Accounts {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", a.Name, a.Served, a.Failed, a.Refused, a.P50Millis, a.P99Millis)
	}
	fmt.Fprintln(w, "\nTRAINER\tBATCHES\tSAMPLES\tIDLE S\tMEAN STALENESS\tMAX STALENESS")
	for i := range r.Trainers {
		t := &r.Trainers[i]
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%.2f\t%d\n", t.Name, t.Batches, t.Samples, t.IdleSeconds, t.MeanStaleness(), t.MaxStaleness)
	}
	fmt.Fprintln(w, "\nDATA CENTRE\tCHEAP\tTARGET HOURS\tSPEND\tCALLERS' WORK\tSAMPLES' WORK")
	for _, d := range r.DataCentres {
		fmt.Fprintf(w, "%s\t%t\t%.3f\t%.3f\t%.0f\t%.0f\n", d.Name, d.Cheap, d.TargetHours, d.Spend, d.CallerWork, d.SampleWork)
	}
	fmt.Fprintln(w, "\nUSAGE REPORTS\tLATE\tINCORRECT\tADJUSTING\tMAX DELAY S")
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%.1f\n", r.UsageReports.Reports, r.UsageReports.Overdue, r.UsageReports.Incorrect, r.UsageReports.Adjusting, r.UsageReports.MaxDelaySeconds)
	return w.Flush()
}

// print writes the five measures, one row each.
func (s Summary) print(w io.Writer) {
	for _, row := range s.Rows() {
		fmt.Fprintln(w, strings.Join(row[:], "\t"))
	}
}

// Rows returns the five measures as pairs of name and value, as they are displayed.
func (s Summary) Rows() [][2]string {
	worst := s.WorstAccount
	if worst == "" {
		worst = "none"
	}
	return [][2]string{
		{"trainer idle time and staleness", fmt.Sprintf("%.1f s idle, at most %d versions old", s.IdleSeconds, s.MaxStaleness)},
		{"worst-served client account", fmt.Sprintf("%s: p99 %d ms; at most %.1f%% of an account's requests not served", worst, s.WorstP99Millis, 100*s.WorstFailureShare)},
		{"target spend against service delivered", fmt.Sprintf("%.3f units, %.1f per million tokens and calls", s.Spend, s.SpendPerMillion)},
		{"late or incorrect reports", fmt.Sprint(s.LateOrIncorrectReports)},
		{"work on cheap targets", fmt.Sprintf("%.1f%% of all, %.1f%% of samples", 100*s.CheapShare, 100*s.CheapSampleShare)},
	}
}
