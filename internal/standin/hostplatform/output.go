package hostplatform

import (
	"fmt"
	"strconv"
	"strings"
)

// FirstSoftware is the software version that engines have unless another one is set.
const FirstSoftware = "v1"

// markSeparator stands between the data of a marked event and the name of its run.
const markSeparator = "@"

// SetSoftware sets the software version. The data of the engine's events depends on it.
func (e *Engine) SetSoftware(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.software = version
}

// Output returns the complete output of a task with n events, numbered from 1: the data of
// the events, joined by line breaks.
func Output(id string, n int) string { return OutputOf(FirstSoftware, id, n) }

// OutputOf is Output for engines with the software version.
func OutputOf(software, id string, n int) string {
	lines := make([]string, n)
	for i := range lines {
		lines[i] = eventData(software, id, int64(i+1))
	}
	return strings.Join(lines, "\n")
}

func eventData(software, id string, number int64) string {
	if software == FirstSoftware {
		return fmt.Sprintf("%s-%d", id, number)
	}
	return fmt.Sprintf("%s-%d-%s", id, number, software)
}

// MarkRuns makes the engine add the name of the run to the data of each event, so that the events
// of two runs of one task differ.
func (e *Engine) MarkRuns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.marksRuns = true
}

// SplitMark returns the data of a marked event and the name of the run that made it.
func SplitMark(event string) (data, run string) {
	data, run, _ = strings.Cut(event, markSeparator)
	return data, run
}

// runName returns the name of the run with the index in the engine's runs.
func (e *Engine) runName(index int) string { return e.ID + "/" + strconv.Itoa(index) }

// RunOf returns the engine's run with the name of a mark.
func (e *Engine) RunOf(name string) (run Run, found bool) {
	number, ofEngine := strings.CutPrefix(name, e.ID+"/")
	index, err := strconv.Atoi(number)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !ofEngine || err != nil || index < 0 || index >= len(e.runs) {
		return Run{}, false
	}
	return e.runs[index], true
}
