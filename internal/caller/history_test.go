package caller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

func event(text string) []byte {
	quoted, _ := json.Marshal(text) // strings always encode
	return []byte(`{"id":"1","created":5,"model":"m","choices":[{"index":0,"text":` + string(quoted) + `,"finish_reason":null}]}`)
}

func TestHistoryKeepsTheText(t *testing.T) {
	same := func(texts ...string) (out [][]byte) {
		for _, text := range texts {
			out = append(out, event(text))
		}
		return out
	}
	finish := []byte(`{"id":"1","choices":[{"index":0,"text":"","finish_reason":"stop"}]}`)
	for _, c := range []struct {
		name             string
		events           [][]byte
		text             string
		tokens           int
		finished, opaque bool
	}{
		{"plain", same("a ", "b ", "c"), "a b c", 3, false, false},
		{"quotes and backslashes", same("a", `"`, `\`, `\"`, "\n"), `a"\` + `\"` + "\n", 5, false, false},
		{"a text like another field", same("m", "m", "1", "x"), "mm1x", 4, false, false},
		{"an empty text is no token", same("a", "", "b"), "ab", 2, false, false},
		{"half a character per event", [][]byte{
			[]byte(`{"id":"1","choices":[{"text":"\ud83d"}]}`), []byte(`{"id":"1","choices":[{"text":"\ude00"}]}`),
		}, "😀", 2, false, false},
		{"finish", append(same("a"), finish), "a", 1, true, false},
		{"chat", [][]byte{
			[]byte(`{"id":"1","choices":[{"index":0,"delta":{"role":"assistant","content":""}}]}`),
			[]byte(`{"id":"1","choices":[{"index":0,"delta":{"content":"hi"}}]}`),
		}, "hi", 1, false, false},
		{"tool call", [][]byte{[]byte(`{"id":"1","choices":[{"delta":{"tool_calls":[{}]}}]}`)}, "", 0, false, true},
		{"second choice", [][]byte{[]byte(`{"id":"1","choices":[{"index":1,"text":"a"}]}`)}, "a", 1, false, true},
		{"not JSON", [][]byte{[]byte(`a`)}, "", 0, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &deliveredStream{}
			for _, ev := range c.events {
				h.add(ev)
			}
			text, err := h.text()
			if err != nil || text != c.text || h.tokens != c.tokens || h.finished != c.finished || h.notResumable != c.opaque {
				t.Errorf("got %q, %d tokens, finished %t, opaque %t, %v", text, h.tokens, h.finished, h.notResumable, err)
			}
		})
	}
}

// Whatever the texts, the history holds their concatenation, as if each event
// had been parsed.
func FuzzHistory(f *testing.F) {
	f.Add("a", "b", "c")
	f.Add(`"`, `\`, `","finish_reason":"stop"`)
	f.Add("1", "m", "é\u2028")
	f.Fuzz(func(t *testing.T, first, second, third string) {
		h := &deliveredStream{}
		want, tokens := "", 0
		for _, text := range []string{first, second, third, second, first} {
			text = strings.ToValidUTF8(text, "")
			h.add(event(text))
			if want += text; text != "" {
				tokens++
			}
		}
		if got, err := h.text(); err != nil || got != want || h.tokens != tokens || h.notResumable {
			t.Fatalf("got %q, %d tokens, %v; want %q, %d", got, h.tokens, err, want, tokens)
		}
	})
}

func TestResumeKeepsUnknownFields(t *testing.T) {
	h := &deliveredStream{}
	h.add(event("a "))
	h.add(event("b "))
	body, err := h.resume([]byte(`{"model":"m","top_k":7,"stream":true}`), "")
	if err != nil {
		t.Fatal(err)
	}
	want := `{"amaranth_continue":{"text":"a b ","tokens":2},"model":"m","stream":true,"top_k":7}`
	if string(body) != want {
		t.Errorf("got %s, want %s", body, want)
	}
	adopted, err := h.rewriteEvent([]byte(`{"id":"other","created":9,"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":4,"total_tokens":7}}`))
	if err != nil {
		t.Fatal(err)
	}
	want = `{"choices":[],"created":5,"id":"1","usage":` + fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, 3, 6, 9) + `}`
	if string(adopted) != want {
		t.Errorf("got %s, want %s", adopted, want)
	}
}
