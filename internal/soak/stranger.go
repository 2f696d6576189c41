package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/amaranthfold/amaranthfold/core/occupancy"
	"github.com/amaranthfold/amaranthfold/internal/forward"
	exchange "github.com/amaranthfold/amaranthfold/internal/occupancy"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

const (
	strangerInterval = 200 * time.Millisecond
	// strangerTask is the id of a stranger's request. No target may run it.
	strangerTask = "stranger"
)

// callAsStranger calls the listener between instances in plain HTTP, as a process on the network
// may that is no instance: it relays a request, appends to the log or sends occupancy, in turn.
// An answer is a violation.
func (l *load) callAsStranger(n, instance int) {
	p := l.env.instances[instance]
	req, err := strangerRequest(n, p.peersAddress, l.env.instances[(instance+1)%len(l.env.instances)].name)
	if err != nil {
		l.env.recordViolation("%v", err)
		return
	}
	res, err := l.client.Do(req)
	if err != nil {
		return // refused, or the instance is down
	}
	_ = res.Body.Close() // the answer itself is the violation
	l.env.recordViolation("instance %s answered a stranger's %s %s with status %d", p.name, req.Method, req.URL.Path, res.StatusCode)
}

// strangerRequest returns the call with the number; from is the name of an instance.
func strangerRequest(n int, address, from string) (*http.Request, error) {
	path, body := "/confirm/x", []byte(strangerTask)
	switch n % 3 {
	case 1:
		path, body = hostplatform.ForgedAppend("record of a stranger")
	case 2:
		data, err := occupancy.Encode(occupancy.Message{From: from, Incarnation: time.Now().UnixMilli(), Sequence: 1, Full: true})
		if err != nil {
			return nil, fmt.Errorf("encode a stranger's message: %w", err)
		}
		path, body = exchange.Path, data
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("a stranger's request: %w", err)
	}
	req.Close = true
	if n%3 == 0 {
		req.Host = routeHost
		req.Header.Set(forward.HeaderRelayed, "0")
		hostplatform.SetForgedRequest(req.Header, strangerTask)
	}
	return req, nil
}

// checkStranger records a violation if a target ran a stranger's request.
func (e *environment) checkStranger(runs map[string]int) {
	if runs[strangerTask] > 0 {
		e.recordViolation("a stranger's request ran %d times", runs[strangerTask])
	}
}
