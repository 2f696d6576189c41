package batch

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/platform"
)

func TestRunThatStartsOverAndEndsWithoutEventsDoesNotCompleteTheOtherVersionsOutput(t *testing.T) {
	b := &Batch{Node: node.New(node.Config{Settings: platform.Settings{Store: platform.StoreSettings{Partitions: 1, RecordBytes: 1 << 20}}, LogOutput: io.Discard})}
	output := &taskOutput{}
	read := func(run int64, software, events string) (assign.Outcome, error) {
		output.startRun(run, software)
		return b.readEvents(strings.NewReader(events), taskRun{id: run, output: output}, 1, nil)
	}
	if outcome, _ := read(1, "v1", "id: 1\ndata: a\n\nid: 2\ndata"); outcome != assign.Broken {
		t.Fatalf("a torn stream ended as %d", outcome)
	}
	if outcome, err := read(2, "v2", ""); outcome != assign.Broken || !errors.Is(err, errNoEvents) {
		t.Fatalf("a run without events ended as %d, %v, with one event of another version kept", outcome, err)
	}
	if outcome, err := read(3, "v2", "id: 1\ndata: b\n\n"); outcome != assign.Completed || err != nil {
		t.Fatalf("a complete run ended as %d, %v", outcome, err)
	}
	if data, _, _ := output.snapshot(); string(data) != "b" {
		t.Fatalf("the output is %q", data)
	}
	if outcome, err := read(4, "v2", ""); outcome != assign.Completed || errors.Is(err, io.EOF) {
		t.Fatalf("a resumed run without further events ended as %d, %v", outcome, err)
	}
}
