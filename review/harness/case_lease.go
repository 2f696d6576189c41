package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	leaseRetention = 45 * time.Second // of the store's records
	expiryMargin   = 5 * time.Second
	leaseWatch     = 30 * time.Second // seven usage windows
	restartDelay   = 500 * time.Millisecond
	versionEvery   = 4 * time.Second // between two versions that the trainer names
)

// leaseCase kills and restarts one instance when the deployment is older than the store's
// retention. Rule ONE: holders of a duty must not use a lower fence number after a higher one, nor
// take turns within the lease time.
func leaseCase(w *world) ([]string, error) {
	w.fenced, w.retention, w.statusS = false, leaseRetention, 20
	if text := os.Getenv("RETENTION_S"); text != "" { // a longer run with the retention of the example settings
		seconds, err := strconv.Atoi(text)
		if err != nil {
			return nil, fmt.Errorf("%w: RETENTION_S: %w", errCannotRun, err)
		}
		w.retention, w.statusS = time.Duration(seconds)*time.Second, seconds*2/5
	}
	if err := w.start(configuration(1, false, "train"), samplers(4, 4), "n0", "n1", "n2"); err != nil {
		return nil, err
	}
	go w.sendCalls(func(bool) {})
	go w.nameVersions()
	time.Sleep(w.retention + expiryMargin)
	w.printf("the oldest record of the topic control has offset %d", w.store.firstOffset("control", 0))
	holder := lastHolder(w.dutyCalls())
	if holder == "" {
		return nil, fmt.Errorf("%w: no usage was reported", errCannotRun)
	}
	if w.trouble {
		other := w.instances[0]
		if other.name == holder {
			other = w.instances[1]
		}
		other.kill()
		time.Sleep(restartDelay)
		if err := other.start(); err != nil {
			return nil, err
		}
		if err := other.awaitReady(readyTimeout); err != nil {
			return nil, err
		}
	}
	time.Sleep(leaseWatch)
	return checkDuties(w.dutyCalls()), nil
}

// sendCalls sends plain requests until the run ends, and tells after each whether it was served.
func (w *world) sendCalls(done func(ok bool)) {
	for n := 0; ; n++ {
		select {
		case <-w.stopped:
			return
		case <-time.After(200 * time.Millisecond):
		}
		id := fmt.Sprintf("call-%d", n)
		a := w.call(w.instances[n%len(w.instances)], http.MethodPost, "/confirm/x", map[string]string{"Request-Id": id, "Deadline-Ms": "2000"}, []byte(id))
		if a.status != http.StatusOK {
			w.printf("request %s: status %d", id, a.status)
		}
		done(a.status == http.StatusOK)
	}
}

// nameVersions names versions of the model, as a trainer does after each step, until the run ends.
func (w *world) nameVersions() {
	for version := 2; ; version++ {
		select {
		case <-w.stopped:
			return
		case <-time.After(versionEvery):
		}
		w.printf("version %d is named", version)
		w.store.put("keyed.op", "version/"+modelName, map[string]any{"model": modelName, "version": version})
	}
}

func lastHolder(calls []dutyCall) string {
	if len(calls) == 0 {
		return ""
	}
	return calls[len(calls)-1].holder
}

// checkDuties returns the violations of rule ONE for holders whose fence numbers nobody checks.
func checkDuties(calls []dutyCall) (violations []string) {
	highest := map[string]dutyCall{}      // by subject
	fenceOf := map[string]string{}        // holder by subject and fence number
	last := map[string]time.Time{}        // call by subject and holder
	since := map[string]map[string]bool{} // by subject: holders after whose last call another one called
	report := func(c dutyCall, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("ONE, %s: %s", c.subject, fmt.Sprintf(format, args...)))
	}
	for _, c := range calls {
		if h := highest[c.subject]; c.fence < h.fence {
			report(c, "%s called with fence %d, %s after %s with fence %d", c.holder, c.fence, c.at.Sub(h.at).Round(time.Millisecond), h.holder, h.fence)
		} else {
			highest[c.subject] = c
		}
		key := fmt.Sprintf("%s %d", c.subject, c.fence)
		if other := fenceOf[key]; other != "" && other != c.holder {
			report(c, "%s and %s both used fence %d", other, c.holder, c.fence)
		}
		fenceOf[key] = c.holder
		if since[c.subject] == nil {
			since[c.subject] = map[string]bool{}
		}
		own := c.subject + " " + c.holder
		if at, called := last[own]; called && since[c.subject][c.holder] && c.at.Sub(at) < leaseTime {
			report(c, "%s took turns with another holder within %s", c.holder, c.at.Sub(at).Round(time.Millisecond))
		}
		for other := range since[c.subject] {
			since[c.subject][other] = true
		}
		last[own], since[c.subject][c.holder] = c.at, false
	}
	return violations
}
