package ctl

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/amaranthfold/amaranthfold/core/capacity"
)

// capacityReport is the output of the command capacity with -o json.
type capacityReport struct {
	Roles   []capacity.Role  `json:"roles"`
	Control capacity.Role    `json:"control"`
	Log     capacity.Records `json:"logRecordsPerSec"`
}

func capacityCommand() *command {
	size := capacity.DesignSize()
	var output string
	return &command{
		name: "capacity", summary: "Calculates what each role costs per instance in a deployment of a given size.",
		example: "amaranthctl capacity --nodes 400 --samplers 3000 --requests 6000 --tokens 1800000",
		setup: func(sub *flaggy.Subcommand) {
			sub.Int(&size.Instances, "", "nodes", "instances")
			sub.Int(&size.DataCentres, "", "data-centres", "data centres")
			sub.Int(&size.Engines, "", "samplers", "engines")
			sub.Int(&size.Trainers, "", "trainers", "trainers")
			sub.Int(&size.Keys, "", "keys", "granted keys")
			sub.Float64(&size.RequestsPerSecond, "", "requests", "requests per second")
			sub.Float64(&size.NonRepeatableShare, "", "non-repeatable", "fraction of the requests that may not be repeated, 0 to 1")
			sub.Float64(&size.TokensPerSecond, "", "tokens", "generated tokens per second")
			sub.Duration(&size.Heartbeat, "", "heartbeat", "time between heartbeats")
			sub.Duration(&size.LeaseTerm, "", "lease-term", "duration of a lease")
			attachOutput(sub, &output)
		},
		run: func(_ context.Context, env *Env) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			if size.Instances < 1 || size.DataCentres < 1 || size.Heartbeat <= 0 || size.LeaseTerm <= 0 {
				return usagef("--nodes, --data-centres, --heartbeat and --lease-term must be more than zero")
			}
			roles := capacity.Roles(size, capacity.DefaultUnitCosts())
			report := capacityReport{roles, capacity.ControlTotal(roles), capacity.LogRecords(size)}
			if output == outputJSON {
				return printJSON(env.Out, report)
			}
			return printCapacity(env, report)
		},
	}
}

func printCapacity(env *Env, report capacityReport) error {
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROLE\tHOLDERS\tSTATE\tMEMORY MB\tMESSAGES/S\tKB/S\tCORE %")
	for _, r := range append(report.Roles, report.Control) {
		fmt.Fprintf(w, "%s\t%d\t%s\t%.2f\t%.1f\t%.2f\t%.2f\n", r.Name, r.Holders, r.State, r.Memory/1e6, r.Messages, r.WireBytes/1e3, r.CPUPercent)
	}
	l := report.Log
	fmt.Fprintf(w, "\nlog records a second: %.1f (leases %.1f, changes %.2f, orders %.2f, usage %.2f, batches %.2f, claims %.0f with %.1f each)\n",
		l.Total, l.Leases, l.Changes, l.Orders, l.Usage, l.Batches, l.Claims, l.ClaimsPerRecord)
	return w.Flush()
}
