package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/internal/operator"
	engines "github.com/amaranthfold/amaranthfold/internal/standin/engine"
)

const (
	longCompletionTokens = 400 // generated in about a second
	faultToken           = 20  // token at which a fault is injected
	requestIDHeader      = "X-Request-Id"
	stopTimeout          = 20 * time.Second
)

// targetRunning returns the id of a target whose engine has received the prompt and is
// generating, or "".
func (d *deployment) targetRunning(prompt string) string {
	for id, e := range d.Engines() {
		for _, req := range e.ReceivedRequests() {
			if e.Running() > 0 && strings.Contains(req.Body, prompt) {
				return id
			}
		}
	}
	return ""
}

// engineCrash crashes an engine while it serves a stream. The caller must receive the
// complete response.
func (d *deployment) engineCrash(ctx context.Context) error {
	const prompt = "an engine crashes"
	crashed := ""
	text, err := d.stream(ctx, d.connection.CallerURLs[0], d.connection.Accounts[0].Key, prompt, longCompletionTokens, func(n int) {
		if n == faultToken {
			crashed = d.targetRunning(prompt)
			d.Orders.Crash(crashed)
		}
	})
	d.results.check(CompleteResponse, crashed != "" && err == nil && text == engines.Text(prompt, 0, longCompletionTokens),
		"the stream of crashed target %q ended with %v after %d bytes", crashed, err, len(text))
	return ctx.Err()
}

// plainResponse holds what the checks need of the response of a plain service.
type plainResponse struct {
	status  int
	outcome string
	body    string
}

