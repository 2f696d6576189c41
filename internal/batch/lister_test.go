package batch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// startedBatch returns a Batch whose node follows and writes the log until the test ends.
func startedBatch(t *testing.T, log http.Handler, store platform.StoreSettings) (*Batch, context.Context) {
	server := httptest.NewServer(log)
	t.Cleanup(server.Close)
	store.Address = strings.TrimPrefix(server.URL, "http://")
	b := &Batch{Node: node.New(node.Config{LogOutput: io.Discard, Settings: platform.Settings{MemoryBytes: 1 << 20, Store: store}})}
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	t.Cleanup(loops.Wait)
	t.Cleanup(cancel)
	for _, loop := range b.Node.Loops() {
		loops.Go(func() { _ = loop(ctx) })
	}
	return b, ctx
}

// Guards against results that wait for the records of all earlier results, one append after the
// other: on a slow log the last ones of a job were listed 5 to 10 s after the end of their runs.
func TestOutputsAreStoredWhileEarlierResultsWaitForTheLog(t *testing.T) {
	log, stored := hostplatform.NewStore(), make(chan struct{}, 100)
	release := make(chan struct{})
	b, ctx := startedBatch(t, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		control := r.Method == http.MethodPost && r.URL.Query().Get("topic") == "control"
		if control {
			select {
			case <-release:
			case <-r.Context().Done():
				return
			}
		}
		log.ServeHTTP(rw, r)
		if r.Method == http.MethodPost && !control {
			stored <- struct{}{}
		}
	}), platform.StoreSettings{Partitions: 1, RecordBytes: 1000, CallBytes: 5000})
	t.Cleanup(func() { close(release) })
	w := newResultWriter(b)
	go func() { _ = w.run(ctx) }()
	for i, id := range []string{"j1", "j2", "j1"} {
		w.queue <- taskResult{job: id, task: i, completed: true, output: []byte("output"), versions: []int64{1}}
		select {
		case <-stored:
		case <-time.After(10 * time.Second):
			t.Fatalf("output %d waits for the records of earlier results", i)
		}
	}
}

// Guards against an instance that lists nothing more: outputs and lists of results that exceed a
// record or a call are never stored as they are.
func TestResultsThatExceedARecordOrACallAreListed(t *testing.T) {
	const recordBytes, callBytes, tasks, large = 400, 500, 60, 7
	log := hostplatform.NewStore()
	log.SetRecordLimit(recordBytes)
	b, ctx := startedBatch(t, log, platform.StoreSettings{Partitions: 1, RecordBytes: recordBytes, CallBytes: callBytes})
	var batch []taskResult
	for i := range tasks {
		output := bytes.Repeat([]byte{byte('a' + i%26)}, 100)
		if i == large {
			output = make([]byte, recordBytes+1)
		}
		batch = append(batch, taskResult{job: "j", task: i, id: fmt.Sprint("t", i), completed: true, output: output, versions: []int64{1}})
	}
	w := newResultWriter(b)
	w.writeBatch(ctx, batch[:large+2])
	w.writeBatch(ctx, batch[large+2:])
	w.lists.Wait()
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
