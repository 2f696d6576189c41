package main

import (
	"fmt"
	mrand "math/rand/v2"
	"time"
)

const (
	copyTargets   = 2
	copyInstances = 12
	copyClients   = 24
	copyShare     = 0.03 // of the answers of the faulty target
	copyFor       = 5 * time.Second
	copyPause     = time.Second
	copyRounds    = 12
)

func init() { cases["late-copy"] = runLateCopy }

// runLateCopy plays a plain service under load. One of its two targets, for some seconds, sends a
// second copy of some answers at the point where the next answer on the connection is expected.
func runLateCopy(e *env) (breaks []string, err error) {
	work := func() time.Duration { return time.Duration(50+mrand.IntN(20)) * time.Millisecond }
	var targets []*plainTarget
	for i := range copyTargets {
		t, err := e.newPlainTarget("desk", zones[i], 6, 2, work)
		if err != nil {
			return nil, err
		}
		targets = append(targets, t)
	}
	e.putConfig(1, plainRoute("non_idempotent"))
	for i := range copyInstances {
		if _, err := e.newInstance(zones[i%len(zones)], e.storeAt); err != nil {
			return nil, err
		}
	}
	if err := e.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	load := e.startLoad(loadConfig{clients: copyClients, path: plainPrefix, budget: 2 * time.Second, retries: 1, body: 600})
	for range copyRounds {
		time.Sleep(copyPause)
		if e.trouble {
			targets[0].copyShare.Store(int64(copyShare * 1e6))
		}
		time.Sleep(copyFor)
		targets[0].copyShare.Store(0)
	}
	attempts := load.stop()
	time.Sleep(time.Second)
	return judgeOnce(e, attempts, targets), nil
}

// judgeOnce returns the breaks of TWICE and REFUSED by attempts at a route whose requests run once at
// most.
func judgeOnce(e *env, attempts []attempt, targets []*plainTarget) (breaks []string) {
	runs := runCounts(targets)
	statuses, copies := map[int]int{}, int64(0)
	for _, a := range attempts {
		statuses[a.status]++
		n := runs[a.id]
		if n > 1 {
			breaks = append(breaks, fmt.Sprintf("TWICE: request %s ran %d times and was answered %d", a.id, n, a.status))
		}
		if n > 0 && promisesNotRun(a.status) {
			breaks = append(breaks, fmt.Sprintf("REFUSED: request %s was answered %d and ran %d times", a.id, a.status, n))
		}
	}
	for _, t := range targets {
		copies += t.copies.Load()
	}
	e.rec.printf("attempts %d, by status %v, second copies %d", len(attempts), statuses, copies)
	return breaks
}
