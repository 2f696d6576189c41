package ctl

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/amaranthfold/amaranthfold/internal/measure"
	"github.com/amaranthfold/amaranthfold/internal/operator"
)

const reportMode = 0o644 // permissions of the file that --html writes

// reportDocument is the output of the command report with -o json.
type reportDocument struct {
	measure.Report
	Summary measure.Summary `json:"summary"`
	Missing []string        `json:"missing"` // instances that did not respond
}

func reportCommand() *command {
	var listenerFlags operatorFlags
	var output, html string
	return &command{
		name: "report", summary: "Prints the measures of the deployment by account, trainer and data centre.",
		example: "amaranthctl report --html report.html",
		setup: func(sub *flaggy.Subcommand) {
			listenerFlags.attach(sub)
			attachOutput(sub, &output)
			sub.String(&html, "", "html", "also write a self-contained HTML page with plots (file)")
		},
		run: func(ctx context.Context, env *Env) error {
			client, err := listenerFlags.clientFor(env, output)
			if err != nil {
				return err
			}
			doc, err := gatherMeasures(ctx, client)
			if err != nil {
				return err
			}
			for _, id := range doc.Missing {
				fmt.Fprintf(env.Err, "no measures from %s: it did not respond\n", id)
			}
			if err := writeHTML(html, doc); err != nil {
				return err
			}
			if output == outputJSON {
				return printJSON(env.Out, doc)
			}
			return doc.Print(env.Out)
		},
	}
}

// writeHTML writes the report as an HTML page to path, unless path is empty.
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

// gatherMeasures merges the measures of the instance that client connects to and of its
// peers. Peers whose measures cannot be fetched are listed as missing.
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
		r, err := client.WithBase(p.Operator).Measures(ctx)
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
