// Package demo runs small deployments through a fixed list of scenarios with faults and
// checks every promise. Instances and stand-ins run in one process; the instances run
// the production code, and all connections are sockets.
//
// Run is given the configurations of the deployments, which it scales down. It prints how
// often each promise was checked and broken, a line per violation and the five measures
// of each deployment's report, and fails when a promise was broken or a scenario could
// not be run. The faults are scripted; the choice of configurations is left to the
// caller.
package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/amaranthfold/amaranthfold/internal/measure"
)

// Promise is a guarantee of the service that must hold under every fault.
type Promise int

// The promises, in the order of docs/PROMISES.md.
const (
	VersionsReported Promise = iota
	StalenessLimit
	DeliveredOnce
	OnlyOwnAccount
	KeyHidden
	KeyWithdrawn
	OrdersOneLeaseHolder
	UsageSameCounts
	UsageOneLeaseHolder
	CompleteResponse
	NotRunTrue
	AtMostOnce
	TerminatingNoWork
	PlannedStop
	ConfigApplied
	numPromises
)

// promiseNames are the names of the rows that the demo prints.
var promiseNames = [numPromises]string{
	"samples name the weight versions that produced them",
	"no sample is older than the staleness bound",
	"every sample is delivered exactly once",
	"a request runs only for its key's client account",
	"no target sees a caller's key",
	"a withdrawn key stops within seconds",
	"no orders from two processes in charge",
	"no usage window reported with different figures",
	"no usage window reported by two processes in charge",
	"a caller receives the whole answer to its own request",
	"a refusal that says not run is true",
	"a non-repeatable request runs at most once",
	"a leaving target receives no new work after seconds",
	"a planned stop cuts no request in flight",
	"an accepted configuration is in force and never reverts",
}

// results counts checks and violations per promise and keeps the measures of the
// deployments. It is safe for concurrent use.
type results struct {
	mu         sync.Mutex
	checked    [numPromises]int
	violations [numPromises]int
	messages   []string                  // one per violation
	measures   map[string]measure.Report // by deployment
}

// check counts one check of a promise. If it does not hold, it counts a violation and
// keeps the message.
func (r *results) check(p Promise, holds bool, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checked[p]++
	if !holds {
		r.violations[p]++
		r.messages = append(r.messages, promiseNames[p]+": "+fmt.Sprintf(format, args...))
	}
}

func (r *results) totalViolations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, count := range r.violations {
		n += count
	}
	return n
}

// print writes a row per promise, a line per violation and the measures of each
// deployment.
func (r *results) print(out io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for p := range numPromises {
		fmt.Fprintf(w, "%s\tchecked %d\tbroken %d\n", promiseNames[p], r.checked[p], r.violations[p])
	}
	for _, message := range r.messages {
		fmt.Fprintf(w, "BROKEN %s\n", message)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(r.measures)) {
		report := r.measures[name]
		printMeasures(out, name, &report)
	}
	return nil
}

// addMeasures sets the measures that print writes for the named deployment.
func (r *results) addMeasures(name string, report measure.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.measures == nil {
		r.measures = map[string]measure.Report{}
	}
	r.measures[name] = report
}
