package hostplatform

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Config returns the configuration that an operator would publish for a deployment with
// an engine service ("models", with model m), a plain service ("desk"), one account
// ("acme") and five routes, of which score is public. The route talk carries streams of
// callers, which may be taken up. The engine service also serves the further models.
func Config(version int64, host string, keys []string, furtherModels ...string) map[string]any {
	models := []map[string]any{{"name": "m"}}
	for _, name := range furtherModels {
		models = append(models, map[string]any{"name": name})
	}
	route := func(name, kind, service string, timeoutMS, targetLatencyMS int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": timeoutMS,
			"target-latency-ms": targetLatencyMS, "service": service, "max-attempts": 2,
		}
	}
	train := route("train", "rollout", "models", 10000, 400)
	train["max-attempts"], train["retention-s"], train["result-due-ms"] = 3, 600.0, 7500
	talk := route("talk", "non_idempotent", "models", 10000, 400)
	talk["stream"], talk["resumable"] = true, true
	score := route("score", "idempotent", "desk", 1500, 150)
	score["max-attempts"], score["public"] = 4, true
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("confirm", "idempotent", "desk", 4000, 300), route("once", "non_idempotent", "desk", 4000, 300), train, score, talk,
		},
		"services": []map[string]any{{"name": "models", "engine": map[string]any{"models": models}}, {"name": "desk"}},
		"limits":   map[string]any{"max-body-bytes": 1 << 20},
		"tenants":  []map[string]any{{"name": "acme", "api-keys": keys}},
	}
}

// Submission returns the body of a job submission. events holds the number of events
// that each task generates, by task id.
func Submission(minVersion int64, events map[string]int) []byte {
	return ScoredSubmission(minVersion, events, "", "")
}

// ScoredSubmission is Submission with a score request for each task at the host and path, if
// the path is not empty. The id of the request is that of the task with the prefix "score-".
func ScoredSubmission(minVersion int64, events map[string]int, host, path string) []byte {
	return ModelSubmission("m", minVersion, events, host, path)
}

// ModelSubmission is ScoredSubmission for the model.
func ModelSubmission(model string, minVersion int64, events map[string]int, host, path string) []byte {
	type scorer struct {
		ID   string `json:"id"`
		Host string `json:"host"`
		Path string `json:"path"`
		Body []byte `json:"body"`
	}
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int               `json:"tokens"`
		Group   string            `json:"group"`
		Scorer  *scorer           `json:"scorer,omitempty"`
	}
	ids := make([]string, 0, len(events))
	for id := range events {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var items []item
	for _, id := range ids {
		headers := map[string]string{"Model": model, "Token-Usage": fmt.Sprintf("10,%d", events[id])}
		it := item{ID: id, Path: "/train/x/" + id, Headers: headers, Body: []byte("body of " + id), Tokens: events[id], Group: "g"}
		if path != "" {
			it.Scorer = &scorer{"score-" + id, host, path, []byte("score body of " + id)}
		}
		items = append(items, it)
	}
	data, err := json.Marshal(map[string]any{"step": 1, "model": model, "min-version": minVersion, "group-count": 1, "items": items})
	if err != nil {
		panic(fmt.Sprintf("encode a submission: %v", err))
	}
	return data
}

// ResultsPage is the response to a read of a job's results.
type ResultsPage struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID       string  `json:"id"`
		State    string  `json:"state"`
		Text     string  `json:"text"`
		Versions []int64 `json:"versions"`
		Score    string  `json:"score"`
	} `json:"results"`
}
