package caller

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/retry"
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
		if response, err := newPlainClient().do(t.Context(), req, target.URL); outcomeOf(err) != c.want || err == nil && len(response.body) != c.bytes {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
