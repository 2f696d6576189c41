// Command stand2 runs the cases of the second review: it starts instances of the service as
// processes, with a stand-in of the platform, of targets and of clients, and writes what was sent,
// answered and run to a record file.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

// caseFunc runs a case and returns the breaks of its rule.
type caseFunc func(e *env) (breaks []string, err error)

// cases holds the cases by name; each adds itself.
var cases = map[string]caseFunc{}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/amaranthfold", "the service")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.String("keep", "", "folder that keeps the settings and logs of the instances; empty: none")
	flag.Parse()
	runCase, found := cases[*name]
	if !found {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitCantRun
	}
	breaks, err := play(runCase, *binary, *record, *keep)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCantRun
	}
	for _, b := range breaks {
		fmt.Println(b)
	}
	if len(breaks) > 0 {
		return exitBroken
	}
	return exitHeld
}

func play(runCase caseFunc, binary, record, keep string) (breaks []string, err error) {
	e, err := newEnv(binary, record, keep, os.Getenv("TROUBLE") != "0")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, e.close()) }()
	go closeOnSignal(e)
	breaks, err = runCase(e)
	e.rec.printf("result trouble=%t breaks=%d error=%v", e.trouble, len(breaks), err)
	for _, b := range breaks {
		e.rec.printf("break %s", b)
	}
	return breaks, err
}

// closeOnSignal ends the instances when the case is stopped from outside.
func closeOnSignal(e *env) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	_ = e.close()
	os.Exit(exitCantRun)
}
