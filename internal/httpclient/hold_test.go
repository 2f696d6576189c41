package httpclient_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/amaranthfold/amaranthfold/internal/httpclient"
)

// Responses without end take turns in a budget that two of them fill. Some stop and keep what they hold.
func TestResponsesWithoutEndKeepWithinTheBudget(t *testing.T) {
	const capacity, sent, requests = 1 << 20, 200 << 10, 16
	for name, head := range map[string]string{"in a head": "HTTP/1.1 200 OK\r\nX: ", "in a body": "HTTP/1.1 200 OK\r\n\r\n"} {
		budget := httpclient.NewBudget(capacity)
		client := &http.Client{Transport: httpclient.NewWithin(budget, &http.Transport{MaxResponseHeaderBytes: 2 * sent})}
		stop := make(chan struct{})
		server := rawServer(t, func(conn *net.TCPConn, r *http.Request, _ io.Reader) {
			if r.URL.Path == "/sound" {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nsound")
				return
			}
			_, _ = io.WriteString(conn, head+strings.Repeat("a", sent))
			<-stop
		})
		get := func(path string) (string, error) {
			res, err := client.Get(server + path)
			if err != nil {
				return "", err
			}
			defer res.Body.Close()
			data, hold, err := httpclient.ReadBody(res.Body, 2*sent)
			hold.Close()
			return string(data), err
		}
		var group sync.WaitGroup
		spent := make(chan struct{}, requests)
		for range requests {
			group.Go(func() {
				if _, err := get("/"); errors.Is(err, httpclient.ErrBudgetSpent) {
					spent <- struct{}{}
				}
			})
		}
		for range requests / 2 {
			<-spent
		}
		if used := budget.Used(); used > capacity {
			t.Errorf("%s: %d bytes are held", name, used)
		}
		if body, err := get("/sound"); body != "sound" || err != nil {
			t.Errorf("%s: body %q, error %v", name, body, err)
		}
		close(stop)
		group.Wait()
		client.CloseIdleConnections()
		if used := budget.Used(); used != 0 {
			t.Errorf("%s: %d bytes are held after the responses", name, used)
		}
	}
}

// A reader that has been told to end may be busy elsewhere, such as with a write to a slow caller.
func TestResponseThatEndsIsNotWaitedForInItsReader(t *testing.T) {
	const capacity = 1 << 20
	budget := httpclient.NewBudget(capacity)
	client := &http.Client{Transport: httpclient.NewWithin(budget, &http.Transport{})}
	stop := make(chan struct{})
	defer close(stop)
	server := rawServer(t, func(conn *net.TCPConn, _ *http.Request, _ io.Reader) {
		_, _ = io.WriteString(conn, unframed)
		<-stop
	})
	open := func() (*http.Response, *httpclient.Hold) {
		res, err := client.Get(server)
		if err != nil {
			t.Fatal(err)
		}
		return res, httpclient.OpenHold(res.Body)
	}
	large, largeHold := open()
	defer large.Body.Close()
	small, smallHold := open()
	defer small.Body.Close()
	if err := largeHold.Grow(capacity * 3 / 4); err != nil {
		t.Fatal(err)
	}
	if err := smallHold.Grow(capacity / 2); err != nil {
		t.Errorf("the smaller response ends: %v", err)
	}
	if err := largeHold.Grow(1); !errors.Is(err, httpclient.ErrBudgetSpent) {
		t.Errorf("the response that was told to end: %v", err)
	}
	largeHold.Close()
	smallHold.Close()
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes are held after the responses", used)
	}
}
