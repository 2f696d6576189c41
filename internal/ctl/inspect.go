package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/operator"
)

const outputJSON = "json"

func keysCommand() *command {
	var action, account, keyID, output string
	var conn connection
	return &command{
		name: "keys", summary: "Grants and withdraws keys of client accounts.",
		example: "amaranthctl keys grant papine\n  amaranthctl keys withdraw papine 1f0c2a77",
		setup: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&action, "ACTION", 1, true, "grant or withdraw")
			sub.AddPositionalValue(&account, "ACCOUNT", 2, true, "client account")
			sub.AddPositionalValue(&keyID, "KEY_ID", 3, false, "key to withdraw")
			sub.String(&output, "o", "output", "json, or a line of text")
			conn.attach(sub)
		},
		run: func(ctx context.Context, env *Env) error {
			client, err := conn.client(env)
			if err != nil {
				return err
			}
			switch {
			case action == "grant" && keyID == "":
				return grant(ctx, env, client, account, output)
			case action == "withdraw" && keyID != "":
				return withdraw(ctx, env, client, account, keyID)
			default:
				return usagef("want: keys grant ACCOUNT, or keys withdraw ACCOUNT KEY_ID")
			}
		},
	}
}

func grant(ctx context.Context, env *Env, client *operator.Client, account, output string) error {
	reply, err := client.Grant(ctx, account)
	if err != nil {
		return err
	}
	if output == outputJSON {
		return json.NewEncoder(env.Out).Encode(reply)
	}
	fmt.Fprintf(env.Out, "key %s of client account %q, shown this once: %s\n", reply.KeyID, account, reply.Key)
	return nil
}

func withdraw(ctx context.Context, env *Env, client *operator.Client, account, keyID string) error {
	reply, err := client.Withdraw(ctx, account, keyID)
	if err != nil {
		return err
	}
	fmt.Fprintf(env.Out, "key %s of client account %q withdrawn at offset %d\n", keyID, account, reply.Offset)
	return nil
}

func statusCommand() *command {
	var conn connection
	var output string
	return &command{
		name: "status", summary: "Prints an instance's view of the deployment.",
		example: "amaranthctl status -o json",
		setup: func(sub *flaggy.Subcommand) {
			conn.attach(sub)
			sub.String(&output, "o", "output", "json, or a table")
		},
		run: func(ctx context.Context, env *Env) error {
			client, err := conn.client(env)
			if err != nil {
				return err
			}
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if output == outputJSON {
				return json.NewEncoder(env.Out).Encode(status)
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

func timelineCommand() *command {
	var conn connection
	var request, output string
	return &command{
		name: "timeline", summary: "Merges the events of all instances in order.",
		example: "amaranthctl timeline --request 6f1c...",
		setup: func(sub *flaggy.Subcommand) {
			conn.attach(sub)
			sub.String(&request, "", "request", "only events of this request id")
			sub.String(&output, "o", "output", "json, or lines of text")
		},
		run: func(ctx context.Context, env *Env) error {
			client, err := conn.client(env)
			if err != nil {
				return err
			}
			all, missing, err := gatherEvents(ctx, env, client)
			if err != nil {
				return err
			}
			for _, id := range missing {
				fmt.Fprintf(env.Err, "no events from %s: it did not answer\n", id)
			}
			for _, e := range all {
				if request == "" || e.Fields["request"] == request {
					printEvent(env, e, output)
				}
			}
			return nil
		},
	}
}

// gatherEvents asks every instance and names those that did not answer.
func gatherEvents(ctx context.Context, env *Env, client *operator.Client) (all []events.Event, missing []string, err error) {
	status, err := client.Status(ctx)
	if err != nil {
		return nil, nil, err
	}
	all, err = client.Events(ctx, 0)
	if err != nil {
		return nil, nil, err
	}
	key := env.Getenv("AMARANTH_OPERATOR_KEY")
	for _, p := range status.Peers {
		more, err := operator.NewClient(p.Operator, key).Events(ctx, 0)
		if err != nil {
			missing = append(missing, p.ID)
			continue
		}
		all = append(all, more...)
	}
	slices.SortStableFunc(all, func(a, b events.Event) int { return a.At.Compare(b.At) })
	return all, missing, nil
}

func printEvent(env *Env, e events.Event, output string) {
	if output == outputJSON {
		_ = json.NewEncoder(env.Out).Encode(e) // a closed pipe ends the command
		return
	}
	var fields strings.Builder
	for _, k := range slices.Sorted(maps.Keys(e.Fields)) {
		fmt.Fprintf(&fields, " %s=%q", k, e.Fields[k])
	}
	fmt.Fprintf(env.Out, "%s %s %s%s\n", e.At.UTC().Format("15:04:05.000000"), e.Instance, e.Name, fields.String())
}
