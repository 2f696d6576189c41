package sample_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/sample"
)

const (
	propertySeed  = "7"
	propertySteps = "120"
	trainerName   = "coach"
	bound         = 2 // weight versions
)

// member is an instance that owns the trainer or believes that it still does.
type member struct {
	name  string
	term  record.Offset
	owner *sample.Owner
	jobs  []sample.Job
}

// world is a trainer, its owners one after the other, and the log between them.
type world struct {
	t       *rapid.T
	log     *fold.State
	ids     uint16
	late    [][]byte // appends that may still take effect
	members []*member
	mirror  sample.Snapshot
	groups  []sample.Group
	engine  int64 // newest weight version

	version  int64 // trainer's
	ack      int64
	received map[string]int64 // batch by sample id
	batches  map[int64]bool
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, log: fold.New(), engine: 1, version: 1, received: map[string]int64{}, batches: map[int64]bool{}}
	w.takeOver()
	return w
}

func (w *world) current() *member { return w.members[len(w.members)-1] }

func (w *world) someone() *member {
	return w.members[rapid.IntRange(max(0, len(w.members)-2), len(w.members)-1).Draw(w.t, "member")]
}

func (w *world) encode(author string, supersedes record.Offset, body record.Body) []byte {
	w.ids++
	data, err := record.Encode(uuid.UUID{byte(w.ids), byte(w.ids >> 8)}, author, supersedes, body)
	if err != nil {
		w.t.Fatal(err)
	}
	return data
}

func (w *world) apply(data []byte) fold.Result {
	res, err := w.log.Apply(w.log.Applied+1, data)
	if err != nil {
		w.t.Fatal(err)
	}
	return res
}

// append sends a record whose effect or answer may be lost or late.
func (w *world) append(m *member, supersedes record.Offset, body record.Body) {
	data := w.encode(m.name, supersedes, body)
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "late", "lost"}).Draw(w.t, "append") {
	case "ok":
		w.apply(data)
		m.owner.SetDeliveryState(w.log.Deliveries[trainerName])
	case "late":
		w.late = append(w.late, data)
	}
}

func (w *world) takeOver() {
	name := fmt.Sprintf("entry-%d", len(w.members))
	lease := record.TrainerLease(trainerName)
	res := w.apply(w.encode(name, w.log.Leases[lease].LastOffset, record.Lease{Name: lease, Holder: name}))
	ledger := w.log.Deliveries[trainerName]
	ledger.Trainer = trainerName
	m := &member{name: name, term: res.Offset, owner: sample.NewOwner(limits(), ledger)}
	if len(w.members) > 0 && rapid.Bool().Draw(w.t, "mirror survives") {
		m.owner.Restore(w.mirror)
	}
	w.members = append(w.members, m)
}

func limits() sample.Limits {
	return sample.Limits{MaxStaleness: bound, MaxRunning: 5, MaxBuffered: 8, MaxGroups: 64}
}

func (w *world) submit(g sample.Group) {
	if err := w.current().owner.Submit(g); err != nil {
		w.t.Fatalf("submit %v: %v", g, err)
	}
	w.mirror = w.current().owner.Snapshot()
}

func (w *world) generate(m *member) {
	for _, job := range m.owner.StartJobs() {
		m.owner.RecordFirstVersion(job, w.engine)
		m.jobs = append(m.jobs, job)
	}
	if len(m.jobs) > limits().MaxRunning {
		w.t.Fatalf("%d samples run, limit %d", len(m.jobs), limits().MaxRunning)
	}
}

func (w *world) finish(m *member, first int64) {
	if len(m.jobs) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.jobs)-1).Draw(w.t, "job")
	job := m.jobs[i]
	m.jobs = append(m.jobs[:i], m.jobs[i+1:]...)
	s := sample.Sample{ID: job.Sample, Group: job.Group.ID, Segments: []sample.Segment{{Version: first, Tokens: 1}, {Version: w.engine, Tokens: 1}}}
	err := m.owner.Finish(job.Index, s)
	switch {
	case first == 0 && !errors.Is(err, sample.ErrNoWeightVersion) && !errors.Is(err, sample.ErrUnknownSample):
		w.t.Fatalf("an unlabelled sample gave %v", err)
	case first == 0:
		m.owner.Requeue(job)
	case rapid.Bool().Draw(w.t, "twice"):
		_ = m.owner.Finish(job.Index, s)
	}
	if m == w.current() {
		w.mirror = m.owner.Snapshot()
	}
}

