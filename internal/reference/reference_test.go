package reference_test

import (
	"os"
	"strings"
	"testing"

	"github.com/amaranthfold/amaranthfold/internal/reference"
	"github.com/amaranthfold/amaranthfold/internal/settings"
)

func TestReferenceListsEveryFlagEventAndMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/REFERENCE.md")
	if err != nil {
		t.Fatal(err)
	}
	names, err := reference.Collect("..")
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range settings.All() {
		names.Events = append(names.Events, s.Name())
	}
	for _, name := range append(names.Events, names.Metrics...) {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("docs/REFERENCE.md does not list `%s`", name)
		}
	}
}

func TestCollectFindsEvents(t *testing.T) {
	names, err := reference.Collect("..")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"lease taken", "certificate reloaded", "record void", "log trimmed"} {
		if !strings.Contains(strings.Join(names.Events, "\n"), want) {
			t.Errorf("event %q was not found in the source", want)
		}
	}
}
