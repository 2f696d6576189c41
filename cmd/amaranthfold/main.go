// Command amaranthfold runs one instance of the rollout service. All instances run this
// program, and any instance can hold any role. With the argument hosted, the instance runs
// on a platform that provides the log, the registry of targets and the configuration, and
// it reads the platform's settings file. Otherwise it is configured by flags and
// environment variables.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/instance"
	"github.com/amaranthfold/amaranthfold/internal/settings"
)

const (
	exitFailure  = 1
	exitSettings = 2 // missing or invalid settings
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) > 1 && os.Args[1] == hostedCommand {
		return runHosted()
	}
	cfg, err := settings.Parse(os.Args[1:], os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	cfg.LogOutput = os.Stderr
	i, err := instance.New(cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go stopOnSignal(i, cfg.DrainTimeout, cancel)
	if err := i.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}

// stopOnSignal waits for a signal, drains the instance for at most timeout, and then
// cancels its context. A second signal ends the process at once.
func stopOnSignal(i *instance.Instance, timeout time.Duration, cancel context.CancelFunc) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	go func() {
		<-signals
		os.Exit(exitFailure)
	}()
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	if err := i.Drain(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "requests were in flight after %s: %v\n", timeout, err)
	}
	cancel()
}
