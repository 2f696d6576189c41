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
	longAnswer  = 400 // tokens; about a second
	faultToken  = 20  // token at which a fault strikes
	requestID   = "X-Request-Id"
	stopTimeout = 20 * time.Second
)

// runsOn returns the target whose engine has the prompt's generation.
func (s *site) runsOn(prompt string) string {
	for id, e := range s.Engines() {
		for _, seen := range e.ReceivedRequests() {
			if e.Running() > 0 && strings.Contains(seen.Body, prompt) {
				return id
			}
		}
	}
	return ""
}

// engineCrash ends an engine while it answers a stream.
func (s *site) engineCrash(ctx context.Context) error {
	const prompt = "an engine crashes"
	crashed := ""
	text, err := s.stream(ctx, s.announce.CallerURLs[0], s.announce.Accounts[0].Key, prompt, longAnswer, func(n int) {
		if n == faultToken {
			crashed = s.runsOn(prompt)
			s.Orders.Crash(crashed)
		}
	})
	s.tally.check(WholeAnswer, crashed != "" && err == nil && text == engines.Text(prompt, 0, longAnswer),
		"the stream of crashed target %q ended with %v after %d bytes", crashed, err, len(text))
	return ctx.Err()
}

// plainReply is what a caller of a plain service got.
type plainReply struct {
	status  int
	outcome string
	body    string
}

// confirm sends a non-repeatable request through an entry.
func (s *site) confirm(ctx context.Context, entry, key, id, body string) (plainReply, error) {
	service, route := s.nonRepeatable()
	url := entry + "/services/" + service + route + "/1"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return plainReply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(requestID, id)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return plainReply{}, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return plainReply{res.StatusCode, res.Header.Get(outcomeHeader), string(data)}, err
}

// nonRepeatable returns a plain service with its non-repeatable route.
func (s *site) nonRepeatable() (service, route string) {
	for _, sv := range s.cfg.Services {
		for _, rt := range sv.Routes {
			if sv.Kind == config.KindPlain && !rt.Repeatable {
				return sv.Name, rt.Name
			}
		}
	}
	return "", ""
}

// runs counts how often targets ran the request.
func (s *site) runs(id string) int {
	n := 0
	for _, p := range s.PlainServices() {
		n += p.RunCounts()[id]
	}
	return n
}

// lostAnswer loses a target's answer to a non-repeatable request, which the
// caller then repeats everywhere.
func (s *site) lostAnswer(ctx context.Context) error {
	const id = "demo-lost"
	for _, p := range s.PlainServices() {
		p.DropResponses(1)
	}
	defer func() {
		for _, p := range s.PlainServices() {
			p.DropResponses(0)
		}
	}()
	for _, entry := range append(s.announce.CallerURLs[:1:1], s.announce.CallerURLs...) {
		reply, err := s.confirm(ctx, entry, s.announce.Accounts[0].Key, id, "hold")
		if err != nil {
			return err
		}
		s.tally.check(NotRunTrue, reply.outcome != notRun, "a request that ran was called %q", reply.outcome)
	}
	s.tally.check(AtMostOnce, s.runs(id) == 1, "request %s ran %d times", id, s.runs(id))
	return nil
}

// repeats sends one non-repeatable request through every instance.
func (s *site) repeats(ctx context.Context) error {
	const id = "demo-repeat"
	key := s.announce.Accounts[0].Key
	first, err := s.confirm(ctx, s.announce.CallerURLs[0], key, id, "hold")
	if err != nil {
		return err
	}
	for _, entry := range s.announce.CallerURLs {
		again, err := s.confirm(ctx, entry, key, id, "hold")
		if err != nil {
			return err
		}
		s.tally.check(WholeAnswer, again.status == http.StatusOK && again.body == first.body, "a repeat got %d %q", again.status, again.body)
	}
	s.tally.check(AtMostOnce, s.runs(id) == 1, "request %s ran %d times", id, s.runs(id))
	return nil
}

// refusals checks refusals that say "not run" against what targets saw.
func (s *site) refusals(ctx context.Context) error {
	for i, key := range []string{"amk-wrong", s.announce.Accounts[0].Key} {
		id := fmt.Sprintf("demo-refused-%d", i)
		before := 0
		if i > 0 { // the id is taken by another content
			if _, err := s.confirm(ctx, s.announce.CallerURLs[0], key, id, "hold"); err != nil {
				return err
			}
			before = 1
		}
		reply, err := s.confirm(ctx, s.announce.CallerURLs[len(s.announce.CallerURLs)-1], key, id, "another")
		if err != nil {
			return err
		}
		s.tally.check(NotRunTrue, reply.outcome == notRun && s.runs(id) == before, "refusal %d %q, ran %d times", reply.status, reply.outcome, s.runs(id))
	}
	return nil
}

// drainedTarget drains a target while it answers a stream.
func (s *site) drainedTarget(ctx context.Context) error {
	const prompt = "a target drains"
	var target string
	var before int
	var drainErr error
	running := s.Engines()
	text, err := s.stream(ctx, s.announce.CallerURLs[0], s.announce.Accounts[0].Key, prompt, longAnswer, func(n int) {
		if n == faultToken {
			target = s.runsOn(prompt)
			before, drainErr = s.drainAndCall(ctx, target)
		}
	})
	if drainErr != nil {
		return drainErr
	}
	s.tally.check(LeavingNoWork, running[target] != nil && len(running[target].ReceivedRequests()) == before, "drained target %s got new work", target)
	s.tally.check(WholeAnswer, err == nil && text == engines.Text(prompt, 0, longAnswer), "the stream of drained target %s ended with %v", target, err)
	return nil // the instance in charge replaces and stops the target
}

// drainAndCall drains the target and calls every instance. It returns how many
// requests the target had got by then.
func (s *site) drainAndCall(ctx context.Context, target string) (int, error) {
	reply, err := s.Operator().Drain(ctx, operator.DrainRequest{Target: target})
	if err != nil {
		return 0, err
	}
	if err := s.AwaitOffset(ctx, reply.Offset); err != nil {
		return 0, err
	}
	drained := s.Engines()[target]
	if drained == nil {
		return 0, fmt.Errorf("target %q does not run", target)
	}
	before := len(drained.ReceivedRequests())
	for _, entry := range s.announce.CallerURLs {
		if _, err := s.stream(ctx, entry, s.announce.Accounts[0].Key, "after the drain", 1, nil); err != nil {
			return 0, err
		}
	}
	return before, nil
}

// instanceStopped stops an instance while it relays a stream.
func (s *site) instanceStopped(ctx context.Context) error {
	const prompt = "an instance stops"
	m, err := s.AddInstance(ctx)
	if err != nil {
		return err
	}
	if err := s.awaitReady(ctx, m.CallerURL()); err != nil {
		return err
	}
	stopped := make(chan error, 1)
	text, err := s.stream(ctx, m.CallerURL(), s.announce.Accounts[0].Key, prompt, longAnswer, func(n int) {
		if n != faultToken {
			return
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, stopTimeout)
			defer cancel()
			stopped <- s.StopInstance(ctx, m.ID)
		}()
	})
	s.tally.check(PlannedStop, err == nil && text == engines.Text(prompt, 0, longAnswer), "the stream ended with %v after %d bytes", err, len(text))
	if err != nil {
		return nil //nolint:nilerr // counted as broken
	}
	stopErr := <-stopped
	s.tally.check(PlannedStop, stopErr == nil, "the planned stop ended with %v", stopErr)
	return nil
}

// awaitReady returns once the instance takes requests.
func (s *site) awaitReady(ctx context.Context, url string) error {
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
