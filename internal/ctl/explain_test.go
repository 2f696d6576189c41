package ctl_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/ctl"
)

var _ = Describe("amaranthctl explain", func() {
	// writeLogs writes the log files of instances "a" and "b" and returns their directory.
	// Each line holds the instance, the event and its fields; lines are one second apart.
	writeLogs := func(lines ...[]string) string {
		at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		files := map[string]*bytes.Buffer{"a": {}, "b": {}}
		for _, l := range lines {
			fmt.Fprintf(files[l[0]], "time=%s level=info event=%q instance=%q", at.Format(time.RFC3339Nano), l[1], l[0])
			for _, f := range l[2:] {
				key, value, _ := strings.Cut(f, "=")
				fmt.Fprintf(files[l[0]], " %s=%q", key, value)
			}
			fmt.Fprintln(files[l[0]])
			at = at.Add(time.Second)
		}
		dir := GinkgoT().TempDir()
		for name, data := range files {
			Expect(os.WriteFile(filepath.Join(dir, name), data.Bytes(), 0o600)).To(Succeed())
		}
		return dir
	}
	eventNames := func(out string) []string {
		var events []string
		for line := range strings.Lines(out) {
			_, rest, _ := strings.Cut(line, `event="`)
			event, _, _ := strings.Cut(rest, `"`)
			events = append(events, event)
		}
		return events
	}

	It("prints the lines with an id, by time, and the context events of the instances that wrote them", func() {
		dir := writeLogs(
			[]string{"b", "dependency lost", "dependency=early"},
			[]string{"a", "config applied", "version=3"},
			[]string{"a", "dependency lost", `error=a "quoted" text`},
			[]string{"a", "job accepted", "request=j1"},
			[]string{"a", "job accepted", "request=other"},
			[]string{"b", "job taken", "job=j1"},
			[]string{"a", "request passed", "request=r"},
			[]string{"b", "readiness changed", "ready=false"},
			[]string{"b", "readiness changed", "ready=true"},
		)
		code, out, errOut := run("explain", "--id", "j1", "--around", "2s", dir)
		Expect(errOut).To(BeEmpty())
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(eventNames(out)).To(Equal([]string{"config applied", "dependency lost", "job accepted", "job taken", "readiness changed"}))
	})

	It("fails if no line has the id, and counts lines that are not events", func() {
		path := filepath.Join(GinkgoT().TempDir(), "log")
		Expect(os.WriteFile(path, []byte("panic: index out of range\n"), 0o600)).To(Succeed())
		code, _, errOut := run("explain", "--id", "j1", path)
		Expect(code).To(Equal(ctl.ExitFailure))
		Expect(errOut).To(And(ContainSubstring("1 lines are no events"), ContainSubstring(`no line tells of "j1"`)))
	})

	It("reports files that cannot be read, and requires an id", func() {
		code, _, errOut := run("explain", "--id", "j1", "no-such-log")
		Expect(code).To(Equal(ctl.ExitFailure))
		Expect(errOut).To(ContainSubstring("no-such-log"))
		code, _, _ = run("explain", "no-such-log")
		Expect(code).To(Equal(ctl.ExitUsage))
	})
})

var _ = Describe("amaranthctl settings", func() {
	It("prints all findings of a settings file", func() {
		path := filepath.Join(GinkgoT().TempDir(), "settings.toml")
		Expect(os.WriteFile(path, []byte("node = \"n\"\n[listen]\nfront = \"here\"\n"), 0o600)).To(Succeed())
		code, _, errOut := run("settings", path)
		Expect(code).To(Equal(ctl.ExitFailure))
		Expect(errOut).To(And(ContainSubstring("zone: is missing"), ContainSubstring(`listen.front: "here" is not an IP address`)))
	})
})
