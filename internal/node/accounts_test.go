package node

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/catalog"
)

// Guards against series that grow with the number of accounts or stay after an account is
// removed, and against account names that make the whole page of metrics unreadable.
func TestAccountsOfMetricsAreBounded(t *testing.T) {
	m := newMetricSet()
	for i := range 4000 {
		m.CountNotAdmitted(fmt.Sprint("a", i))
	}
	m.keepAccounts([]catalog.Account{{Name: "a0"}, {Name: "a70"}})
	m.CountNotAdmitted("a70")
	m.CountNotAdmitted("")
	m.CountNotAdmitted("q\"\\\n\x00\xff")
	var page bytes.Buffer
	m.Set.WritePrometheus(&page)
	got := regexp.MustCompile(`account=.*`).FindAllString(page.String(), -1)
	want := []string{`account="a0"} 1`, `account="a70"} 1`, `account="none"} 1`, `account="other"} 3936`, "account=\"q\\\"\\\\\\n\x00\uFFFD\"} 1"}
	if !slices.Equal(got, want) {
		t.Errorf("got %q\nwant %q", got, want)
	}
}
