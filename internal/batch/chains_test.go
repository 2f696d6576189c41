package batch

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/job"
)

// Guards against a result that holds events of runs which did not go on after each other: the parts
// that instances store while the log is slow reach it in any order with the claims of others.
func TestStoredEventsOfATaskAreOfRunsThatGoOnAfterEachOther(t *testing.T) {
	seeds := []uint64{3165} // two outputs of one instance
	for seed := range uint64(200) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		m := newChainModel(seed)
		for range 600 {
			m.changed = false
			m.step()
			if !m.changed {
				continue
			}
			if err := m.check(); err != nil {
				t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(m.trace, "\n"))
			}
		}
	}
}

// chainModel plays the runners of a job with one task: their outputs, what they store and the log,
// in any order that a log allows which appends the records of each instance in their order.
type chainModel struct {
	seed      uint64 // odd: the runners are not told of refused parts, as if their queue were full
	random    *rand.Rand
	log       []job.Record
	content   [][]byte
	asked     []int64 // by run: the event that it was asked to go on after
	state     *job.State
	instances []*chainInstance
	trace     []string
	changed   bool // a state was changed by the latest step
}

// chainInstance is one instance. Where it is restarted, it is another incarnation.
type chainInstance struct {
	number, incarnation int
	state               *job.State
	applied             int
	output, left        *taskOutput // of the job that it runs, and of the job that it has left
	loading             [][]job.Chunk
	run                 int64
	saving              *job.Chunk
	part                outputPart
	queue               []job.Record
	frozen              int // steps that it stands still
}

func newChainModel(seed uint64) *chainModel {
	m := &chainModel{seed: seed, random: rand.New(rand.NewPCG(seed, 0)), state: job.NewState()}
	for n := range 2 + int(seed/2%2) {
		m.instances = append(m.instances, &chainInstance{number: n, state: job.NewState()})
	}
	m.append(job.Record{Submitted: &job.Submitted{Job: "j", Tasks: []job.TaskRef{{ID: "t"}}, Runner: m.instances[0].name()}})
	return m
}

func (i *chainInstance) name() string { return fmt.Sprintf("n%d/%d", i.number, i.incarnation) }

// whole reports whether the instance has read all records of the job.
func (i *chainInstance) whole() bool {
	j := i.state.Jobs["j"]
	return j != nil && !j.Incomplete
}

func (m *chainModel) append(r job.Record) {
	m.changed = true
	m.log = append(m.log, r)
	m.state.Apply(int64(len(m.log)), 0, r)
}

func (m *chainModel) note(i *chainInstance, format string, args ...any) {
	m.trace = append(m.trace, i.name()+" "+fmt.Sprintf(format, args...))
}

func (m *chainModel) step() {
	i := m.instances[m.random.IntN(len(m.instances))]
	if i.frozen > 0 {
		i.frozen--
		return
	}
	switch action := m.random.IntN(20); {
	case action < 5 && i.output != nil: // a run sends events
		if i.run == 0 {
			i.run = int64(len(m.asked)) + 1
			m.asked = append(m.asked, i.output.startRun(i.run, "v1"))
			m.note(i, "run %d goes on after %d", i.run, m.asked[i.run-1])
		}
		for range 1 + m.random.IntN(4) {
			number := i.output.eventCount() + 1
			i.output.addEvent(i.run, number, fmt.Appendf(nil, "%d:%d", i.run, number), 1, 0)
		}
	case action < 6: // the run breaks
		i.run = 0
	case action < 9 && i.output != nil && i.saving == nil:
		if chunk, data, part := i.output.takeUnsaved(2); part != nil {
			m.note(i, "stores %d to %d", chunk.First, chunk.Last)
			i.saving, i.part = &chunk, outputPart{i.output, part, data}
		}
	case action < 11 && i.saving != nil:
		m.contentStored(i, m.random.IntN(6) > 0)
	case action < 14 && len(i.queue) > 0:
		m.append(i.queue[0])
		i.queue = i.queue[1:]
	case action < 17:
		m.read(i)
	case action < 18 && len(i.loading) > 0: // a load of the job ends
		i.output, i.left, i.run = m.loaded(i), nil, 0
		i.loading = i.loading[1:]
	case action < 19 && i.applied == len(m.log) && i.whole() && i.state.Jobs["j"].Runner != i.name():
		i.queue = append(i.queue, job.Record{Writer: i.name(), Claimed: &job.Claimed{Job: "j", Term: i.state.Jobs["j"].Term + 1, Runner: i.name()}})
	case action == 19:
		m.disturb(i)
	}
}

