package caller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// event returns the payload of an event with the text.
func event(text string) []byte {
	quoted, _ := json.Marshal(text) // strings always encode
	return []byte(`{"id":"1","created":5,"model":"m","choices":[{"index":0,"text":` + string(quoted) + `,"finish_reason":null}]}`)
}

func TestDeliveredStreamText(t *testing.T) {
	textEvents := func(texts ...string) (out [][]byte) {
		for _, text := range texts {
			out = append(out, event(text))
		}
		return out
	}
	finish := []byte(`{"id":"1","choices":[{"index":0,"text":"","finish_reason":"stop"}]}`)
	for _, c := range []struct {
		name                   string
		events                 [][]byte
		text                   string
		tokens                 int
		finished, notResumable bool
	}{
		{"plain", textEvents("a ", "b ", "c"), "a b c", 3, false, false},
		{"quotes and backslashes", textEvents("a", `"`, `\`, `\"`, "\n"), `a"\` + `\"` + "\n", 5, false, false},
		{"text that equals another field", textEvents("m", "m", "1", "x"), "mm1x", 4, false, false},
		{"empty text is no token", textEvents("a", "", "b"), "ab", 2, false, false},
		{"surrogate pair split over two events", [][]byte{
			[]byte(`{"id":"1","choices":[{"text":"\ud83d"}]}`), []byte(`{"id":"1","choices":[{"text":"\ude00"}]}`),
		}, "😀", 2, false, false},
		{"finish", append(textEvents("a"), finish), "a", 1, true, false},
		{"chat", [][]byte{
			[]byte(`{"id":"1","choices":[{"index":0,"delta":{"role":"assistant","content":""}}]}`),
			[]byte(`{"id":"1","choices":[{"index":0,"delta":{"content":"hi"}}]}`),
		}, "hi", 1, false, false},
		{"tool call", [][]byte{[]byte(`{"id":"1","choices":[{"delta":{"tool_calls":[{}]}}]}`)}, "", 0, false, true},
		{"second choice", [][]byte{[]byte(`{"id":"1","choices":[{"index":1,"text":"a"}]}`)}, "a", 1, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			delivered := &deliveredStream{}
			for _, ev := range c.events {
				delivered.add(ev)
			}
			text, err := delivered.text()
			if err != nil || text != c.text || delivered.tokens != c.tokens || delivered.finished != c.finished || delivered.notResumable != c.notResumable {
				t.Errorf("got %q, %d tokens, finished %t, not resumable %t, %v", text, delivered.tokens, delivered.finished, delivered.notResumable, err)
			}
		})
	}
}

// An event that is no part of a completion is not written, so that another engine can go on after
// the events before it.
func TestForeignEventIsNotDelivered(t *testing.T) {
	for _, payload := range []string{`a`, `"a"`, `[]`, `{}`, `{"message":"a"}`, `{ "error": "a" }`, `{"choices":null}`, `{"choices":7}`} {
		delivered := &deliveredStream{}
		if err := delivered.add(event("a ")); err != nil {
			t.Fatal(err)
		}
		if delivered.add([]byte(payload)) == nil || delivered.notResumable || delivered.tokens != 1 || delivered.finished {
			t.Errorf("%s: recorded as %+v", payload, delivered)
		}
	}
}

// FuzzHistory checks that for any texts the delivered stream holds their concatenation,
// as if each event had been parsed.
func FuzzHistory(f *testing.F) {
	f.Add("a", "b", "c")
	f.Add(`"`, `\`, `","finish_reason":"stop"`)
	f.Add("1", "m", "é\u2028")
	f.Fuzz(func(t *testing.T, first, second, third string) {
		delivered := &deliveredStream{}
		want, tokens := "", 0
		for _, text := range []string{first, second, third, second, first} {
			text = strings.ToValidUTF8(text, "")
			delivered.add(event(text))
			if want += text; text != "" {
				tokens++
			}
		}
		if got, err := delivered.text(); err != nil || got != want || delivered.tokens != tokens || delivered.notResumable {
			t.Fatalf("got %q, %d tokens, %v; want %q, %d", got, delivered.tokens, err, want, tokens)
		}
	})
}

func TestResumeKeepsUnknownFields(t *testing.T) {
	delivered := &deliveredStream{}
	delivered.add(event("a "))
	delivered.add(event("b "))
	body, err := delivered.prepareAttempt([]byte(`{"model":"m","top_k":7,"stream":true}`), "")
	if err != nil {
		t.Fatal(err)
	}
	want := `{"amaranth_continue":{"text":"a b ","tokens":2},"model":"m","stream":true,"top_k":7}`
	if string(body) != want {
		t.Errorf("got %s, want %s", body, want)
	}
	rewritten, err := delivered.rewriteEvent([]byte(`{"id":"other","created":9,"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":4,"total_tokens":7}}`))
	if err != nil {
		t.Fatal(err)
	}
	want = `{"choices":[],"created":5,"id":"1","usage":` + fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, 3, 6, 9) + `}`
	if string(rewritten) != want {
		t.Errorf("got %s, want %s", rewritten, want)
	}
}

// Guards against a stream that goes on from the KV cache of another stream, or of other weights: an
// attempt has sent no event before it moves, or its engine has loaded weights in between.
func TestKVCacheIsOfTheEventsOfOneAttemptAndVersion(t *testing.T) {
	versions := func(versions ...int64) *deliveredStream {
		d := &deliveredStream{}
		for i, v := range versions {
			_ = d.add(fmt.Appendf(nil, `{"id":"1","weight_version":%d,"choices":[{"index":0,"text":"%d"}]}`, v, i))
		}
		return d
	}
	next, loaded := versions(1), versions(1)
	loaded.kvSource = &kvLocation{version: 1}
	for d, kv := range map[*deliveredStream]string{next: "", loaded: "k"} {
		if _, err := d.prepareAttempt([]byte("{}"), kv); err != nil {
			t.Fatal(err)
		}
	}
	resumed, err := loaded.rewriteEvent([]byte(`{"id":"2","weight_version":2,"choices":[{"index":0,"text":"x"}]}`))
	if err != nil || loaded.add(resumed) != nil {
		t.Fatalf("event of the next attempt: %v", err)
	}
	for _, c := range []struct {
		name      string
		delivered *deliveredStream
		stream    string
		version   int64
	}{
		{"one version", versions(2, 2, 2), "1", 2},
		{"weights loaded in between", versions(1, 1, 2), "", 0},
		{"unknown weights", versions(0, 0), "", 0},
		{"no event of the attempt", next, "", 0},
		{"other weights than those of the imported cache", loaded, "", 0},
	} {
		if stream, version := c.delivered.kvOrigin(); stream != c.stream || version != c.version {
			t.Errorf("%s: KV cache of stream %q, version %d; expected %q, %d", c.name, stream, version, c.stream, c.version)
		}
	}
}
