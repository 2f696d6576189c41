package caller

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// FuzzTakeKey adds a key to a request in two of the headers and parameters that can
// contain one, and a copy of it in another header. It checks that takeKey leaves the key
// nowhere in the request.
func FuzzTakeKey(f *testing.F) {
	const key = "amk-0123456789abcdef"
	positions := []func(r *http.Request){
		func(r *http.Request) { r.Header.Add("Authorization", "Bearer "+key) },
		func(r *http.Request) { r.Header.Add("Authorization", "bearer\t"+key) },
		func(r *http.Request) { r.Header.Add("Authorization", "Basic "+key) },
		func(r *http.Request) { r.Header.Add("Authorization", key) },
		func(r *http.Request) { r.Header.Add("X-Api-Key", " "+key) },
		func(r *http.Request) { r.Header.Add("Api-Key", key) },
		func(r *http.Request) { r.URL.RawQuery += "&api_key=" + key },
		func(r *http.Request) { r.URL.RawQuery += ";KEY=" + url.QueryEscape(key) },
		func(r *http.Request) { r.URL.RawQuery += "&access_token=%61mk-0123456789abcdef" },
	}
	for i := range positions {
		f.Add(uint8(i), uint8(i+1), "shop=1", "Bearer x", "X-Other")
	}
	f.Add(uint8(0), uint8(6), "a=%zz&&=;", "", "Referer")
	f.Fuzz(func(t *testing.T, first, second uint8, query, other, name string) {
		if strings.Contains(query+other+name, key) {
			return
		}
		g := NewWithT(t)
		r := &http.Request{Header: http.Header{}, URL: &url.URL{Path: "/x", RawQuery: query}}
		if other != "" {
			r.Header.Add("X-Api-Key", other)
		}
		positions[int(first)%len(positions)](r)
		positions[int(second)%len(positions)](r)
		r.Header.Set("X-"+name, "copy of "+key)
		takeKey(r)
		remaining := fmt.Sprintf("%q %s %s", r.Header, r.URL.String(), r.RequestURI)
		g.Expect(remaining).NotTo(ContainSubstring(key))
		unescaped, err := url.QueryUnescape(r.URL.RawQuery)
		g.Expect(err).NotTo(HaveOccurred(), "the remaining query can be parsed")
		g.Expect(unescaped).NotTo(ContainSubstring(key))
	})
}
