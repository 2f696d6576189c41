package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/amaranthfold/amaranthfold/internal/measure"
	"github.com/amaranthfold/amaranthfold/internal/operator"
)

const reportMode = 0o644 // of the file that --html names

// reportDocument is what report -o json prints.
type reportDocument struct {
	measure.Report
	Summary measure.Summary `json:"summary"`
	Missing []string        `json:"missing"` // instances that did not answer
}

func reportCommand() *command {
	var conn connection
	var output, html string
	return &command{
		name: "report", summary: "Prints the measures of the deployment by account, trainer and data centre.",
		example: "amaranthctl report --html report.html",
		setup: func(sub *flaggy.Subcommand) {
			conn.attach(sub)
			attachOutput(sub, &output)
			sub.String(&html, "", "html", "also write one self-contained page with plots (file)")
		},
		run: func(ctx context.Context, env *Env) error {
			client, err := conn.clientFor(env, output)
			if err != nil {
				return err
			}
			doc, err := gatherMeasures(ctx, client)
			if err != nil {
				return err
			}
			for _, id := range doc.Missing {
				fmt.Fprintf(env.Err, "no measures from %s: it did not answer\n", id)
			}
			if err := writeHTML(html, doc); err != nil {
				return err
			}
			if output == outputJSON {
				return printJSON(env.Out, doc)
			}
			return PrintReport(env.Out, &doc.Report)
		},
	}
}

func writeHTML(path string, doc *reportDocument) error {
	if path == "" {
		return nil
	}
	page, err := htmlReport(doc)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, page, reportMode); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// gatherMeasures adds up the measures of all instances.
func gatherMeasures(ctx context.Context, client *operator.Client) (*reportDocument, error) {
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	first, err := client.Measures(ctx)
	if err != nil {
		return nil, err
	}
	doc := &reportDocument{Missing: []string{}}
	reports := []measure.Report{first}
	for _, p := range status.Peers {
		r, err := client.Peer(p.Operator).Measures(ctx)
		if err != nil {
			doc.Missing = append(doc.Missing, p.ID)
			continue
		}
		reports = append(reports, r)
	}
	if doc.Report, err = measure.Merge(reports); err != nil {
		return nil, err
	}
	doc.Summary = doc.Report.Summary()
	return doc, nil
}

// PrintReport writes the measures as tables, the summary first.
func PrintReport(out io.Writer, r *measure.Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printSummary(w, r.Summary())
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
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%.1f\n", r.Bills.Reports, r.Bills.Late, r.Bills.Incorrect, r.Bills.Adjusting, r.Bills.MaxDelaySeconds)
	return w.Flush()
}

// printSummary writes the five measures, a row each.
func printSummary(w io.Writer, s measure.Summary) {
	for _, row := range SummaryRows(s) {
		fmt.Fprintln(w, strings.Join(row[:], "\t"))
	}
}

// SummaryRows returns the five measures as names and values.
func SummaryRows(s measure.Summary) [][2]string {
	worst := s.WorstAccount
	if worst == "" {
		worst = "none"
	}
	return [][2]string{
		{"trainer idle time and staleness", fmt.Sprintf("%.1f s idle, at most %d versions old", s.IdleSeconds, s.MaxStaleness)},
		{"worst-served client account", fmt.Sprintf("%s: p99 %d ms; at most %.1f%% of an account's requests not served", worst, s.WorstP99Millis, 100*s.WorstFailed)},
		{"target spend against service delivered", fmt.Sprintf("%.3f units, %.1f per million tokens and calls", s.Spend, s.SpendPerMillion)},
		{"late or incorrect reports", fmt.Sprint(s.LateReports)},
		{"work on cheap targets", fmt.Sprintf("%.1f%% of all, %.1f%% of samples", 100*s.CheapShare, 100*s.CheapSamples)},
	}
}
