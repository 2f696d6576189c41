package ctl

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/amaranthfold/amaranthfold/internal/operator"
)

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
			attachOutput(sub, &output)
			conn.attach(sub)
		},
		run: func(ctx context.Context, env *Env) error {
			client, err := conn.clientFor(env, output)
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
		return printJSON(env.Out, reply)
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
			attachOutput(sub, &output)
		},
		run: func(ctx context.Context, env *Env) error {
			client, err := conn.clientFor(env, output)
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
