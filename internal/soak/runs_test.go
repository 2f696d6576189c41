package soak

import (
	"strings"
	"testing"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

// Guards against joined runs that the soak does not see: each text but the first two is broken.
func TestEventsOfRunsThatDoNotGoOnAfterEachOtherAreReported(t *testing.T) {
	runs := map[string]hostplatform.Run{
		"a/0": {ID: "task"}, "b/0": {ID: "task", From: 2}, "c/0": {ID: "task", From: 1}, "d/0": {ID: "task-1"}, "e/0": {ID: "other", From: 2},
	}
	find := func(name string) (hostplatform.Run, bool) {
		run, found := runs[name]
		return run, found
	}
	for events, want := range map[string]string{
		"x-1@a/0 x-2@a/0 x-3@b/0 x-4@b/0": "",
		"x-1@d/0":                         "",
		"x-1@a/0 x-2@a/0 x-3@c/0":         `event 3 is of run c/0, which was asked to go on after event 1; event 2 is of run "a/0"`,
		"x-1@a/0 x-2@c/0 x-3@a/0":         "event 3 is of run a/0, which was asked to go on after event 0",
		"x-1@b/0":                         "event 1 is of run b/0, which was asked to go on after event 2",
		"x-1@a/0 x-2@a/0 x-3@e/0":         "event 3 is of run e/0 of request other",
		"x-1":                             "event 1 names no run",
	} {
		got := ""
		if err := checkRuns("task", strings.Fields(events), find); err != nil {
			got = err.Error()
		}
		if !strings.Contains(got, want) || (want == "") != (got == "") {
			t.Errorf("events %s: %q, want %q", events, got, want)
		}
	}
}
