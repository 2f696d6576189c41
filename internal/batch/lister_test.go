package batch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against an instance that lists nothing more: outputs and lists of results that exceed a
// record or a call are never stored as they are.
func TestResultsThatExceedARecordOrACallAreListed(t *testing.T) {
	const recordBytes, callBytes, tasks, large = 400, 500, 60, 7
	log := hostplatform.NewStore()
	log.SetRecordLimit(recordBytes)
	server := httptest.NewServer(log)
	defer server.Close()
	b := &Batch{Node: node.New(node.Config{LogOutput: io.Discard, Settings: platform.Settings{
		MemoryBytes: 1 << 20,
		Store:       platform.StoreSettings{Address: strings.TrimPrefix(server.URL, "http://"), Partitions: 1, RecordBytes: recordBytes, CallBytes: callBytes},
	}})}
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	for _, loop := range b.Node.Loops() {
		loops.Go(func() { _ = loop(ctx) })
	}
	var batch []taskResult
	for i := range tasks {
		output := bytes.Repeat([]byte{byte('a' + i%26)}, 100)
		if i == large {
			output = make([]byte, recordBytes+1)
		}
		batch = append(batch, taskResult{job: "j", task: i, id: fmt.Sprint("t", i), completed: true, output: output, versions: []int64{1}})
	}
	newResultWriter(b).writeBatch(ctx, batch[:large+2])
	newResultWriter(b).writeBatch(ctx, batch[large+2:])
	listed := map[int]bool{}
	for _, data := range log.Records("control", 0) {
		r, err := job.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if r.Listed == nil {
			continue
		}
		for _, result := range r.Listed.Results {
			stored, err := b.LoadContent(ctx, []job.Location{result.Location})
			if wanted := batch[result.Task].output; err != nil || result.Completed != (result.Task != large) || result.Completed && !bytes.Equal(stored[0], wanted) {
				t.Errorf("task %d is listed as %+v with %q: %v", result.Task, result, stored, err)
			}
			listed[result.Task] = true
		}
	}
	if len(listed) != tasks {
		t.Errorf("%d of %d tasks are listed", len(listed), tasks)
	}
}