// ask is one request of the trainer to m, whose answer may be lost.
func (w *world) ask(m *member, lost bool) {
	m.owner.SetDeliveryState(w.log.Deliveries[trainerName])
	if needed, err := m.owner.Acknowledge(w.ack); err != nil {
		w.t.Fatal(err)
	} else if needed {
		w.append(m, 0, record.BatchAck{Trainer: trainerName, Number: w.ack})
	}
	request := sample.Request{Version: w.version, MaxGroups: 3, MinGroups: 2, WaitForExpiring: lost}
	if b, ok := m.owner.Propose(request); ok {
		b.Term = m.term
		w.append(m, m.owner.DeliveryState().LastOffset, b)
	}
	batch, err := m.owner.Offer(w.version)
	var unknown *sample.GroupsUnknownError
	if errors.As(err, &unknown) {
		for _, g := range w.groups {
			if m == w.current() {
				w.submit(g) // idempotent
			}
		}
		return
	}
	if batch != nil && !lost {
		w.deliver(m, batch)
	}
}

// deliver is the trainer's side: it takes one batch of a number.
func (w *world) deliver(m *member, b *sample.Batch) {
	for i := range b.Samples {
		s := &b.Samples[i]
		if s.OldestVersion() < 1 || w.version-s.OldestVersion() > bound {
			w.t.Fatalf("%s offered %v to a trainer at version %d", m.name, s, w.version)
		}
	}
	if b.Number < w.ack || w.batches[b.Number] {
		return
	}
	w.batches[b.Number] = true
	w.ack = b.Number
	for i := range b.Samples {
		if earlier, again := w.received[b.Samples[i].ID]; again {
			w.t.Fatalf("sample %s came in batches %d and %d", b.Samples[i].ID, earlier, b.Number)
		}
		w.received[b.Samples[i].ID] = b.Number
	}
}

// settle lets the last owner finish in a world without faults.
func (w *world) settle() {
	w.late = nil
	want := 0
	for _, g := range w.groups {
		want += g.Size
		w.submit(g)
	}
	m := w.current()
	for range 40 * (len(w.groups) + 1) {
		w.generate(m)
		for len(m.jobs) > 0 {
			w.finish(m, w.engine)
		}
		w.ask(m, false)
	}
	if len(w.received) != want {
		w.t.Fatalf("the trainer has %d samples, want %d", len(w.received), want)
	}
}

func TestExactlyOnceOverLosses(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": propertySeed, "rapid.steps": propertySteps, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) {
				g := sample.Group{ID: fmt.Sprintf("g%d", len(w.groups)), MaxTokens: 9, Size: 1 + len(w.groups)%4}
				w.groups = append(w.groups, g)
				w.submit(g)
			},
			"submit again": func(t *rapid.T) {
				if len(w.groups) > 0 {
					w.submit(w.groups[rapid.IntRange(0, len(w.groups)-1).Draw(t, "group")])
				}
			},
			"generate": func(*rapid.T) { w.generate(w.someone()) },
			"finish": func(t *rapid.T) {
				w.finish(w.someone(), rapid.Int64Range(max(0, w.engine-4), w.engine).Draw(t, "from"))
			},
			"finish new":  func(*rapid.T) { w.finish(w.someone(), w.engine) },
			"ask":         func(t *rapid.T) { w.ask(w.someone(), rapid.Bool().Draw(t, "lost")) },
			"take over":   func(*rapid.T) { w.takeOver() },
			"new weights": func(*rapid.T) { w.engine++ },
			"train":       func(*rapid.T) { w.version = min(w.version+1, w.engine) },
			"late append": func(*rapid.T) {
				if len(w.late) > 0 {
					w.apply(w.late[0])
					w.late = w.late[1:]
				}
			},
		})
		w.settle()
	})
}
