package batch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against an instance that stores nothing more: the outputs of a save were sent in one call,
// which the log refuses if it is too large. Its heartbeat was dropped if it was too large for a record,
// and the job claimed by others.
func TestOutputsOfASaveFitIntoTheCallsThatStoreThem(t *testing.T) {
	const callBytes = 1000
	var largest atomic.Int64
	log := hostplatform.NewStore()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("topic") == "content" {
			largest.Store(max(largest.Load(), r.ContentLength)) // the instance sends one append at a time
		}
		log.ServeHTTP(w, r)
	}))
	defer server.Close()
	b := &Batch{Node: node.New(node.Config{LogOutput: io.Discard, Settings: platform.Settings{
		MemoryBytes: 1 << 20, Store: platform.StoreSettings{Address: strings.TrimPrefix(server.URL, "http://"), Partitions: 2, RecordBytes: callBytes, CallBytes: callBytes},
	}})}
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	for _, loop := range b.Node.Loops() {
		loops.Go(func() { _ = loop(ctx) })
	}
	var parts []outputPart
	heartbeat := &job.Progress{Job: "j", Failed: []int{3}, MaxSlotWait: 7}
	for i := range 48 {
		output := &taskOutput{}
		output.startRun(1, "v1")
		output.addEvent(1, 1, bytes.Repeat([]byte{byte(i)}, callBytes/3), 1, 1)
		chunk, data, part := output.takeUnsaved(1)
		chunk.Task = i
		heartbeat.Chunks = append(heartbeat.Chunks, chunk)
		parts = append(parts, outputPart{output, part, data})
	}
	if !newRunner(b).storeProgress(ctx, []*job.Progress{heartbeat}, parts) || largest.Load() > callBytes {
		t.Fatalf("calls of up to %d bytes, of which the log takes %d", largest.Load(), callBytes)
	}
	if err := b.AppendRecord(ctx, job.Record{}); err != nil { // after the heartbeat
		t.Fatal(err)
	}
	var locations []job.Location
	var failed []int
	for _, data := range log.Records("control", 0) {
		r, err := job.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if r.Progress != nil && r.Progress.Job == "j" && r.Progress.MaxSlotWait == 7 {
			failed = append(failed, r.Progress.Failed...)
			for _, c := range r.Progress.Chunks {
				locations = append(locations, c.Location)
			}
		}
	}
	if len(locations) != len(parts) || len(failed) != 1 {
		t.Fatalf("the log has %d of %d chunks and %d failures, of one", len(locations), len(parts), len(failed))
	}
	stored, err := b.LoadContent(ctx, locations)
	if err != nil {
		t.Fatal(err)
	}
	for i, p := range parts {
		if !bytes.Equal(stored[i], p.data) || *p.output.savedAt != locations[i] {
			t.Errorf("part %d is not stored at its location", i)
		}
	}
}
