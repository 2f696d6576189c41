// Package scorer is a stand-in for a trainer's scoring service: an HTTP handler
// without state. The reward of a sample depends on its text alone, so that tests
// can compute the expected value with Score.
package scorer

import (
	"hash/fnv"
	"net/http"

	"github.com/amaranthfold/amaranthfold/internal/standin"
)

// Request is the body of a scoring request for one sample.
type Request struct {
	Sample string `json:"sample"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// Reply is the response: the reward of the sample, at least 0 and below 1.
type Reply struct {
	Reward float64 `json:"reward"`
}

// Score returns the reward of a text.
func Score(text string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // never fails
	return float64(h.Sum32()%1000) / 1000
}

// Handler serves the interface of the scoring service.
func Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /score", func(w http.ResponseWriter, r *http.Request) {
		var req Request
		if standin.ReadJSON(w, r, &req) {
			standin.WriteJSON(w, Reply{Reward: Score(req.Text)})
		}
	})
	return mux
}
