// Command harness shows faults of the system. It starts the built program as separate processes on
// loopback with stand-ins for the platform, the samplers and the clients, causes a disruption
// unless TROUBLE is 0, and checks a rule by what clients, samplers and the platform see.
//
//	harness CASE FOLDER
//
// It writes record.txt into the folder of the case. It exits with 1 if the rule was broken, with 0
// if it held and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the cases by name. Each returns the violations of its rule.
var cases = map[string]func(w *world) (violations []string, err error){
	"lease":  leaseCase,
	"single": singleCase,
	"route":  routeCase,
	"gone":   goneCase,
	"move":   moveCase,
	"large":  largeCase,
	"cutoff": cutoffCase,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return exitCannotRun
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = out.Close() }() // a record that is cut off is seen
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }() // what stays is in the temporary folder
	}
	w := newWorld(dir, out)
	closeOnce := sync.OnceFunc(w.close)
	defer closeOnce()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		closeOnce()
		os.Exit(exitCannotRun)
	}()
	w.printf("case %s, trouble %t, settings and logs in %s", os.Args[1], w.trouble, filepath.Base(dir))
	violations, err := cases[os.Args[1]](w)
	closeOnce()
	for _, v := range violations {
		w.printf("BROKEN: %s", v)
	}
	switch {
	case len(violations) > 0:
		return exitBroken
	case err != nil:
		w.printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	default:
		w.printf("the rule held")
		return exitHeld
	}
}
