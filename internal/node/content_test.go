package node

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against tasks that start from their first event as one record of another task is no longer
// kept: it is the first in its partition.
func TestRecordsThatAreKeptAreLoadedBesideThoseThatAreNot(t *testing.T) {
	log := hostplatform.NewStore()
	server := httptest.NewServer(log)
	defer server.Close()
	n := New(Config{
		Settings:  platform.Settings{MemoryBytes: 1 << 20, Store: platform.StoreSettings{Address: strings.TrimPrefix(server.URL, "http://"), Partitions: 1}},
		LogOutput: io.Discard,
	})
	ctx := context.Background()
	var locations []job.Location
	store := func(records ...[]byte) {
		first, err := n.store.Append(ctx, contentTopic, 0, platform.Producer{}, records)
		if err != nil {
			t.Fatal(err)
		}
		for i, r := range records {
			locations = append(locations, job.Location{Offset: first.Offset + int64(i), Records: 1, Bytes: len(r)})
		}
	}
	store([]byte("a"), []byte("b"), []byte("c"))
	log.TrimTopic(contentTopic)
	store([]byte("d"), []byte("e"))
	locations[1], locations[3] = locations[3], locations[1]
	records, err := n.LoadAvailable(ctx, locations)
	var trimmed *platform.TrimmedError
	if !errors.As(err, &trimmed) {
		t.Errorf("the error is %v", err)
	}
	for i, want := range []string{"", "d", "", "", "e"} {
		if string(records[i]) != want {
			t.Errorf("record %d is %q instead of %q", i, records[i], want)
		}
	}
	if reads := log.Reads(contentTopic); reads != 2 {
		t.Errorf("%d reads: one that is refused and one of contiguous records are enough", reads)
	}
	if _, err := n.LoadContent(ctx, locations); !errors.As(err, &trimmed) {
		t.Errorf("the error of the whole is %v", err)
	}
}
