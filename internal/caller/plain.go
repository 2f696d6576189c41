package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthfold/amaranthfold/core/admit"
	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/core/usage"
	"github.com/amaranthfold/amaranthfold/internal/dispatch"
	"github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/httpclient"
)

const maxPlainResponse = 32 << 20 // bytes; a longer response is a failure of the target

// unforwardedHeaders are the headers that apply to one connection or may contain a key.
// They are removed from requests and responses.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Cookie",
}

// plainClient sends requests to plain services. Each non-repeatable request gets a new
// connection, because net/http resends a request automatically only if a kept-alive
// connection broke.
type plainClient struct {
	keepAlive   *http.Client
	noKeepAlive *http.Client
}

// newPlainClient returns a client that opens connections with dial.
func newPlainClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *plainClient {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &plainClient{
		keepAlive: &http.Client{CheckRedirect: noRedirect, Transport: httpclient.NewWithin(engine.Responses, &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Minute, DisableCompression: true,
		})},
		noKeepAlive: &http.Client{CheckRedirect: noRedirect, Transport: httpclient.NewWithin(engine.Responses, &http.Transport{
			DialContext: dial, DisableKeepAlives: true, DisableCompression: true,
		})},
	}
}

func (p *plainClient) client(repeatable bool) *http.Client {
	if repeatable {
		return p.keepAlive
	}
	return p.noKeepAlive
}

// plainRequest is a request to a plain service.
type plainRequest struct {
	*call
	service *config.Service
	route   *config.Route
	method  string
	path    string
	query   string
	header  http.Header
	body    []byte
	dedup   *dedupKey // nil: repeats are not detected
}

// servePlain serves a request to a plain service. Open routes need no key and have no
// account limits.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	path := "/" + r.PathValue("path")
	service, rt := s.findRoute(r.PathValue("service"), path)
	var c *call
	ctx := r.Context()
	if rt != nil && rt.Open {
		takeKey(r)
		c = s.newCall(w, r)
		timeout, fail := requestTimeoutOf(r)
		if fail != nil {
			fail.write(w)
			return
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	} else {
		var release func()
		var ok bool
		if c, ctx, release, ok = s.admit(w, r); !ok {
			return
		}
		defer release()
	}
	if fail := checkAccess(c, service, rt, path); fail != nil {
		fail.write(w)
		return
	}
	body, fail := readBody(w, r)
	if fail != nil {
		fail.write(w)
		return
	}
	req := &plainRequest{
		call: c, service: service, route: rt, method: r.Method, path: path,
		query: r.URL.RawQuery, header: forwardHeaders(r.Header, c.id), body: body,
		dedup: newDedupKey(c, r, rt.Repeatable, body),
	}
	if req.dedup != nil {
		s.serveDeduplicated(ctx, w, req)
	} else {
		s.proxyPlain(ctx, w, req)
	}
}

// findRoute returns the plain service and its route with the longest prefix that matches
// the path; nil for what does not exist.
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

// checkAccess returns a failure if there is no such route or the account may not use the
// service. Open routes need no account.
func checkAccess(c *call, service *config.Service, rt *config.Route, path string) *failure {
	switch {
	case service == nil || rt == nil:
		return refuse(http.StatusNotFound, "route_not_found", "no service has a route for "+path)
	case !rt.Open && !c.account.MayUse(service.Name):
		return refuse(http.StatusForbidden, "not_allowed", "client account "+c.account.Name+" may not use service "+service.Name)
	default:
		return nil
	}
}

