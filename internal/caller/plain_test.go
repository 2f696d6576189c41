package caller

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/engine"
)

// Guards against a response of which a part is passed on as the whole.
func TestResponseOverTheLimitIsNoResponse(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes int
		want  retry.Outcome
	}{{"of the limit", maxPlainResponse, retry.Ran}, {"over the limit", maxPlainResponse + 1, retry.Unknown}} {
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(bytes.Repeat([]byte("a"), c.bytes)) // in chunks
		}))
		defer target.Close()
		req := &plainRequest{call: &call{id: "r"}, route: &config.Route{Name: "/"}, method: "GET", path: "/", header: http.Header{}}
		if response, err := newPlainClient(engine.Dial).do(t.Context(), req, target.URL); outcomeOf(err) != c.want || err == nil && len(response.body) != c.bytes {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// Guards against a caller that waits in vain: a head without an end was passed on.
func TestSwitchToAnotherProtocolIsNoResponse(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = conn.Write([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n"))
			_ = conn.Close()
		}
	}))
	defer target.Close()
	req := &plainRequest{call: &call{id: "r"}, route: &config.Route{Name: "/"}, method: "GET", path: "/", header: http.Header{}}
	if response, err := newPlainClient(engine.Dial).do(t.Context(), req, target.URL); outcomeOf(err) != retry.Unknown {
		t.Errorf("%+v, %v", response, err)
	}
}

// Guards against a part of a response that looks whole to a caller of HTTP/1.0.
func TestResponseInMemoryStatesItsLength(t *testing.T) {
	body := bytes.Repeat([]byte("a"), 8<<10) // more than the server measures itself
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		(&plainResponse{status: http.StatusOK, body: body}).write(w)
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = conn.Write([]byte("GET / HTTP/1.0\r\n\r\n"))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || res.ContentLength != int64(len(body)) {
		t.Errorf("response %+v, %v", res, err)
	}
}
