// Package demo runs both sites at small size through the faults of the brief,
// by the real code paths over real sockets, and checks every promise.
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

// Promise is one of the things that must always hold.
type Promise int

// The promises, in the order of docs/PROMISES.md.
const (
	VersionsNamed Promise = iota
	StalenessBound
	DeliveredOnce
	OnlyOwnAccount
	KeyHidden
	KeyWithdrawn
	OrdersOneInCharge
	UsageSameFigures
	UsageOneInCharge
	WholeAnswer
	NotRunTrue
	AtMostOnce
	LeavingNoWork
	PlannedStop
	ConfigInForce
	numPromises
)

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

// tally counts checks per promise. It is safe for concurrent use.
type tally struct {
	mu      sync.Mutex
	checked [numPromises]int
	broken  [numPromises]int
	notes   []string
	reports map[string]measure.Report // by deployment
}

// check counts one check and notes it if it is broken.
func (t *tally) check(p Promise, holds bool, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checked[p]++
	if !holds {
		t.broken[p]++
		t.notes = append(t.notes, promiseNames[p]+": "+fmt.Sprintf(format, args...))
	}
}

func (t *tally) totalBroken() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, b := range t.broken {
		n += b
	}
	return n
}

func (t *tally) print(out io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for p := range numPromises {
		fmt.Fprintf(w, "%s\tchecked %d\tbroken %d\n", promiseNames[p], t.checked[p], t.broken[p])
	}
	for _, note := range t.notes {
		fmt.Fprintf(w, "BROKEN %s\n", note)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, deployment := range slices.Sorted(maps.Keys(t.reports)) {
		report := t.reports[deployment]
		printMeasures(out, deployment, &report)
	}
	return nil
}

// measured keeps a site's measures for the end.
func (t *tally) measured(deployment string, r measure.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = map[string]measure.Report{}
	}
	t.reports[deployment] = r
}
