package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/amaranthfold/amaranthfold/internal/hosted"
	"github.com/amaranthfold/amaranthfold/internal/logline"
	"github.com/amaranthfold/amaranthfold/platform"
)

// hostedCommand is the argument that selects a hosted instance; see package hosted.
const hostedCommand = "hosted"

// runHosted runs a hosted instance and returns the exit code. On SIGHUP the instance
// validates the settings file again; a changed file takes effect at the next start. SIGINT
// and SIGTERM stop the instance after the requests in flight.
func runHosted() int {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		fmt.Fprintf(os.Stderr, "%s is not set: it names the platform's settings file\n", platform.SettingsVariable)
		return exitSettings
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	out := logline.New(os.Stdout)
	defer out.Close()
	inst := hosted.New(hosted.Config{Settings: settings, LogOutput: out})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				inst.Reload(path)
				continue
			}
			inst.Stop()
		}
	}()
	if err := inst.Run(context.Background()); err != nil && !errors.Is(err, hosted.ErrStopped) {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}
