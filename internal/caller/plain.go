package caller

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/amaranthfold/amaranthfold/core/admit"
	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/core/usage"
	"github.com/amaranthfold/amaranthfold/internal/dispatch"
	"github.com/amaranthfold/amaranthfold/internal/engine"
)

const maxPlainResponse = 32 << 20 // bytes

// hopByHopHeaders concern one connection and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Cookie",
}

// plainClient calls plain services. Calls that may not be repeated get a
// connection of their own: net/http resends a request by itself only on a
// kept-alive connection that died.
type plainClient struct {
	repeatable  *http.Client
	noKeepAlive *http.Client
}

func newPlainClient() *plainClient {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &plainClient{
		repeatable: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Minute, DisableCompression: true,
		}},
		noKeepAlive: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		}},
	}
}

func (p *plainClient) client(repeatable bool) *http.Client {
	if repeatable {
		return p.repeatable
	}
	return p.noKeepAlive
}

// plainRequest is a call to a plain service.
type plainRequest struct {
	*call
	service *config.Service
	route   *config.Route
	method  string
	path    string
	query   string
	header  http.Header
	body    []byte
	once    *dedupKey // nil: repeats are not looked for
}

func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	path := "/" + r.PathValue("path")
	service, rt := s.findRoute(r.PathValue("service"), path)
	var c *call
	ctx := r.Context()
	if rt != nil && rt.Open {
		takeKey(r)
		c = s.newCall(w, r)
		timeout, fail := timeoutOf(r)
		if fail != nil {
			fail.write(w)
			return
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	} else {
		var end func()
		var ok bool
		if c, ctx, end, ok = s.admit(w, r); !ok {
			return
		}
		defer end()
	}
	if fail := allowed(c, service, rt, path); fail != nil {
		fail.write(w)
		return
	}
	body, fail := readBody(w, r)
	if fail != nil {
		fail.write(w)
		return
	}
	job := &plainRequest{
		call: c, service: service, route: rt, method: r.Method, path: path,
		query: r.URL.RawQuery, header: forwardHeaders(r.Header, c.id), body: body,
		once: newDedupKey(c, r, rt.Repeatable, body),
	}
	if job.once != nil {
		s.serveDeduplicated(ctx, w, job)
	} else {
		s.proxyPlain(ctx, w, job)
	}
}

// findRoute returns the service and the route with the longest matching prefix.
func (s *Server) findRoute(name, path string) (*config.Service, *config.Route) {
	cfg := s.Loop.Snapshot().Config
	if cfg == nil {
		return nil, nil
	}
	service := cfg.Service(name)
	if service == nil || service.Kind != config.KindPlain {
		return nil, nil
	}
	var best *config.Route
	for i := range service.Routes {
		rt := &service.Routes[i]
		matches := path == rt.Name || strings.HasPrefix(path, strings.TrimSuffix(rt.Name, "/")+"/")
		if matches && (best == nil || len(rt.Name) > len(best.Name)) {
			best = rt
		}
	}
	return service, best
}

func allowed(c *call, service *config.Service, rt *config.Route, path string) *failure {
	switch {
	case service == nil || rt == nil:
		return refuse(http.StatusNotFound, "route_not_found", "no service has a route for "+path)
	case !rt.Open && !c.account.MayUse(service.Name):
		return refuse(http.StatusForbidden, "not_allowed", "client account "+c.account.Name+" may not use service "+service.Name)
	default:
		return nil
	}
}

func forwardHeaders(in http.Header, requestID string) http.Header {
	out := in.Clone()
	for _, name := range strings.Split(in.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	out.Set(requestIDHeader, requestID)
	return out
}

func (s *Server) proxyPlain(ctx context.Context, w http.ResponseWriter, job *plainRequest) {
	e := s.newRequestAttempts(job.call, job.service.Name, job.route.Repeatable)
	answer, err := s.plainAttempts(ctx, e, job)
	if err != nil {
		e.failure(ctx).write(w)
		return
	}
	answer.write(w)
}

// plainAttempts returns the first target's answer, or the last error.
func (s *Server) plainAttempts(ctx context.Context, e *requestAttempts, job *plainRequest) (*plainResponse, error) {
	for {
		target, err := e.chooseTarget()
		if err != nil {
			if e.lastErr == nil {
				e.lastErr = err
			}
			return nil, e.lastErr
		}
		answer, err := s.attemptPlain(ctx, job, target)
		if err == nil {
			e.succeeded(target)
			return answer, nil
		}
		if !e.failed(ctx, target, err, false) {
			return nil, err
		}
	}
}

// attemptPlain sends the request to one target. Any status is an answer.
func (s *Server) attemptPlain(ctx context.Context, job *plainRequest, target *route.Target) (*plainResponse, error) {
	flow, weight := job.flow()
	asked := s.Clock.Now()
	grant, err := s.Dispatch.Admit(ctx, target, dispatch.Request{Flow: flow, Weight: weight, Cost: 1, Class: admit.ClassCaller})
	if err != nil {
		return nil, err
	}
	defer grant.Finish(1)
	if job.once != nil {
		if err := s.ensureClaimed(ctx, job.once); err != nil {
			return nil, err
		}
	}
	s.recordSent(job.call, target, asked)
	answer, err := s.plain.do(ctx, job, target.URL)
	if err != nil {
		return nil, err
	}
	s.meterUsage(job.call, job.service.Name, usage.Count{Requests: 1})
	return answer, nil
}

// plainResponse is a target's whole answer.
type plainResponse struct {
	status int
	header http.Header
	body   []byte
}

// write passes the answer on.
func (a *plainResponse) write(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	for _, name := range hopByHopHeaders {
		w.Header().Del(name)
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // the caller may be gone
}

// do sends the request once and reads the whole answer.
func (p *plainClient) do(ctx context.Context, job *plainRequest, base string) (*plainResponse, error) {
	url := base + job.path
	if job.query != "" {
		url += "?" + job.query
	}
	req, err := http.NewRequestWithContext(ctx, job.method, url, struct{ io.Reader }{bytes.NewReader(job.body)})
	if err != nil {
		return nil, &engine.AttemptError{Target: base, Outcome: retry.NotRun, Err: err}
	}
	req.ContentLength = int64(len(job.body))
	if len(job.body) == 0 {
		req.Body = http.NoBody
	}
	req.Header = job.header.Clone()
	engine.SetTimeoutHeader(req)
	res, outcome, err := engine.Send(p.client(job.route.Repeatable), req)
	if err != nil {
		return nil, &engine.AttemptError{Target: base, Outcome: outcome, Err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxPlainResponse))
	if err != nil {
		return nil, &engine.AttemptError{Target: base, Outcome: retry.Unknown, Err: err}
	}
	return &plainResponse{status: res.StatusCode, header: res.Header, body: body}, nil
}
