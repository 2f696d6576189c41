package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/platform"
)

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// Guards against an instance that is not ready for seconds because a read waits on a direct path that
// has fallen silent, while a peer would answer it.
func TestReadOnASilentPathIsRepeatedOnceAPeerIsFound(t *testing.T) {
	node := New(Config{Settings: platform.Settings{Store: platform.StoreSettings{Partitions: 1}}})
	l := newLogTransport(node, "10.0.0.1:1")
	l.directDown = true
	l.direct = roundTripper(func(req *http.Request) (*http.Response, error) {
		l.usePeer("10.0.0.2:1") // while the read waits
		<-req.Context().Done()
		return nil, req.Context().Err()
	})
	var hosts []string
	l.peerTransport = roundTripper(func(req *http.Request) (*http.Response, error) {
		hosts = append(hosts, req.URL.Host)
		return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody, Header: http.Header{}}, nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	read, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://10.0.0.1:1/log-read", nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.RoundTrip(read); err != nil || len(hosts) != 1 || hosts[0] != "10.0.0.2:1" {
		t.Fatal(hosts, err)
	}
	if len(l.directReads) != 0 {
		t.Fatal("reads that have ended are kept:", l.directReads)
	}
}
