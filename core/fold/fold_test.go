package fold_test

import (
	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

const yaml = "deployment: site\ndataCentres: [{name: north}]\ncost: {limitPerHour: 1}\naccounts: [{name: shop}]\n"

// log feeds a state with records of numbered ids.
type log struct {
	state *fold.State
	next  byte
}

func newLog() *log { return &log{state: fold.New()} }

func (l *log) id() record.ID {
	l.next++
	return uuid.UUID{l.next}
}

func (l *log) apply(id record.ID, author string, supersedes record.Offset, body record.Body) fold.Result {
	data, err := record.Encode(id, author, supersedes, body)
	Expect(err).NotTo(HaveOccurred())
	res, err := l.state.Apply(l.state.Applied+1, data)
	Expect(err).NotTo(HaveOccurred())
	return res
}

var _ = Describe("State", func() {
	var l *log
	BeforeEach(func() {
		l = newLog()
		Expect(l.apply(l.id(), "a", 0, record.Config{YAML: []byte(yaml)}).Verdict).To(Equal(fold.Accepted))
	})

	It("accepts one of two raced configurations", func() {
		Expect(l.apply(l.id(), "a", 1, record.Config{YAML: []byte(yaml)}).Verdict).To(Equal(fold.Accepted))
		Expect(l.apply(l.id(), "b", 1, record.Config{YAML: []byte(yaml)}).Verdict).To(Equal(fold.Conflict))
		Expect(l.state.ConfigOffset).To(Equal(record.Offset(2)))
	})

	It("ignores a repeated append", func() {
		id := l.id()
		grant := record.KeyGrant{KeyID: "k", Account: "shop"}
		Expect(l.apply(id, "a", 0, grant).Verdict).To(Equal(fold.Accepted))
		Expect(l.apply(id, "a", 0, grant).Verdict).To(Equal(fold.Duplicate))
	})

	It("keeps the first seal of a window", func() {
		term := l.apply(l.id(), "a", 0, record.Lease{Name: "deployment", Holder: "a"}).Offset
		seal := record.UsageSeal{Lease: "deployment", Window: 60, Figures: []record.UsageFigure{{Account: "shop", Requests: 1}}}
		Expect(l.apply(l.id(), "a", term, seal).Verdict).To(Equal(fold.Accepted))
		seal.Figures[0].Requests = 2
		Expect(l.apply(l.id(), "a", term, seal).Verdict).To(Equal(fold.Conflict))
	})

	It("voids what a former holder announces", func() {
		old := l.apply(l.id(), "a", 0, record.Lease{Name: "deployment", Holder: "a"}).Offset
		Expect(l.apply(l.id(), "b", old, record.Lease{Name: "deployment", Holder: "b"}).Verdict).To(Equal(fold.Accepted))
		intent := record.OrderIntent{OrderID: "o", Lease: "deployment"}
		Expect(l.apply(l.id(), "a", old, intent).Verdict).To(Equal(fold.Conflict))
	})

	It("counts malformed records and goes on", func() {
		res, err := l.state.Apply(l.state.Applied+1, []byte("noise"))
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Verdict).To(Equal(fold.Malformed))
	})

	It("refuses a gap", func() {
		_, err := l.state.Apply(9, nil)
		Expect(err).To(MatchError(fold.ErrGap))
	})
})
