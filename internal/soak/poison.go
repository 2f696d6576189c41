package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	poisonBody     = "poison"
	poisonInterval = 900 * time.Millisecond
	restartTime    = time.Second // from the crash of a target to its next start
	// knownCrashes is the number of crashes after which a request must not be sent on, and
	// lateCrashes how many may follow it, by repeats sent before all instances knew.
	knownCrashes = 3
	lateCrashes  = 3
)

// crashOnPoison makes a plain target crash when it has run the poison request for a moment, and
// start again after restartTime.
func (e *environment) crashOnPoison(ctx context.Context, t *target) {
	t.engine.SetPlainHandler(func(_ http.ResponseWriter, r *http.Request) bool {
		if !strings.HasPrefix(r.URL.Path, "/confirm/poison") {
			return false
		}
		time.Sleep(20 * time.Millisecond)
		e.mu.Lock()
		crashing := t.crashed
		t.crashed = true
		if !crashing {
			e.crashes++
		}
		e.mu.Unlock()
		if crashing {
			panic(http.ErrAbortHandler)
		}
		restart := t.proxy.crash()
		time.AfterFunc(restartTime, func() {
			if ctx.Err() != nil {
				return
			}
			t.engine.Restart()
			e.noteCold(t)
			if err := restart(); err != nil {
				e.recordViolation("target %s: %v", t.engine.ID, err)
			}
			e.mu.Lock()
			t.crashed = false
			e.mu.Unlock()
		})
		panic(http.ErrAbortHandler)
	})
}

// sendPoison sends the request that crashes its targets, under an id of its own.
func (l *load) sendPoison(id string, instance int) {
	_, _ = l.send(instance, http.MethodPost, "/confirm/poison", id, l.env.key(), []byte(poisonBody))
}

// checkPoison sends the poison request to every instance after the last fault: once it has
// crashed enough targets, instances that reach the log must not send it on.
func (e *environment) checkPoison(l *load) {
	e.mu.Lock()
	before := e.crashes
	e.mu.Unlock()
	for n := range 2 * len(e.instances) {
		l.sendPoison(fmt.Sprint("poison-after-", n), n)
		time.Sleep(restartTime / 4)
	}
	e.mu.Lock()
	after := e.crashes
	e.mu.Unlock()
	if after > max(before, knownCrashes)+lateCrashes {
		e.recordViolation("%d targets crashed under one request, %d of them after the last fault", after, after-before)
	}
}

// checkInnocent records a violation for a request that is refused as one that crashes targets.
func (e *environment) checkInnocent(id string, status int, body []byte) {
	if status == http.StatusServiceUnavailable && bytes.Contains(body, []byte("targets crash under this request")) {
		e.recordViolation("request %s is refused as one that crashes targets", id)
	}
}
