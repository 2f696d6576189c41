package ctl

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/internal/certs"
	"github.com/amaranthfold/amaranthfold/internal/operator"
)

// pollInterval is how often commands with --wait poll an operator listener.
const pollInterval = 100 * time.Millisecond

// loadFiles loads the configuration from a base file, which is the first path, and
// overlays. If files cannot be read, the error lists all of them.
func loadFiles(paths []string) (*config.Config, error) {
	var files []config.File
	var errs []error
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		files = append(files, config.File{Name: path, Content: data})
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return config.Load(files[0], files[1:]...)
}

// configFiles holds the positional arguments BASE [OVERLAY...] of a command.
type configFiles struct {
	base     string
	overlays [maxOverlays]string
}

const maxOverlays = 8 // positional arguments that are declared for overlays

func (f *configFiles) attach(sub *flaggy.Subcommand) {
	sub.AddPositionalValue(&f.base, "BASE", 1, true, "base file")
	for i := range f.overlays {
		sub.AddPositionalValue(&f.overlays[i], "OVERLAY", i+2, false, "overlay of a deployment")
	}
}

func (f *configFiles) paths() []string {
	paths := []string{f.base}
	for _, o := range f.overlays {
		if o != "" {
			paths = append(paths, o)
		}
	}
	return paths
}

func checkCommand() *command {
	var files configFiles
	return &command{
		name: "check", summary: "Checks a base file with its overlays and prints every finding.",
		example: "amaranthctl check deploy/base.yaml deploy/kingston.yaml",
		setup:   files.attach,
		run: func(_ context.Context, env *Env) error {
			cfg, err := loadFiles(files.paths())
			if findings := config.AsFindings(err); findings != nil {
				fmt.Fprintln(env.Out, findings.Error())
				return fmt.Errorf("%d findings", len(findings))
			}
			if err != nil {
				return err
			}
			fmt.Fprintf(env.Out, "deployment %q is valid: %d data centres, %d services, %d client accounts, %d trainers\n",
				cfg.Deployment, len(cfg.DataCentres), len(cfg.Services), len(cfg.Accounts), len(cfg.Trainers))
			return nil
		},
	}
}

// operatorFlags holds the value of --operator, the URL of the operator listener that a
// command connects to.
type operatorFlags struct{ url string }

func (f *operatorFlags) attach(sub *flaggy.Subcommand) {
	sub.String(&f.url, "", "operator", "operator listener of any instance (URL) [AMARANTH_OPERATOR]")
}

// client returns a client of the operator listener. It reads the key, the path of an
// optional CA file and, if the flag is not set, the URL from the environment.
func (f *operatorFlags) client(env *Env) (*operator.Client, error) {
	url := f.url
	if url == "" {
		url = env.Getenv("AMARANTH_OPERATOR")
	}
	key := env.Getenv("AMARANTH_OPERATOR_KEY")
	switch {
	case url == "":
		return nil, usagef("--operator or AMARANTH_OPERATOR must be the URL of an operator listener")
	case key == "":
		return nil, usagef("AMARANTH_OPERATOR_KEY must hold the operator's key")
	}
	client := operator.NewClient(url, key)
	path := env.Getenv("AMARANTH_OPERATOR_CA")
	if path == "" {
		return client, nil
	}
	roots, err := certs.LoadCAPool(path)
	if err != nil {
		return nil, usagef("AMARANTH_OPERATOR_CA: %v", err)
	}
	return client.WithRoots(roots), nil
}

// clientFor is client for commands with an --output flag; it also checks the value of that
// flag.
func (f *operatorFlags) clientFor(env *Env, output string) (*operator.Client, error) {
	if err := checkOutput(output); err != nil {
		return nil, err
	}
	return f.client(env)
}

func applyCommand() *command {
	var files configFiles
	var listenerFlags operatorFlags
	var wait bool
	supersedes := int64(supersedesUnset)
	return &command{
		name: "apply", summary: "Checks a configuration and puts it in effect.",
		example: "amaranthctl apply --wait deploy/base.yaml deploy/kingston.yaml",
		setup: func(sub *flaggy.Subcommand) {
			files.attach(sub)
			listenerFlags.attach(sub)
			sub.Bool(&wait, "w", "wait", "wait until every instance has applied the configuration")
			sub.Int64(&supersedes, "", "supersedes", "offset of the configuration that the files are based on; default: the one in effect now")
		},
		run: func(ctx context.Context, env *Env) error {
			cfg, err := loadFiles(files.paths())
			if err != nil {
				return err
			}
			client, err := listenerFlags.client(env)
			if err != nil {
				return err
			}
			data, err := config.Marshal(cfg)
			if err != nil {
				return err
			}
			offset, err := applyConfig(ctx, env, client, string(data), supersedes)
			if err != nil {
				return err
			}
			if wait {
				return waitApplied(ctx, env, client, offset)
			}
			return nil
		},
	}
}

// supersedesUnset is the value of --supersedes when the operator has not set it.
const supersedesUnset = -1

// applyConfig sends a configuration that replaces the one at offset supersedes or, with
// supersedesUnset, the one in effect when the command starts. It returns the offset of
// the new configuration. It fails with a conflict if a different configuration is in
// effect by then; so of two operators who change the same configuration, one fails. If
// the same text is already in effect, as when a command is repeated after an unknown
// outcome, nothing is sent.
func applyConfig(ctx context.Context, env *Env, client *operator.Client, yaml string, supersedes int64) (int64, error) {
	current, err := client.Config(ctx)
	if err != nil {
		return 0, err
	}
	if current.Offset > 0 && current.YAML == yaml {
		fmt.Fprintf(env.Out, "already in force at offset %d\n", current.Offset)
		return current.Offset, nil
	}
	if supersedes == supersedesUnset {
		supersedes = current.Offset
	}
	reply, err := client.Apply(ctx, operator.ApplyRequest{YAML: yaml, Supersedes: &supersedes})
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(env.Out, "accepted at offset %d\n", reply.Offset)
	return reply.Offset, nil
}

// waitApplied polls until every instance has applied the log up to offset. It prints the
// instances that have not, with the reasons, whenever this text changes.
func waitApplied(ctx context.Context, env *Env, client *operator.Client, offset int64) error {
	last := ""
	for ctx.Err() == nil {
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		behind := laggingInstances(status, offset)
		if len(behind) == 0 {
			fmt.Fprintf(env.Out, "in force on %d instances\n", len(status.Peers)+1)
			return nil
		}
		if text := strings.Join(behind, ", "); text != last {
			fmt.Fprintf(env.Err, "not yet in force on %s\n", text)
			last = text
		}
		time.Sleep(pollInterval)
	}
	return ctx.Err()
}

// laggingInstances describes the instances that have not applied the log up to
// offset, each with the reason.
func laggingInstances(status operator.Status, offset int64) []string {
	var behind []string
	if status.Offset < offset {
		self := operator.PeerStatus{ID: status.Instance, Offset: status.Offset, Halted: status.Halted, Stale: !status.Fresh}
		behind = append(behind, lagReason(self))
	}
	for _, p := range status.Peers {
		if p.Offset < offset {
			behind = append(behind, lagReason(p))
		}
	}
	return behind
}

// lagReason returns a text with the instance, why it is behind, and its offset.
func lagReason(p operator.PeerStatus) string {
	reason := "reading the log"
	switch {
	case p.Halted != "":
		reason = "halted: " + p.Halted
	case p.Suspect:
		reason = "no heartbeats from it"
	case p.Stale:
		reason = "cut off from the log"
	}
	return fmt.Sprintf("%s (%s, at offset %d)", p.ID, reason, p.Offset)
}
