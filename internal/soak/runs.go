package soak

import (
	"fmt"
	"strings"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

// findRun returns the run with the name that events are marked with.
type findRun func(name string) (run hostplatform.Run, found bool)

// checkRuns returns an error if the marked events of an output, from the first one, change to a run
// that was not asked to go on after the event before, or hold events of a run of another request.
// The requests for the output have the id, or the id and a suffix that begins with "-".
func checkRuns(id string, events []string, find findRun) error {
	before := ""
	for i, event := range events {
		_, name := hostplatform.SplitMark(event)
		if i > 0 && name == before {
			continue
		}
		run, found := find(name)
		switch {
		case !found:
			return fmt.Errorf("event %d names no run: %q", i+1, event)
		case run.ID != id && !strings.HasPrefix(run.ID, id+"-"):
			return fmt.Errorf("event %d is of run %s of request %s", i+1, name, run.ID)
		case run.From != int64(i):
			return fmt.Errorf("event %d is of run %s, which was asked to go on after event %d; event %d is of run %q", i+1, name, run.From, i, before)
		}
		before = name
	}
	return nil
}

// withoutMarks returns the data of marked events.
func withoutMarks(events []string) []string {
	out := make([]string, len(events))
	for i, event := range events {
		out[i], _ = hostplatform.SplitMark(event)
	}
	return out
}

// runOf implements findRun for the runs of all targets.
func (e *environment) runOf(name string) (run hostplatform.Run, found bool) {
	for _, t := range e.targets {
		if run, found = t.engine.RunOf(name); found {
			return run, true
		}
	}
	return hostplatform.Run{}, false
}