// callNonRepeatable sends a request to the non-repeatable route through the instance at
// callerURL.
func (d *deployment) callNonRepeatable(ctx context.Context, callerURL, key, id, body string) (plainResponse, error) {
	service, route := d.nonRepeatableRoute()
	url := callerURL + "/services/" + service + route + "/1"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return plainResponse{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(requestIDHeader, id)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return plainResponse{}, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return plainResponse{res.StatusCode, res.Header.Get(outcomeHeader), string(data)}, err
}

// nonRepeatableRoute returns the first non-repeatable route of a plain service.
func (d *deployment) nonRepeatableRoute() (service, route string) {
	for _, sv := range d.cfg.Services {
		for _, rt := range sv.Routes {
			if sv.Kind == config.KindPlain && !rt.Repeatable {
				return sv.Name, rt.Name
			}
		}
	}
	return "", ""
}

// runs returns how often the targets together have run the request.
func (d *deployment) runs(id string) int {
	n := 0
	for _, p := range d.PlainServices() {
		n += p.RunCounts()[id]
	}
	return n
}

// loseResponses makes every target drop its next response, sends a non-repeatable request
// and repeats it through every instance. The request must run once, and no response may
// report it as not run.
func (d *deployment) loseResponses(ctx context.Context) error {
	const id = "demo-lost"
	for _, p := range d.PlainServices() {
		p.DropResponses(1)
	}
	defer func() {
		for _, p := range d.PlainServices() {
			p.DropResponses(0)
		}
	}()
	for _, callerURL := range append(d.connection.CallerURLs[:1:1], d.connection.CallerURLs...) {
		reply, err := d.callNonRepeatable(ctx, callerURL, d.connection.Accounts[0].Key, id, "hold")
		if err != nil {
			return err
		}
		d.results.check(NotRunTrue, reply.outcome != notRun, "a request that ran got the outcome %q", reply.outcome)
	}
	d.results.check(AtMostOnce, d.runs(id) == 1, "request %s ran %d times", id, d.runs(id))
	return nil
}

// repeats sends one non-repeatable request through every instance. It must run once, and
// every response must be the same.
func (d *deployment) repeats(ctx context.Context) error {
	const id = "demo-repeat"
	key := d.connection.Accounts[0].Key
	first, err := d.callNonRepeatable(ctx, d.connection.CallerURLs[0], key, id, "hold")
	if err != nil {
		return err
	}
	for _, callerURL := range d.connection.CallerURLs {
		again, err := d.callNonRepeatable(ctx, callerURL, key, id, "hold")
		if err != nil {
			return err
		}
		d.results.check(CompleteResponse, again.status == http.StatusOK && again.body == first.body, "a repeated request got status %d with body %q", again.status, again.body)
	}
	d.results.check(AtMostOnce, d.runs(id) == 1, "request %s ran %d times", id, d.runs(id))
	return nil
}

// refusals sends two requests that must be refused as not run: one with an unknown key and
// one with an id that was used for another body. No target may have run them.
func (d *deployment) refusals(ctx context.Context) error {
	for i, key := range []string{"amk-wrong", d.connection.Accounts[0].Key} {
		id := fmt.Sprintf("demo-refused-%d", i)
		before := 0
		if i > 0 { // the id is in use with another body
			if _, err := d.callNonRepeatable(ctx, d.connection.CallerURLs[0], key, id, "hold"); err != nil {
				return err
			}
			before = 1
		}
		reply, err := d.callNonRepeatable(ctx, d.connection.CallerURLs[len(d.connection.CallerURLs)-1], key, id, "another")
		if err != nil {
			return err
		}
		d.results.check(NotRunTrue, reply.outcome == notRun && d.runs(id) == before, "the refusal has status %d and outcome %q, the request ran %d times", reply.status, reply.outcome, d.runs(id))
	}
	return nil
}

// drainedTarget drains a target while it serves a stream. The stream must be complete,
// and the target must receive no further requests.
func (d *deployment) drainedTarget(ctx context.Context) error {
	const prompt = "a target drains"
	var target string
	var before int
	var drainErr error
	running := d.Engines()
	text, err := d.stream(ctx, d.connection.CallerURLs[0], d.connection.Accounts[0].Key, prompt, longCompletionTokens, func(n int) {
		if n == faultToken {
			target = d.targetRunning(prompt)
			before, drainErr = d.drainAndCall(ctx, target)
		}
	})
	if drainErr != nil {
		return drainErr
	}
	d.results.check(TerminatingNoWork, running[target] != nil && len(running[target].ReceivedRequests()) == before, "drained target %s received new requests", target)
	d.results.check(CompleteResponse, err == nil && text == engines.Text(prompt, 0, longCompletionTokens), "the stream of drained target %s ended with %v", target, err)
	return nil // the drained target is left to the lease holder, which replaces and stops it
}

// drainAndCall drains the target and, once every instance has applied the drain, sends a
// request through each instance. It returns how many requests the target had received
// before these.
func (d *deployment) drainAndCall(ctx context.Context, target string) (int, error) {
	reply, err := d.Operator().Drain(ctx, operator.DrainRequest{Target: target})
	if err != nil {
		return 0, err
	}
	if err := d.AwaitOffset(ctx, reply.Offset); err != nil {
		return 0, err
	}
	drained := d.Engines()[target]
	if drained == nil {
		return 0, fmt.Errorf("target %q is not running", target)
	}
	before := len(drained.ReceivedRequests())
	for _, callerURL := range d.connection.CallerURLs {
		if _, err := d.stream(ctx, callerURL, d.connection.Accounts[0].Key, "after the drain", 1, nil); err != nil {
			return 0, err
		}
	}
	return before, nil
}

// instanceStopped stops an instance while it relays a stream. The stream must be
// complete.
func (d *deployment) instanceStopped(ctx context.Context) error {
	const prompt = "an instance stops"
	inst, err := d.AddInstance(ctx)
	if err != nil {
		return err
	}
	if err := d.awaitReady(ctx, inst.CallerURL()); err != nil {
		return err
	}
	stopped := make(chan error, 1)
	text, err := d.stream(ctx, inst.CallerURL(), d.connection.Accounts[0].Key, prompt, longCompletionTokens, func(n int) {
		if n != faultToken {
			return
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, stopTimeout)
			defer cancel()
			stopped <- d.StopInstance(ctx, inst.ID)
		}()
	})
	d.results.check(PlannedStop, err == nil && text == engines.Text(prompt, 0, longCompletionTokens), "the stream ended with %v after %d bytes", err, len(text))
	if err != nil {
		return nil //nolint:nilerr // counted as a violation
	}
	stopErr := <-stopped
	d.results.check(PlannedStop, stopErr == nil, "the planned stop ended with %v", stopErr)
	return nil
}

// awaitReady returns once the instance reports that it is ready for requests.
func (d *deployment) awaitReady(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", http.NoBody)
		if err != nil {
			return err
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return fmt.Errorf("instance at %s is not ready: %w", url, err)
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}
