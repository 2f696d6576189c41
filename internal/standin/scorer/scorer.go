// Package scorer is a stand-in for a trainer's scoring service.
package scorer

import (
	"hash/fnv"
	"net/http"

	"github.com/amaranthfold/amaranthfold/internal/standin"
)

// Request asks for the score of one sample.
type Request struct {
	Sample string `json:"sample"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// Reply is the score, from 0 to 1.
type Reply struct {
	Reward float64 `json:"reward"`
}

// Score is the reward of a text: a pure function, so that checks can repeat it.
func Score(text string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // never fails
	return float64(h.Sum32()%1000) / 1000
}

// Handler serves the scoring contract.
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
