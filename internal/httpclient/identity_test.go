package httpclient_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/amaranthfold/amaranthfold/internal/httpclient"
)

const idField = "X-Id"

// copyingServer answers the nth request of a connection with "ID n". Where its path is /copied, a second copy of
// the response precedes the next one. It returns its URL and a function that returns the number of
// connections so far.
func copyingServer(t *testing.T) (url string, connections func() int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	accepted := make(chan struct{}, 1000)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go serveCopies(conn)
		}
	}()
	return "http://" + listener.Addr().String(), func() int { return len(accepted) }
}

func serveCopies(conn net.Conn) {
	defer conn.Close()
	reader, late := bufio.NewReader(conn), ""
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id, field := r.Header.Get(idField), ""
		if id != "" {
			field = idField + ": " + id + "\r\n"
		}
		body := fmt.Sprintf("%s %d", id, n)
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", field, len(body), body)
		_, _ = io.WriteString(conn, late+response)
		if late = ""; r.URL.Path == "/copied" {
			late = response
		}
	}
}

func identifiedClient() *http.Client {
	return &http.Client{Transport: httpclient.NewIdentified(nil, idField, &http.Transport{MaxIdleConnsPerHost: 8})}
}

// send returns the body of the response to a request with the id, empty: without one.
func send(client *http.Client, url, id string) (string, error) {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	if id != "" {
		r.Header.Set(idField, id)
	}
	res, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

// Guards against the late copy of a response that is taken for the response to the request that was sent again.
func TestRequestIsNotSentAgainOnAConnectionThatHasCarriedIt(t *testing.T) {
	url, connections := copyingServer(t)
	client := identifiedClient()
	for n := range 7 {
		if body, err := send(client, url+"/copied", "a"); body != "a 1" || err != nil {
			t.Errorf("send %d: %q, %v", n+1, body, err)
		}
	}
	if got := connections(); got != 7 {
		t.Errorf("%d connections, want one for each send", got)
	}
}

// Guards against a new connection for each request that is sent again.
func TestRequestsThatAreSentAgainShareConnections(t *testing.T) {
	for _, c := range []struct{ sends, requests, connections int }{{1, 20, 1}, {2, 20, 2}, {4, 20, 4}, {5, 20, 4 + 20}} {
		url, connections := copyingServer(t)
		client := identifiedClient()
		for id := range c.requests {
			for range c.sends {
				if _, err := send(client, url, fmt.Sprint(id)); err != nil {
					t.Error(err)
				}
			}
		}
		if got := connections(); got != c.connections {
			t.Errorf("%d requests sent %d times: %d connections, want %d", c.requests, c.sends, got, c.connections)
		}
	}
}

func TestClosedConnectionsAreForgotten(t *testing.T) {
	url, connections := copyingServer(t)
	client := identifiedClient()
	for range 20 {
		if _, err := send(client, url, "a"); err != nil {
			t.Error(err)
		}
		client.CloseIdleConnections()
	}
	if _, err := send(client, url, "b"); err != nil {
		t.Error(err)
	}
	if body, err := send(client, url, "a"); body != "a 2" || err != nil {
		t.Errorf("%q, %v: not on the connection of b", body, err)
	}
	if got := connections(); got != 21 {
		t.Errorf("%d connections", got)
	}
}

// Guards against the late copy of a report that is taken for a later one.
func TestRequestWithoutAnIDIsNotSentAfterAnotherToItsPath(t *testing.T) {
	url, connections := copyingServer(t)
	client := identifiedClient()
	for _, path := range []string{"/copied", "/copied", "/copied"} {
		if body, err := send(client, url+path, ""); body != " 1" || err != nil {
			t.Errorf("%q, %v", body, err)
		}
	}
	if got := connections(); got != 3 {
		t.Errorf("%d connections, want one for each request", got)
	}
	url, connections = copyingServer(t)
	for n := range 10 {
		for _, r := range []struct{ path, id string }{{"/", ""}, {"/other", ""}, {"/", fmt.Sprint(n)}} {
			if _, err := send(client, url+r.path, r.id); err != nil {
				t.Error(err)
			}
		}
	}
	if got := connections(); got != 1 {
		t.Errorf("%d connections for requests without an id between others", got)
	}
}