func (m *chainModel) disturb(i *chainInstance) {
	if m.random.IntN(8) == 0 {
		i.frozen = m.random.IntN(60)
		m.note(i, "stands still for %d steps", i.frozen)
		return
	}
	if m.random.IntN(8) == 0 { // the log does not keep what it has not read
		i.applied += m.random.IntN(len(m.log) - i.applied + 1)
		i.state.SkipTo(int64(i.applied)+1, 0, 0) // offsets count from 1 here
		m.note(i, "skips records up to %d", i.applied)
		return
	}
	if m.random.IntN(8) == 0 {
		m.note(i, "is restarted")
		*i = chainInstance{number: i.number, incarnation: i.incarnation + 1, state: i.state, applied: i.applied}
	}
}

func (m *chainModel) contentStored(i *chainInstance, ok bool) {
	chunk := *i.saving
	i.saving = nil
	if !ok {
		m.note(i, "cannot store")
		i.part.output.notStored(i.part.part)
		return
	}
	m.content = append(m.content, i.part.data)
	chunk.Location = job.Location{Offset: int64(len(m.content) - 1), Records: 1, Bytes: len(i.part.data)}
	i.part.output.stored(i.part.part, chunk.Location)
	i.queue = append(i.queue, job.Record{Writer: i.name(), Progress: &job.Progress{Job: "j", Chunks: []job.Chunk{chunk}}})
}

// read applies the next records of the log. The instance loads the job if it became its runner, and
// leaves it if another one did.
func (m *chainModel) read(i *chainInstance) {
	for range 1 + m.random.IntN(4) {
		if i.applied == len(m.log) {
			break
		}
		i.applied++
		m.changed = true
		r := m.log[i.applied-1]
		i.state.Apply(int64(i.applied), 0, r)
		if j := i.state.Jobs["j"]; m.seed%2 == 0 && i.whole() && r.Progress != nil && r.Writer == i.name() && j.Runner == i.name() && i.output != nil && !j.Status[0].IsLatestChunk(r.Progress.Chunks[0]) {
			i.output.refused(r.Progress.Chunks[0].Location)
		}
	}
	if missing := i.state.Missing(); len(missing) > 0 && m.random.IntN(4) == 0 {
		i.queue = append(i.queue, job.Record{Writer: i.name(), JobsRequested: &job.JobsRequested{Jobs: missing}})
	}
	if _, requested := i.state.Requested()["j"]; requested && m.random.IntN(4) == 0 {
		restated, _ := i.state.Restate("j")
		i.queue = append(i.queue, job.Record{Writer: i.name(), Restated: &restated})
		m.note(i, "restates the job, read to %d", restated.ReadTo-1)
	}
	j := i.state.Jobs["j"]
	switch {
	case j == nil:
	case j.Incomplete && i.output == nil:
	case !j.Incomplete && j.Runner == i.name() && i.output == nil && len(i.loading) == 0:
		i.loading = append(i.loading, slices.Clone(j.Status[0].ContiguousChunks(0)))
		m.note(i, "takes the job")
	case (j.Incomplete || j.Runner != i.name()) && i.output != nil:
		i.output.stopRun()
		if m.random.IntN(6) == 0 { // it is kept for a while only
			i.left = i.output
		}
		i.output, i.run, i.loading = nil, 0, nil
		m.note(i, "leaves the job")
	}
}

