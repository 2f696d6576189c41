package ctl

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/amaranthfold/amaranthfold/internal/operator"
)

func statusCommand() *command {
	var listenerFlags operatorFlags
	var output string
	return &command{
		name: "status", summary: "Prints an instance's view of the deployment.",
		example: "amaranthctl status -o json",
		setup: func(sub *flaggy.Subcommand) {
			listenerFlags.attach(sub)
			attachOutput(sub, &output)
		},
		run: func(ctx context.Context, env *Env) error {
			client, err := listenerFlags.clientFor(env, output)
			if err != nil {
				return err
			}
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if output == outputJSON {
				return printJSON(env.Out, status)
			}
			return printStatus(env, status)
		},
	}
}

func printStatus(env *Env, s operator.Status) error {
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "instance %s in %s, offset %d, configuration %d, fresh %t\n\n", s.Instance, s.DataCentre, s.Offset, s.ConfigOffset, s.Fresh)
	fmt.Fprintln(w, "PEER\tDATA CENTRE\tOFFSET\tSUSPECT\tLEAVING")
	for _, p := range s.Peers {
		fmt.Fprintf(w, "%s\t%s\t%d\t%t\t%t\n", p.ID, p.DataCentre, p.Offset, p.Suspect, p.Leaving)
	}
	fmt.Fprintln(w, "\nLEASE\tHOLDER\tTERM")
	for _, l := range s.Leases {
		fmt.Fprintf(w, "%s\t%s\t%d\n", l.Name, l.Holder, l.Term)
	}
	fmt.Fprintln(w, "\nTARGET\tSERVICE\tDATA CENTRE\tOWNER\tVERSION\tLOAD\tLEAVING\tCHEAP")
	for _, t := range s.Targets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%t\t%t\n", t.ID, t.Service, t.DataCentre, t.Owner, t.Version, t.Load, t.Leaving, t.Cheap)
	}
	return w.Flush()
}
