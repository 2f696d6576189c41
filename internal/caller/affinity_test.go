package caller

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/engine"
)

func TestPrefixHashOfGrowingChat(t *testing.T) {
	g := NewWithT(t)
	chat := func(contents ...string) *engine.Request {
		r := &engine.Request{}
		for i, c := range contents {
			r.Messages = append(r.Messages, engine.Message{Role: []string{"system", "user", "assistant"}[min(i, 1+i%2)], Content: engine.Text(c)})
		}
		return r
	}
	first := prefixHash("acc", chat("you sort", "a box"))
	g.Expect(prefixHash("acc", chat("you sort", "a box", "series 4", "another"))).To(Equal(first))
	g.Expect(prefixHash("acc", chat("you sort", "a bag"))).NotTo(Equal(first))
	g.Expect(prefixHash("other", chat("you sort", "a box"))).NotTo(Equal(first))
	long := strings.Repeat("x", promptPrefixBytes)
	g.Expect(prefixHash("acc", &engine.Request{Prompt: engine.Text(long + "a")})).To(Equal(prefixHash("acc", &engine.Request{Prompt: engine.Text(long + "b")})))
	g.Expect(prefixHash("acc", &engine.Request{Prompt: "a"})).NotTo(Equal(prefixHash("acc", &engine.Request{Prompt: "b"})))
}
