package samples

import (
	"fmt"
	"strings"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/sample"
)

// snapshotOf returns n groups with one finished sample each. The prompts and texts are a
// third of pageBytes long, so that larger snapshots need several pages.
func snapshotOf(n int) sample.Snapshot {
	var c sample.Snapshot
	for i := range n {
		c.Groups = append(c.Groups, sample.Group{ID: fmt.Sprintf("g%02d", i), Prompt: strings.Repeat("p", pageBytes/3), Size: 1})
		c.Samples = append(c.Samples, sample.Sample{ID: sample.ID(c.Groups[i].ID, 0), Group: c.Groups[i].ID, Text: strings.Repeat("t", pageBytes/3)})
	}
	return c
}

func TestMirrorAcceptsMessagesInOrderFromTheCurrentOwner(t *testing.T) {
	for _, c := range []struct {
		name string
		put  mirrorPut
		want bool
	}{
		{"next message", mirrorPut{Term: 5, Seq: 8}, true},
		{"message after a missing one", mirrorPut{Term: 5, Seq: 9}, false},
		{"repeated message", mirrorPut{Term: 5, Seq: 7}, false},
		{"full message that was overtaken", mirrorPut{Term: 5, Seq: 6, Full: true}, false},
		{"later full message", mirrorPut{Term: 5, Seq: 10, Full: true}, true},
		{"message of a former owner", mirrorPut{Term: 4, Seq: 8, Full: true}, false},
		{"first message of a later owner", mirrorPut{Term: 6, Seq: 1, Full: true}, true},
		{"second message of a later owner without the first", mirrorPut{Term: 6, Seq: 2}, false},
	} {
		store := newMirrorStore()
		if !store.put(0, mirrorPut{Trainer: "coach", Term: 5, Seq: 7, Full: true, Contents: snapshotOf(1)}) {
			t.Fatal("the first message was rejected")
		}
		c.put.Trainer = "coach"
		if got := store.put(0, c.put); got != c.want {
			t.Errorf("%s: accepted %t, want %t", c.name, got, c.want)
		}
	}
}

// Guards against samples of a definition that a later owner has replaced.
func TestContentsOfLaterOwnersAreRestoredFirst(t *testing.T) {
	page := func(term record.Offset, steps ...int64) mirrorPage {
		p := mirrorPage{Term: term}
		for _, step := range steps {
			p.Contents.Groups = append(p.Contents.Groups, sample.Group{ID: "g", Step: step})
			p.Contents.Samples = append(p.Contents.Samples, sample.Sample{ID: "s", Segments: []sample.Segment{{Version: step}}})
		}
		return p
	}
	restored := groupsBeforeSamples([]mirrorPage{page(0, 4), page(5, 2), page(7, 1), page(5, 3)})
	for i, step := range []int64{1, 2, 3, 4} {
		if restored[0].Groups[i].Step != step || restored[1].Samples[i].Segments[0].Version != step {
			t.Fatalf("contents are restored in the order %+v", restored)
		}
	}
}

func TestMirrorPagesContainEveryItemOnce(t *testing.T) {
	const groups = 7
	store := newMirrorStore()
	for i, page := range splitPages(snapshotOf(groups)) {
		if !store.put(0, mirrorPut{Trainer: "coach", Term: record.Offset(3), Seq: uint64(i), Full: i == 0, Contents: page}) {
			t.Fatalf("page %d was rejected", i)
		}
	}
	pages, _ := store.pages("coach")
	if len(pages) < 2 {
		t.Fatalf("%d pages, want several", len(pages))
	}
	itemCounts := map[string]int{}
	for i := range pages {
		rebuilt, _ := store.pages("coach") // one call per page, as in the fetches of a new owner
		for _, g := range rebuilt[i].Groups {
			itemCounts[g.ID]++
		}
		for _, s := range rebuilt[i].Samples {
			itemCounts[s.ID]++
		}
	}
	if len(itemCounts) != 2*groups {
		t.Fatalf("%d items, want %d", len(itemCounts), 2*groups)
	}
	for id, n := range itemCounts {
		if n != 1 {
			t.Errorf("item %s is on the pages %d times", id, n)
		}
	}
}

func TestBatchPagesContainAllSamplesInOrder(t *testing.T) {
	batch := &sample.Batch{Number: 3, Samples: snapshotOf(9).Samples}
	var got []sample.Sample
	for {
		page := batchPageFrom(batch, len(got))
		got = append(got, page.Batch.Samples...)
		if !page.More {
			break
		}
	}
	if len(got) != len(batch.Samples) {
		t.Fatalf("%d samples, want %d", len(got), len(batch.Samples))
	}
	for i := range got {
		if got[i].ID != batch.Samples[i].ID {
			t.Fatalf("sample %d is %s, want %s", i, got[i].ID, batch.Samples[i].ID)
		}
	}
}
