package ctl

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/operator"
)

// followInterval is how often timeline --follow queries the instances.
const followInterval = time.Second

// eventFilter selects events by the values of their fields; an empty value matches
// every event.
type eventFilter struct{ request, account, target, lease, instance string }

func (f *eventFilter) matches(e *events.Event) bool {
	for _, want := range []struct{ value, have string }{
		{f.request, e.Fields["request"]},
		{f.account, e.Fields["account"]},
		{f.target, e.Fields["target"]},
		{f.lease, e.Fields["lease"]},
		{f.instance, e.Instance},
	} {
		if want.value != "" && want.value != want.have {
			return false
		}
	}
	return true
}

func timelineCommand() *command {
	var listenerFlags operatorFlags
	var filter eventFilter
	var follow bool
	var output string
	return &command{
		name: "timeline", summary: "Prints the merged events of all instances, causes before effects.",
		example: "amaranthctl timeline --follow --account papine\n  amaranthctl timeline --request 6f1c2a9e",
		setup: func(sub *flaggy.Subcommand) {
			listenerFlags.attach(sub)
			sub.Bool(&follow, "f", "follow", "keep printing new events")
			sub.String(&filter.request, "", "request", "only events of this request id")
			sub.String(&filter.account, "", "account", "only events of this client account")
			sub.String(&filter.target, "", "target", "only events of this target")
			sub.String(&filter.lease, "", "lease", "only events of this lease")
			sub.String(&filter.instance, "", "instance", "only events of this instance")
			attachOutput(sub, &output)
		},
		run: func(ctx context.Context, env *Env) error {
			client, err := listenerFlags.clientFor(env, output)
			if err != nil {
				return err
			}
			t := newTimeline(env, client)
			for {
				newEvents, err := t.gather(ctx)
				if err != nil {
					return err
				}
				if err := t.print(newEvents, &filter, output); err != nil {
					return err
				}
				if !follow || !clock.Sleep(ctx, followInterval) {
					return nil
				}
			}
		},
	}
}

// timeline collects the events of all instances and prints each of them once.
type timeline struct {
	env         *Env
	client      *operator.Client
	cursors     map[string]uint64 // last sequence number received, by instance
	handled     map[string]bool   // by event name and log offset: printed or filtered out
	unreachable map[string]bool   // peers whose last query failed
}

func newTimeline(env *Env, client *operator.Client) *timeline {
	return &timeline{env: env, client: client, cursors: map[string]uint64{}, handled: map[string]bool{}, unreachable: map[string]bool{}}
}

// gather returns the new events of every instance that responds, ordered by
// timestamp. It fails if the instance that t.client connects to does not respond.
func (t *timeline) gather(ctx context.Context) ([]events.Event, error) {
	status, err := t.client.Status(ctx)
	if err != nil {
		return nil, err
	}
	all, err := t.fetchEvents(ctx, status.Instance, t.client)
	if err != nil {
		return nil, err
	}
	for _, p := range status.Peers {
		more, err := t.fetchEvents(ctx, p.ID, t.client.WithBase(p.Operator))
		t.warnMissing(p.ID, err)
		all = append(all, more...)
	}
	slices.SortStableFunc(all, func(a, b events.Event) int {
		return cmp.Or(cmp.Compare(a.Timestamp, b.Timestamp), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Seq, b.Seq))
	})
	return all, nil
}

// fetchEvents returns the events that an instance has recorded since the previous call.
func (t *timeline) fetchEvents(ctx context.Context, instance string, client *operator.Client) ([]events.Event, error) {
	since := t.cursors[instance]
	page, err := client.Events(ctx, since)
	if err != nil {
		return nil, err
	}
	if page.Last < since { // the instance has restarted
		if page, err = client.Events(ctx, 0); err != nil {
			return nil, err
		}
	}
	if page.Lost > 0 {
		fmt.Fprintf(t.env.Err, "%s no longer keeps %d events\n", instance, page.Lost)
	}
	t.cursors[instance] = page.Last
	return page.Events, nil
}

// warnMissing prints a warning if a query failed and the previous query of the same
// instance did not.
func (t *timeline) warnMissing(instance string, err error) {
	if err != nil && !t.unreachable[instance] {
		fmt.Fprintf(t.env.Err, "no events from %s: %v\n", instance, err)
	}
	t.unreachable[instance] = err != nil
}

func (t *timeline) print(all []events.Event, filter *eventFilter, output string) error {
	for i := range all {
		e := &all[i]
		if t.markHandled(e) || !filter.matches(e) {
			continue
		}
		if err := t.printEvent(e, output); err != nil {
			return err
		}
	}
	return nil
}

// markHandled marks an event as handled and reports whether it was a duplicate: every
// instance that applies a log record records the same event, and only the first one that
// is handled counts. Events without a log offset are never duplicates.
func (t *timeline) markHandled(e *events.Event) bool {
	offset := e.Fields[control.OffsetField]
	if offset == "" {
		return false
	}
	key := e.Name + "@" + offset
	alreadyHandled := t.handled[key]
	t.handled[key] = true
	return alreadyHandled
}

func (t *timeline) printEvent(e *events.Event, output string) error {
	if output == outputJSON {
		return printJSON(t.env.Out, e)
	}
	var fields strings.Builder
	for _, k := range slices.Sorted(maps.Keys(e.Fields)) {
		fmt.Fprintf(&fields, " %s=%q", k, e.Fields[k])
	}
	_, err := fmt.Fprintf(t.env.Out, "%s %s event=%q%s\n", e.Timestamp.Time().UTC().Format("15:04:05.000"), e.Instance, e.Name, fields.String())
	return err
}
