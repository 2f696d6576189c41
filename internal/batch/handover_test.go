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

	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against an instance that stores nothing more: the outputs of a save were sent in one call,
// which the log refuses if it is too large.
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
	for i := range 7 {
		output := &taskOutput{}
		output.startRun(1, "v1")
		output.addEvent(1, 1, bytes.Repeat([]byte{byte('a' + i)}, callBytes/3), 1, 1)
		_, data, part := output.takeUnsaved(1)
		parts = append(parts, outputPart{output, part, data})
	}
	locations, err := newRunner(b).storeParts(ctx, parts)
	if err != nil || largest.Load() > callBytes {
		t.Fatalf("calls of up to %d bytes, of which the log takes %d: %v", largest.Load(), callBytes, err)
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
