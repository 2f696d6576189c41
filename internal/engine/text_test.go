package engine_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/engine"
)

func TestTextDecodesEveryFormOfTheAPI(t *testing.T) {
	for data, want := range map[string]string{
		`"a box"`:                          "a box",
		`null`:                             "",
		`["a ","box"]`:                     "a box",
		`[12,7]`:                           "12 7 ",
		`[{"type":"text","text":"a box"}]`: "a box",
		`[{"type":"text","text":"a"},{"type":"image_url","image_url":{"url":"x"}}]`: "a",
		`[]`: "",
	} {
		t.Run(data, func(t *testing.T) {
			var got engine.Text
			NewWithT(t).Expect(json.Unmarshal([]byte(data), &got)).To(Succeed())
			NewWithT(t).Expect(string(got)).To(Equal(want))
		})
	}
	for _, data := range []string{`5`, `{"a":1}`, `true`} {
		t.Run(data, func(t *testing.T) {
			var got engine.Text
			NewWithT(t).Expect(json.Unmarshal([]byte(data), &got)).NotTo(Succeed())
		})
	}
}
