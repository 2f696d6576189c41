package fold_test

import (
	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

const configYAML = "deployment: site\ndataCentres: [{name: north}]\ncost: {limitPerHour: 1}\naccounts: [{name: shop}]\n"

// testLog is a log that is kept only as the state after applying it. newID returns
// consecutive record ids.
type testLog struct {
	state  *fold.State
	lastID byte
}

func newTestLog() *testLog { return &testLog{state: fold.New()} }

func (l *testLog) newID() record.ID {
	l.lastID++
	return uuid.UUID{l.lastID}
}

func (l *testLog) apply(id record.ID, author string, supersedes record.Offset, body record.Body) fold.Result {
	data, err := record.Encode(id, author, supersedes, body)
	Expect(err).NotTo(HaveOccurred())
	res, err := l.state.Apply(l.state.Applied+1, data)
	Expect(err).NotTo(HaveOccurred())
	return res
}

var _ = Describe("State", func() {
	var l *testLog
	BeforeEach(func() {
		l = newTestLog()
		Expect(l.apply(l.newID(), "a", 0, record.Config{YAML: []byte(configYAML)}).Verdict).To(Equal(fold.Accepted))
	})

	It("accepts the first of two concurrent configurations", func() {
		Expect(l.apply(l.newID(), "a", 1, record.Config{YAML: []byte(configYAML)}).Verdict).To(Equal(fold.Accepted))
		Expect(l.apply(l.newID(), "b", 1, record.Config{YAML: []byte(configYAML)}).Verdict).To(Equal(fold.Conflict))
		Expect(l.state.ConfigOffset).To(Equal(record.Offset(2)))
	})

	It("rejects a duplicate append", func() {
		id := l.newID()
		grant := record.KeyGrant{KeyID: "k", Account: "shop"}
		Expect(l.apply(id, "a", 0, grant).Verdict).To(Equal(fold.Accepted))
		Expect(l.apply(id, "a", 0, grant).Verdict).To(Equal(fold.Duplicate))
	})

	It("keeps the first seal of a window", func() {
		term := l.apply(l.newID(), "a", 0, record.Lease{Name: "deployment", Holder: "a"}).Offset
		seal := record.UsageSeal{Lease: "deployment", Window: 60, Figures: []record.UsageFigure{{Account: "shop", Requests: 1}}}
		Expect(l.apply(l.newID(), "a", term, seal).Verdict).To(Equal(fold.Accepted))
		seal.Figures[0].Requests = 2
		Expect(l.apply(l.newID(), "a", term, seal).Verdict).To(Equal(fold.Conflict))
	})

	It("rejects an order of a former lease holder", func() {
		oldTerm := l.apply(l.newID(), "a", 0, record.Lease{Name: "deployment", Holder: "a"}).Offset
		Expect(l.apply(l.newID(), "b", oldTerm, record.Lease{Name: "deployment", Holder: "b"}).Verdict).To(Equal(fold.Accepted))
		intent := record.OrderIntent{OrderID: "o", Lease: "deployment"}
		Expect(l.apply(l.newID(), "a", oldTerm, intent).Verdict).To(Equal(fold.Conflict))
	})

	It("rejects a malformed record and advances past it", func() {
		res, err := l.state.Apply(l.state.Applied+1, []byte("noise"))
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Verdict).To(Equal(fold.Malformed))
	})

	It("returns ErrGap for an offset that skips records", func() {
		_, err := l.state.Apply(9, nil)
		Expect(err).To(MatchError(fold.ErrGap))
	})
})