// forwardHeaders returns the headers of the request to the target.
func forwardHeaders(in http.Header, requestID string) http.Header {
	out := in.Clone()
	for _, name := range strings.Split(in.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range unforwardedHeaders {
		out.Del(name)
	}
	out.Set(requestIDHeader, requestID)
	return out
}

// proxyPlain sends the request to targets and writes the response or the failure.
func (s *Server) proxyPlain(ctx context.Context, w http.ResponseWriter, req *plainRequest) {
	attempts := s.newRequestAttempts(req.call, req.service.Name, req.route.Repeatable)
	response, err := s.plainAttempts(ctx, attempts, req)
	if err != nil {
		attempts.failure(ctx).write(w)
		return
	}
	response.write(w)
}

// plainAttempts sends the request to targets until one responds. It returns the response
// or the last error.
func (s *Server) plainAttempts(ctx context.Context, attempts *requestAttempts, req *plainRequest) (*plainResponse, error) {
	for {
		target, err := attempts.chooseTarget()
		if err != nil {
			if attempts.lastErr == nil {
				attempts.lastErr = err
			}
			return nil, attempts.lastErr
		}
		response, err := s.attemptPlain(ctx, req, target)
		if err == nil {
			attempts.succeeded(target)
			return response, nil
		}
		if !attempts.failed(ctx, target, err, false) {
			return nil, err
		}
	}
}

// attemptPlain sends the request to one target, after the target's queue has admitted it
// and, if repeats are detected, after it was claimed. A response with any status is a
// success.
func (s *Server) attemptPlain(ctx context.Context, req *plainRequest, target *route.Target) (*plainResponse, error) {
	flow, weight := req.flow()
	requestedAt := s.Clock.Now()
	grant, err := s.Dispatch.Admit(ctx, target, dispatch.Request{Flow: flow, Weight: weight, Cost: 1, Class: admit.ClassCaller})
	if err != nil {
		return nil, err
	}
	defer grant.Finish(1)
	if req.dedup != nil {
		if err := s.ensureClaimed(ctx, req.dedup); err != nil {
			return nil, err
		}
	}
	s.recordSent(req.call, target, requestedAt)
	response, err := s.plainClient.do(ctx, req, target.URL)
	if err != nil {
		return nil, err
	}
	s.meterUsage(req.call, req.service.Name, usage.Count{Requests: 1})
	return response, nil
}

// plainResponse is a complete response of a target.
type plainResponse struct {
	status int
	header http.Header
	body   []byte
	hold   *httpclient.Hold // of body; nil: none
}

// write writes the response to the caller and gives back its memory.
func (r *plainResponse) write(w http.ResponseWriter) {
	defer r.hold.Close()
	for name, values := range r.header {
		w.Header()[name] = values
	}
	for _, name := range unforwardedHeaders {
		w.Header().Del(name)
	}
	writeBody(w, r.status, r.body)
}

// writeBody writes a body that is in memory. It states its length, so that a response in HTTP/1.0, too,
// looks complete only if it is.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	if len(body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller may have disconnected
}

// do sends the request once and reads the complete response. Its error is an
// *engine.AttemptError.
func (p *plainClient) do(ctx context.Context, req *plainRequest, base string) (*plainResponse, error) {
	url := base + req.path
	if req.query != "" {
		url += "?" + req.query
	}
	// The wrapper hides the reader's type and thereby leaves GetBody unset, so that
	// net/http does not resend a request with a body.
	httpReq, err := http.NewRequestWithContext(ctx, req.method, url, struct{ io.Reader }{bytes.NewReader(req.body)})
	if err != nil {
		return nil, &engine.AttemptError{Target: base, Outcome: retry.NotRun, Err: err}
	}
	httpReq.ContentLength = int64(len(req.body))
	if len(req.body) == 0 {
		httpReq.Body = http.NoBody
	}
	httpReq.Header = req.header.Clone()
	engine.SetTimeoutHeader(httpReq)
	res, outcome, err := engine.Send(p.client(req.route.Repeatable), httpReq)
	if err != nil {
		return nil, &engine.AttemptError{Target: base, Outcome: outcome, Err: err}
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusSwitchingProtocols { // its body is the connection, without an end
		return nil, &engine.AttemptError{Target: base, Outcome: retry.Unknown, Err: errors.New("the target switches to another protocol, which nobody asked for")}
	}
	body, hold, err := httpclient.ReadBody(res.Body, maxPlainResponse)
	if err != nil {
		return nil, &engine.AttemptError{Target: base, Outcome: retry.Unknown, Err: err}
	}
	return &plainResponse{status: res.StatusCode, header: res.Header, body: body, hold: hold}, nil
}
