package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/http/httptest"
)

// storeView is the store as one instance sees it: the targets have the addresses of the proxies
// between it and them, which are of the same length.
type storeView struct {
	store http.Handler
	swap  map[string]string // by the address of a target
}

func (v *storeView) replace(data []byte) []byte {
	for from, to := range v.swap {
		data = bytes.ReplaceAll(data, []byte(from), []byte(to))
	}
	return data
}

// ServeHTTP implements http.Handler.
func (v *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("topic") != "keyed.servers" {
		v.store.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	v.store.ServeHTTP(answer, r)
	body := answer.Body.Bytes()
	if r.URL.Path == "/log-newest" {
		var doc struct {
			Items []struct {
				Key    string `json:"key"`
				Value  string `json:"value"`
				Offset int64  `json:"offset"`
			} `json:"items"`
			More bool  `json:"has-more"`
			End  int64 `json:"end"`
		}
		if json.Unmarshal(body, &doc) == nil {
			for i := range doc.Items {
				value, _ := base64.StdEncoding.DecodeString(doc.Items[i].Value) // the store has encoded it
				doc.Items[i].Value = base64.StdEncoding.EncodeToString(v.replace(value))
			}
			body, _ = json.Marshal(doc) // it was decoded
		}
	} else {
		body = v.replace(body)
	}
	w.Header().Set("Content-Type", answer.Header().Get("Content-Type"))
	w.WriteHeader(answer.Code)
	_, _ = w.Write(body) // the instance reads again
}
