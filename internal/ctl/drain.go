package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"github.com/amaranthfold/amaranthfold/internal/operator"
)

func drainCommand() *command {
	var target, output string
	var undo, wait bool
	var listenerFlags operatorFlags
	return &command{
		name: "drain", summary: "Stops routing new requests to a target; requests in flight finish. Without TARGET, lists drained targets.",
		example: "amaranthctl drain --wait sorter-models-3\n  amaranthctl drain --undo sorter-models-3",
		setup: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&target, "TARGET", 1, false, "target to drain")
			sub.Bool(&undo, "u", "undo", "route new requests to the target again")
			sub.Bool(&wait, "w", "wait", "wait until no instance has a request in flight at the target")
			attachOutput(sub, &output)
			listenerFlags.attach(sub)
		},
		run: func(ctx context.Context, env *Env) error {
			client, err := listenerFlags.clientFor(env, output)
			if err != nil {
				return err
			}
			if target == "" {
				return listDrains(ctx, env, client, output)
			}
			reply, err := client.Drain(ctx, operator.DrainRequest{Target: target, Undo: undo})
			if err != nil {
				return err
			}
			if undo {
				fmt.Fprintf(env.Out, "target %q gets new work again since offset %d\n", target, reply.Offset)
				return nil
			}
			fmt.Fprintf(env.Out, "target %q drained at offset %d\n", target, reply.Offset)
			if wait {
				return waitDrained(ctx, env, client, target)
			}
			return nil
		},
	}
}

// waitDrained polls until the target may be stopped because no instance has a request in
// flight at it.
func waitDrained(ctx context.Context, env *Env, client *operator.Client, target string) error {
	for ctx.Err() == nil {
		drains, err := client.Drains(ctx)
		if err != nil {
			return err
		}
		i := slices.IndexFunc(drains, func(d operator.DrainStatus) bool { return d.Target == target })
		if i >= 0 && drains[i].MayStop {
			fmt.Fprintf(env.Out, "no instance has a request at target %q\n", target)
			return nil
		}
		time.Sleep(pollInterval)
	}
	return ctx.Err()
}

func listDrains(ctx context.Context, env *Env, client *operator.Client, output string) error {
	drains, err := client.Drains(ctx)
	if err != nil {
		return err
	}
	if output == outputJSON {
		return printJSON(env.Out, drains)
	}
	slices.SortFunc(drains, func(a, b operator.DrainStatus) int { return strings.Compare(a.Target, b.Target) })
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TARGET\tSINCE OFFSET\tMAY STOP")
	for _, d := range drains {
		fmt.Fprintf(w, "%s\t%d\t%t\n", d.Target, d.SinceOffset, d.MayStop)
	}
	return w.Flush()
}
