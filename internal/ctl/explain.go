package ctl

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/integrii/flaggy"

	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

// maxLogLine is the length of the longest log line that is accepted, in bytes. Lines of
// events are far shorter: their error texts have at most a few hundred bytes.
const maxLogLine = 1 << 20

// idFields are the event fields that hold the id of a request, job or task, the number of a
// usage window or the name of a target.
var idFields = []string{"request", "job", "task", "window", "target"}

// contextEvents are the names of events that concern an instance and not a single request:
// they change what the instance can do, or its view of the deployment. "log detour" is
// the switch to or from access to the log through a relaying peer, "log through peer" the
// choice of that peer, "duty holder" a new holder or term of the controller lease, and
// "duty superseded" the rejection of a call with a superseded fencing number.
var contextEvents = map[string]bool{
	"instance started": true, "instance stopping": true, "instance stopped": true, "readiness changed": true,
	"dependency lost": true, "dependency regained": true, "log detour": true, "log through peer": true,
	"config applied": true, "duty holder": true, "duty superseded": true,
}

func explainCommand() *command {
	var id, logs string
	around := 2 * time.Second
	return &command{
		name: "explain", summary: "Prints the log lines of one request, job, usage window or target, ordered by time.",
		example: "amaranthctl explain --id 9c41d07be2a35f68 logs/",
		setup: func(sub *flaggy.Subcommand) {
			sub.String(&id, "", "id", "id of a request or job, number of a window, or name of a target")
			sub.Duration(&around, "", "around", "how long before and after its lines the events of its instances as a whole are shown")
			sub.AddPositionalValue(&logs, "LOGS", 1, true, "log file, or directory with the log files of all instances")
		},
		run: func(_ context.Context, env *Env) error {
			if id == "" || around < 0 {
				return usagef("--id is required, and --around must not be negative")
			}
			paths, err := logFiles(logs)
			if err != nil {
				return err
			}
			return explain(env, id, around, paths)
		},
	}
}

// explain prints the lines about id in the log files, with the context events around them.
func explain(env *Env, id string, around time.Duration, paths []string) error {
	var lines []events.Line
	var errs []error
	for _, path := range paths {
		found, skipped, err := readLog(path)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if skipped > 0 {
			fmt.Fprintf(env.Err, "%s: %d lines are no events\n", path, skipped)
		}
		lines = append(lines, found...)
	}
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	slices.SortStableFunc(lines, func(a, b events.Line) int { return a.Time.Compare(b.Time) })
	selected := selectLines(lines, id, around)
	if len(selected) == 0 {
		return fmt.Errorf("no line tells of %q: its instance was killed, or its lines were dropped (see log.dropped)", id)
	}
	for _, l := range selected {
		fmt.Fprintln(env.Out, l.Text)
	}
	return nil
}

// logFiles returns the paths of the regular files in a directory, or the path itself
// if it is a file.
func logFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil || !info.IsDir() {
		return []string{path}, err
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	var paths []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			paths = append(paths, filepath.Join(path, e.Name()))
		}
	}
	return paths, nil
}

// readLog returns the events of a log file and the number of lines that are not
// events.
func readLog(path string) (lines []events.Line, skipped int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = file.Close() }() // opened for reading only
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		l, err := events.ParseLine(scanner.Text())
		if err != nil {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fmt.Errorf("%s: %w", path, err)
	}
	return lines, skipped, nil
}

// selectLines returns the lines that have the id in one of idFields, and the context
// events that the instances which wrote them recorded in the same period. The period is
// extended by the duration around at both ends. The lines must be ordered by time.
func selectLines(lines []events.Line, id string, around time.Duration) []events.Line {
	hasID := func(l events.Line) bool {
		return slices.ContainsFunc(idFields, func(field string) bool { return l.Fields[field] == id })
	}
	involved := map[string]bool{}
	var from, to time.Time
	for _, l := range lines {
		if hasID(l) {
			if len(involved) == 0 {
				from = l.Time
			}
			to = l.Time
			involved[l.Instance] = true
		}
	}
	var out []events.Line
	for _, l := range lines {
		inRange := len(involved) > 0 && !l.Time.Before(from.Add(-around)) && !l.Time.After(to.Add(around))
		if hasID(l) || inRange && involved[l.Instance] && contextEvents[l.Event] {
			out = append(out, l)
		}
	}
	return out
}

func settingsCommand() *command {
	var path string
	return &command{
		name: "settings", summary: "Checks the settings file of a hosted instance and prints all findings.",
		example: "amaranthctl settings /etc/amaranthfold/settings.toml",
		setup:   func(sub *flaggy.Subcommand) { sub.AddPositionalValue(&path, "FILE", 1, true, "settings file") },
		run: func(_ context.Context, env *Env) error {
			s, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			fmt.Fprintf(env.Out, "settings of instance %q in %q are valid\n", s.Instance, s.DataCentre)
			return nil
		},
	}
}
