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
	maxStaleness  = 2 // weight versions
)

// instance is the trainer's owner, or a former owner that has not read the newer lease yet.
type instance struct {
	name  string
	term  record.Offset
	owner *sample.Owner
	jobs  []sample.Job
}

// simulation is a trainer, its successive owners and their log.
type simulation struct {
	t             *rapid.T
	log           *fold.State
	recordIDs     uint16
	delayed       [][]byte // appends that have yet to take effect
	instances     []*instance
	mirror        sample.Snapshot
	groups        []sample.Group
	engineVersion int64 // latest weight version of the engines

	trainerVersion int64            // the trainer's weight version
	acked          int64            // number of the last consumed batch
	received       map[string]int64 // batch number by sample id
	consumed       map[int64]bool   // by batch number
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, log: fold.New(), engineVersion: 1, trainerVersion: 1, received: map[string]int64{}, consumed: map[int64]bool{}}
	sim.acquireLease()
	return sim
}

func (sim *simulation) currentOwner() *instance { return sim.instances[len(sim.instances)-1] }

// recentOwner returns the current owner or the one before.
func (sim *simulation) recentOwner() *instance {
	return sim.instances[rapid.IntRange(max(0, len(sim.instances)-2), len(sim.instances)-1).Draw(sim.t, "member")]
}

func (sim *simulation) encode(author string, supersedes record.Offset, body record.Body) []byte {
	sim.recordIDs++
	data, err := record.Encode(uuid.UUID{byte(sim.recordIDs), byte(sim.recordIDs >> 8)}, author, supersedes, body)
	if err != nil {
		sim.t.Fatal(err)
	}
	return data
}

func (sim *simulation) apply(data []byte) fold.Result {
	res, err := sim.log.Apply(sim.log.Applied+1, data)
	if err != nil {
		sim.t.Fatal(err)
	}
	return res
}

// append appends a record, which takes effect at once, later ("late") or never ("lost").
func (sim *simulation) append(inst *instance, supersedes record.Offset, body record.Body) {
	data := sim.encode(inst.name, supersedes, body)
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "late", "lost"}).Draw(sim.t, "append") {
	case "ok":
		sim.apply(data)
		inst.owner.SetDeliveryState(sim.log.Deliveries[trainerName])
	case "late":
		sim.delayed = append(sim.delayed, data)
	}
}

// acquireLease makes a new instance the owner, with or without the mirror's snapshot.
func (sim *simulation) acquireLease() {
	name := fmt.Sprintf("entry-%d", len(sim.instances))
	lease := record.TrainerLease(trainerName)
	res := sim.apply(sim.encode(name, sim.log.Leases[lease].LastOffset, record.Lease{Name: lease, Holder: name}))
	deliveries := sim.log.Deliveries[trainerName]
	deliveries.Trainer = trainerName
	inst := &instance{name: name, term: res.Offset, owner: sample.NewOwner(limits(), deliveries)}
	if len(sim.instances) > 0 && rapid.Bool().Draw(sim.t, "mirror survives") {
		inst.owner.Restore(sim.mirror)
	}
	sim.instances = append(sim.instances, inst)
}

func limits() sample.Limits {
	return sample.Limits{MaxStaleness: maxStaleness, MaxRunning: 5, MaxBuffered: 8, MaxGroups: 64}
}

func (sim *simulation) submit(g sample.Group) {
	if err := sim.currentOwner().owner.Submit(g); err != nil {
		sim.t.Fatalf("submit %v: %v", g, err)
	}
	sim.mirror = sim.currentOwner().owner.Snapshot()
}

// generate starts the samples that the instance may start.
func (sim *simulation) generate(inst *instance) {
	for _, job := range inst.owner.StartJobs() {
		inst.owner.RecordFirstVersion(job, sim.engineVersion)
		inst.jobs = append(inst.jobs, job)
	}
	if len(inst.jobs) > limits().MaxRunning {
		sim.t.Fatalf("%d samples run, limit %d", len(inst.jobs), limits().MaxRunning)
	}
}

// finish ends one running sample, whose first token has firstVersion; zero: unlabelled.
func (sim *simulation) finish(inst *instance, firstVersion int64) {
	if len(inst.jobs) == 0 {
		return
	}
	i := rapid.IntRange(0, len(inst.jobs)-1).Draw(sim.t, "job")
	job := inst.jobs[i]
	inst.jobs = append(inst.jobs[:i], inst.jobs[i+1:]...)
	s := sample.Sample{ID: job.Sample, Group: job.Group.ID, Segments: []sample.Segment{{Version: firstVersion, Tokens: 1}, {Version: sim.engineVersion, Tokens: 1}}}
	err := inst.owner.Finish(job.Index, s)
	switch {
	case firstVersion == 0 && !errors.Is(err, sample.ErrNoWeightVersion) && !errors.Is(err, sample.ErrUnknownSample):
		sim.t.Fatalf("Finish of an unlabelled sample returned %v", err)
	case firstVersion == 0:
		inst.owner.Requeue(job)
	case rapid.Bool().Draw(sim.t, "twice"):
		_ = inst.owner.Finish(job.Index, s)
	}
	if inst == sim.currentOwner() {
		sim.mirror = inst.owner.Snapshot()
	}
}

