package caller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/standin/rawtarget"
)

// Guards against a part of a body that passes for the whole: a socket reports a reset once, and the
// reader sees a plain end if the writer of the request has met it.
func TestResetDuringUploadIsNoResponse(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + `{"choices":[]}`
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { rawtarget.ResetUpload(w, r, answer) }))
	defer target.Close()
	upload := strings.Repeat("u", rawtarget.UploadBytes)
	plain := newPlainClient(rawtarget.DialUpload)
	engines := engine.NewClientThrough(rawtarget.DialUpload)
	for name, send := range map[string]sender{
		"plain call":                 plainSender(plain, http.MethodPost, http.Header{}, upload, false),
		"plain call that may repeat": plainSender(plain, http.MethodPost, http.Header{}, upload, true),
		"completion":                 completionSender(engines, upload),
	} {
		if outcome := send(t.Context(), target.URL); outcome != retry.Unknown {
			t.Errorf("%s: outcome %s", name, outcome)
		}
	}
}
