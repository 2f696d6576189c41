// Command amaranthfold is one instance of the rollout service. Every instance
// runs this program, and any instance can hold any role.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/amaranthfold/amaranthfold/internal/instance"
	"github.com/amaranthfold/amaranthfold/internal/settings"
)

const (
	exitFailure  = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	cfg, err := settings.Parse(os.Args[1:], os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	cfg.LogOutput = os.Stderr
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	i, err := instance.New(cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	if err := i.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}
