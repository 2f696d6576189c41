package samples

import (
	"fmt"
	"strings"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/sample"
)

func groupsOf(n int) sample.Snapshot {
	var c sample.Snapshot
	for i := range n {
		c.Groups = append(c.Groups, sample.Group{ID: fmt.Sprintf("g%02d", i), Prompt: strings.Repeat("p", pageBytes/3), Size: 1})
		c.Samples = append(c.Samples, sample.Sample{ID: sample.ID(c.Groups[i].ID, 0), Group: c.Groups[i].ID, Text: strings.Repeat("t", pageBytes/3)})
	}
	return c
}

func TestMirrorTakesMessagesInOrderOfTheCurrentOwner(t *testing.T) {
	for _, c := range []struct {
		name string
		put  mirrorPut
		want bool
	}{
		{"next message", mirrorPut{Term: 5, Seq: 8}, true},
		{"a message is missing", mirrorPut{Term: 5, Seq: 9}, false},
		{"a repeat", mirrorPut{Term: 5, Seq: 7}, false},
		{"a former owner", mirrorPut{Term: 4, Seq: 8, Full: true}, false},
		{"a later owner's first", mirrorPut{Term: 6, Seq: 1, Full: true}, true},
		{"a later owner without its first", mirrorPut{Term: 6, Seq: 2}, false},
	} {
		k := newMirrorStore()
		if !k.put(0, mirrorPut{Trainer: "coach", Term: 5, Seq: 7, Full: true, Contents: groupsOf(1)}) {
			t.Fatal("the first message was refused")
		}
		c.put.Trainer = "coach"
		if got := k.put(0, c.put); got != c.want {
			t.Errorf("%s: accepted %t, want %t", c.name, got, c.want)
		}
	}
}

func TestMirrorPagesHoldEverythingOnce(t *testing.T) {
	const groups = 7
	k := newMirrorStore()
	for i, page := range splitPages(groupsOf(groups)) {
		if !k.put(0, mirrorPut{Trainer: "coach", Term: record.Offset(3), Seq: uint64(i), Full: i == 0, Contents: page}) {
			t.Fatalf("page %d was refused", i)
		}
	}
	pages := k.pages("coach")
	if len(pages) < 2 {
		t.Fatalf("%d pages, want several", len(pages))
	}
	seen := map[string]int{}
	for i := range pages {
		for _, g := range k.pages("coach")[i].Groups { // asked for one by one, as a new owner does
			seen[g.ID]++
		}
		for _, s := range k.pages("coach")[i].Samples {
			seen[s.ID]++
		}
	}
	if len(seen) != 2*groups {
		t.Fatalf("%d items, want %d", len(seen), 2*groups)
	}
	for id, n := range seen {
		if n != 1 {
			t.Errorf("%s came %d times", id, n)
		}
	}
}

func TestPagesOfALargeBatch(t *testing.T) {
	whole := &sample.Batch{Number: 3, Samples: groupsOf(9).Samples}
	var got []sample.Sample
	for {
		page := pageOf(whole, len(got))
		got = append(got, page.Batch.Samples...)
		if !page.More {
			break
		}
	}
	if len(got) != len(whole.Samples) {
		t.Fatalf("%d samples, want %d", len(got), len(whole.Samples))
	}
	for i := range got {
		if got[i].ID != whole.Samples[i].ID {
			t.Fatalf("sample %d is %s, want %s", i, got[i].ID, whole.Samples[i].ID)
		}
	}
}