// loaded returns the output of the job that the instance has loaded, or the longer one that it kept.
func (m *chainModel) loaded(i *chainInstance) *taskOutput {
	var parts [][]byte
	for _, c := range i.loading[0] {
		parts = append(parts, m.content[c.Location.Offset])
	}
	output := outputOf(i.loading[0], parts, "")
	if i.left != nil && i.left.kept().Events > output.lastEvent {
		output = i.left
	}
	m.note(i, "has loaded %d events", output.lastEvent)
	return output
}

// check compares the stored events with the runs that generated them, as an instance knows them that
// has read all records, and as each of the others does.
func (m *chainModel) check() error {
	for _, i := range m.instances {
		if i.whole() && i.applied == len(m.log) && !reflect.DeepEqual(chunkLocations(i.state), chunkLocations(m.state)) {
			return fmt.Errorf("%s has the parts %v, not %v", i.name(), chunkLocations(i.state), chunkLocations(m.state))
		}
	}
	for _, state := range append(m.states(), m.state) {
		if j := state.Jobs["j"]; j != nil {
			if err := m.checkChunks(j.Status[0].ContiguousChunks(0)); err != nil {
				return err
			}
		}
	}
	return nil
}

func chunkLocations(s *job.State) (out []job.Location) {
	for _, c := range s.Jobs["j"].Status[0].ContiguousChunks(0) {
		out = append(out, c.Location)
	}
	return out
}

func (m *chainModel) states() (out []*job.State) {
	for _, i := range m.instances {
		out = append(out, i.state)
	}
	return out
}

func (m *chainModel) checkChunks(chunks []job.Chunk) error {
	var last, number int64
	for _, c := range chunks {
		for event := range strings.SplitSeq(string(m.content[c.Location.Offset]), "\n") {
			var run, n int64
			if _, err := fmt.Sscanf(event, "%d:%d", &run, &n); err != nil || n != number+1 {
				return fmt.Errorf("event %q after event %d: %w", event, number, err)
			}
			if run != last && m.asked[run-1] != number {
				return fmt.Errorf("event %d is of run %d, which was asked to go on after event %d", n, run, m.asked[run-1])
			}
			last, number = run, n
		}
	}
	return nil
}

// Guards against an output of which nothing more is stored: the log keeps a late part of an earlier
// runner in place of the first one of this runner, and so none that goes on after it.
func TestOutputOfARefusedPartIsStoredAnew(t *testing.T) {
	first := job.Chunk{First: 1, Last: 1, Versions: []int64{1}, Software: "v1", Location: job.Location{Offset: 1, Records: 1}}
	output := outputOf([]job.Chunk{first}, [][]byte{[]byte("a")}, "")
	output.startRun(1, "v1")
	store := func(number, offset int64, data string) (chunk job.Chunk, stored string) {
		output.addEvent(1, number, []byte(data), 1, 0)
		chunk, all, part := output.takeUnsaved(1)
		chunk.Location = job.Location{Offset: offset, Records: 1}
		output.stored(part, chunk.Location)
		return chunk, string(all)
	}
	second, _ := store(2, 3, "b")
	third, _ := store(3, 4, "c")
	output.refused(second.Location) // that of the third follows
	if fourth, data := store(4, 5, "d"); fourth.First != 4 || data != "d" {
		t.Fatalf("stored events %d to %d, %q, before the latest part was refused", fourth.First, fourth.Last, data)
	}
	output.refused(third.Location)
	output.refused(job.Location{Offset: 5, Records: 1})
	if fifth, data := store(5, 6, "e"); fifth.First != 1 || fifth.Last != 5 || fifth.After != nil || data != "a\nb\nc\nd\ne" {
		t.Fatalf("stored events %d to %d, %q, after the latest part was refused", fifth.First, fifth.Last, data)
	}
}
