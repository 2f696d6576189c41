// Command amaranthctl is the operators' command line. SIGINT or SIGTERM cancels the running
// subcommand. The exit codes are those of package ctl.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/amaranthfold/amaranthfold/internal/ctl"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.Run(ctx, os.Args[1:], &ctl.Env{Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv})
}
