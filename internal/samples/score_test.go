package samples

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/sample"
)

// Guards against a reward of zero that no scorer has given.
func TestResponseWithoutARewardIsNoScore(t *testing.T) {
	for _, c := range []struct {
		body  string
		score bool
	}{
		{`{"reward":0}`, true},
		{`{"reward":0.5}`, true},
		{`{"error":"overloaded"}`, false},
		{`{}`, false},
		{`null`, false},
		{`{"reward":null}`, false},
		{`{"reward":0.5`, false},
		{"", false},
		{"an error", false},
	} {
		scorer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, c.body) }))
		defer scorer.Close()
		if reward, err := newScorerClient().score(t.Context(), scorer.URL, &sample.Sample{ID: "s"}); (err == nil) != c.score {
			t.Errorf("%s: reward %g, %v", c.body, reward, err)
		}
	}
}
