package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/operator"
)

// fakeOperator is a stand-in for an operator listener. It serves and replaces one
// configuration.
type fakeOperator struct {
	current   operator.ConfigReply
	afterRead func(f *fakeOperator) // runs after each response with the configuration
}

func (f *fakeOperator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(f.current)
		if f.afterRead != nil {
			f.afterRead(f)
		}
		return
	}
	var req operator.ApplyRequest
	Expect(json.NewDecoder(r.Body).Decode(&req)).To(Succeed())
	if req.Supersedes == nil || *req.Supersedes != f.current.Offset {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(operator.ErrorResponse{Error: "raced", Code: "conflict"})
		return
	}
	f.current = operator.ConfigReply{Offset: f.current.Offset + 1, YAML: req.YAML}
	_ = json.NewEncoder(w).Encode(operator.AppendReply{Offset: f.current.Offset})
}

var _ = Describe("apply", func() {
	run := func(f *fakeOperator, yaml string, supersedes int64) (int64, string, error) {
		server := httptest.NewServer(f)
		defer server.Close()
		var out bytes.Buffer
		env := &Env{Out: &out, Err: &out, Getenv: func(string) string { return "" }}
		offset, err := applyConfig(context.Background(), env, operator.NewClient(server.URL, "k"), yaml, supersedes)
		return offset, out.String(), err
	}
	otherChange := func(f *fakeOperator) { f.current = operator.ConfigReply{Offset: 9, YAML: "other"} }

	DescribeTable("replaces the configuration in effect only if it is at the superseded offset", func(f *fakeOperator, supersedes, offset int64, wantOutput string, wantErr error) {
		got, out, err := run(f, "mine", supersedes)
		if wantErr != nil {
			Expect(err).To(MatchError(wantErr))
			Expect(f.current.YAML).NotTo(Equal("mine"))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(offset))
		Expect(out).To(ContainSubstring(wantOutput))
	},
		Entry("accepted: no other change since it was read", &fakeOperator{current: operator.ConfigReply{Offset: 5}}, int64(supersedesUnset), int64(6), "accepted at offset 6", nil),
		Entry("conflict: another operator changed it first", &fakeOperator{current: operator.ConfigReply{Offset: 5}, afterRead: otherChange}, int64(supersedesUnset), int64(0), "", operator.ErrConflict),
		Entry("conflict: the files are based on an older configuration", &fakeOperator{current: operator.ConfigReply{Offset: 5}}, int64(4), int64(0), "", operator.ErrConflict),
		Entry("nothing sent: the same text is in effect already", &fakeOperator{current: operator.ConfigReply{Offset: 5, YAML: "mine"}}, int64(4), int64(5), "already in force", nil),
	)

	It("lists the instances that have not applied a configuration, with the reasons", func() {
		status := operator.Status{Instance: "a", Offset: 9, Fresh: true, Peers: []operator.PeerStatus{
			{ID: "b", Offset: 9},
			{ID: "c", Offset: 7},
			{ID: "d", Offset: 3, Suspect: true},
			{ID: "e", Offset: 5, Stale: true},
			{ID: "f", Offset: 4, Halted: "a record needs a newer build", Stale: true},
		}}
		Expect(laggingInstances(status, 9)).To(Equal([]string{
			"c (reading the log, at offset 7)", "d (no heartbeats from it, at offset 3)",
			"e (cut off from the log, at offset 5)", "f (halted: a record needs a newer build, at offset 4)",
		}))
	})
})
