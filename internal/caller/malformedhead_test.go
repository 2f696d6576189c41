package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/engine"
)

// Guards against a head that net/http reads in another way than the target means it.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	answer := ""
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = io.WriteString(conn, answer)
			_ = conn.Close()
		}
	}))
	defer target.Close()
	senders := map[string]sender{
		"plain call":                 plainSender(newPlainClient(engine.Dial), http.MethodPost, http.Header{}, "b", false),
		"plain call that may repeat": plainSender(newPlainClient(engine.Dial), http.MethodPost, http.Header{}, "b", true),
		"completion":                 engineSender(engine.NewClient()),
	}
	for _, answer = range []string{
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\n" + `{"choices":[]}`,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\ne\r\n" + `{"choices":[]}` + "\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 14\r\n\r\n" + `{"choices":[]}`,
		"HTTP/1.1 200 OK\r\nX: a\r\n Content-Length: 14\r\n\r\n" + `{"choices":[]}`,
		"HTTP/1.1 200 OK\r\nX\x01: 1\r\nContent-Length: 14\r\n\r\n" + `{"choices":[]}`,
		"HTTP/1.1 000 OK\r\nContent-Length: 14\r\n\r\n" + `{"choices":[]}`,
		"HTTP/1.1 600 OK\r\nContent-Length: 14\r\n\r\n" + `{"choices":[]}`,
		"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n",
	} {
		for name, send := range senders {
			if outcome := send(t.Context(), target.URL); outcome != retry.Unknown {
				t.Errorf("%s, %q: outcome %s", name, answer, outcome)
			}
		}
	}
}
