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

// deployment is an operator listener that keeps one configuration.
type deployment struct {
	current operator.ConfigReply
	between func(d *deployment) // runs after a configuration has been shown
}

func (d *deployment) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(d.current)
		if d.between != nil {
			d.between(d)
		}
		return
	}
	var req operator.ApplyRequest
	Expect(json.NewDecoder(r.Body).Decode(&req)).To(Succeed())
	if req.Supersedes == nil || *req.Supersedes != d.current.Offset {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(operator.ErrorResponse{Error: "raced", Code: "conflict"})
		return
	}
	d.current = operator.ConfigReply{Offset: d.current.Offset + 1, YAML: req.YAML}
	_ = json.NewEncoder(w).Encode(operator.AppendReply{Offset: d.current.Offset})
}

var _ = Describe("apply", func() {
	run := func(d *deployment, yaml string, supersedes int64) (int64, string, error) {
		server := httptest.NewServer(d)
		defer server.Close()
		var out bytes.Buffer
		env := &Env{Out: &out, Err: &out, Getenv: func(string) string { return "" }}
		offset, err := applyConfig(context.Background(), env, operator.NewClient(server.URL, "k"), yaml, supersedes)
		return offset, out.String(), err
	}
	other := func(d *deployment) { d.current = operator.ConfigReply{Offset: 9, YAML: "other"} }

	DescribeTable("over what was in force", func(d *deployment, supersedes, offset int64, said string, want error) {
		got, out, err := run(d, "mine", supersedes)
		if want != nil {
			Expect(err).To(MatchError(want))
			Expect(d.current.YAML).NotTo(Equal("mine"))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(offset))
		Expect(out).To(ContainSubstring(said))
	},
		Entry("nobody else changes it", &deployment{current: operator.ConfigReply{Offset: 5}}, int64(supersedesUnset), int64(6), "accepted at offset 6", nil),
		Entry("another operator was faster", &deployment{current: operator.ConfigReply{Offset: 5}, between: other}, int64(supersedesUnset), int64(0), "", operator.ErrConflict),
		Entry("the files were made from an older one", &deployment{current: operator.ConfigReply{Offset: 5}}, int64(4), int64(0), "", operator.ErrConflict),
		Entry("repeated after an unknown outcome", &deployment{current: operator.ConfigReply{Offset: 5, YAML: "mine"}}, int64(4), int64(5), "already in force", nil),
	)

	It("says where a configuration is not yet in force, and why", func() {
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