// requestBatch sends one request of the trainer to the instance. Its response may be lost.
func (sim *simulation) requestBatch(inst *instance, responseLost bool) {
	inst.owner.SetDeliveryState(sim.log.Deliveries[trainerName])
	if needed, err := inst.owner.Acknowledge(sim.acked); err != nil {
		sim.t.Fatal(err)
	} else if needed {
		sim.append(inst, 0, record.BatchAck{Trainer: trainerName, Number: sim.acked})
	}
	request := sample.Request{Version: sim.trainerVersion, MaxGroups: 3, MinGroups: 2, WaitForExpiring: responseLost}
	if b, ok := inst.owner.Propose(request); ok {
		b.Term = inst.term
		sim.append(inst, inst.owner.DeliveryState().LastOffset, b)
	}
	batch, err := inst.owner.Offer(sim.trainerVersion)
	var missing *sample.GroupsUnknownError
	if errors.As(err, &missing) {
		for _, g := range sim.groups {
			if inst == sim.currentOwner() {
				sim.submit(g) // idempotent
			}
		}
		return
	}
	if batch != nil && !responseLost {
		sim.consume(inst, batch)
	}
}

// consume is the trainer's side: it checks the samples' staleness and consumes each batch
// number once.
func (sim *simulation) consume(inst *instance, b *sample.Batch) {
	for i := range b.Samples {
		s := &b.Samples[i]
		if s.OldestVersion() < 1 || sim.trainerVersion-s.OldestVersion() > maxStaleness {
			sim.t.Fatalf("%s sent %v to a trainer at version %d", inst.name, s, sim.trainerVersion)
		}
	}
	if b.Number < sim.acked || sim.consumed[b.Number] {
		return
	}
	sim.consumed[b.Number] = true
	sim.acked = b.Number
	for i := range b.Samples {
		if earlier, duplicate := sim.received[b.Samples[i].ID]; duplicate {
			sim.t.Fatalf("sample %s was delivered in batches %d and %d", b.Samples[i].ID, earlier, b.Number)
		}
		sim.received[b.Samples[i].ID] = b.Number
	}
}

// finishWithoutFaults lets the last owner deliver all groups without faults.
func (sim *simulation) finishWithoutFaults() {
	sim.delayed = nil
	wantSamples := 0
	for _, g := range sim.groups {
		wantSamples += g.Size
		sim.submit(g)
	}
	inst := sim.currentOwner()
	for range 40 * (len(sim.groups) + 1) {
		sim.generate(inst)
		for len(inst.jobs) > 0 {
			sim.finish(inst, sim.engineVersion)
		}
		sim.requestBatch(inst, false)
	}
	if len(sim.received) != wantSamples {
		sim.t.Fatalf("the trainer received %d samples, want %d", len(sim.received), wantSamples)
	}
}

// Appends are lost or late, responses are lost, owners change and may lose their state, and
// weight versions advance: the trainer still receives every sample exactly once and none
// that is too stale. rapid draws from the actions in the order of their names, so a seed
// stands for other runs if an action is renamed.
func TestExactlyOnceOverLosses(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": propertySeed, "rapid.steps": propertySteps, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) {
				g := sample.Group{ID: fmt.Sprintf("g%d", len(sim.groups)), MaxTokens: 9, Size: 1 + len(sim.groups)%4}
				sim.groups = append(sim.groups, g)
				sim.submit(g)
			},
			"submit again": func(t *rapid.T) {
				if len(sim.groups) > 0 {
					sim.submit(sim.groups[rapid.IntRange(0, len(sim.groups)-1).Draw(t, "group")])
				}
			},
			"generate": func(*rapid.T) { sim.generate(sim.recentOwner()) },
			"finish": func(t *rapid.T) {
				sim.finish(sim.recentOwner(), rapid.Int64Range(max(0, sim.engineVersion-4), sim.engineVersion).Draw(t, "from"))
			},
			"finish new":  func(*rapid.T) { sim.finish(sim.recentOwner(), sim.engineVersion) },
			"ask":         func(t *rapid.T) { sim.requestBatch(sim.recentOwner(), rapid.Bool().Draw(t, "lost")) },
			"take over":   func(*rapid.T) { sim.acquireLease() },
			"new weights": func(*rapid.T) { sim.engineVersion++ },
			"train":       func(*rapid.T) { sim.trainerVersion = min(sim.trainerVersion+1, sim.engineVersion) },
			"late append": func(*rapid.T) {
				if len(sim.delayed) > 0 {
					sim.apply(sim.delayed[0])
					sim.delayed = sim.delayed[1:]
				}
			},
		})
		sim.finishWithoutFaults()
	})
}
