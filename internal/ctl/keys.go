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
	var listenerFlags operatorFlags
	return &command{
		name: "keys", summary: "Grants, lists and withdraws keys of client accounts.",
		example: "amaranthctl keys grant papine\n  amaranthctl keys list papine\n  amaranthctl keys withdraw papine 1f0c2a77",
		setup: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&action, "ACTION", 1, true, "grant, list or withdraw")
			sub.AddPositionalValue(&account, "ACCOUNT", 2, false, "client account")
			sub.AddPositionalValue(&keyID, "KEY_ID", 3, false, "key to withdraw")
			attachOutput(sub, &output)
			listenerFlags.attach(sub)
		},
		run: func(ctx context.Context, env *Env) error {
			client, err := listenerFlags.clientFor(env, output)
			if err != nil {
				return err
			}
			switch {
			case action == "list" && keyID == "":
				return listKeys(ctx, env, client, account, output)
			case action == "grant" && account != "" && keyID == "":
				return grant(ctx, env, client, account, output)
			case action == "withdraw" && keyID != "":
				return withdraw(ctx, env, client, account, keyID)
			default:
				return usagef("want: keys grant ACCOUNT, keys list [ACCOUNT], or keys withdraw ACCOUNT KEY_ID")
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

func listKeys(ctx context.Context, env *Env, client *operator.Client, account, output string) error {
	keys, err := client.Keys(ctx, account)
	if err != nil {
		return err
	}
	if output == outputJSON {
		return printJSON(env.Out, keys)
	}
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ACCOUNT\tKEY ID\tGRANTED AT OFFSET")
	for _, k := range keys {
		fmt.Fprintf(w, "%s\t%s\t%d\n", k.Account, k.KeyID, k.GrantOffset)
	}
	return w.Flush()
}
