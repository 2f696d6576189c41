package occupancy_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthfold/amaranthfold/core/occupancy"
)

const ms = time.Millisecond

// loadsOf returns a run with 1,000 tokens on each of n engines.
func loadsOf(n int) []occupancy.Load {
	loads := make([]occupancy.Load, n)
	for i := range loads {
		loads[i] = occupancy.Load{Engine: fmt.Sprintf("i-%010x", i*7919), Runs: 1, Tokens: 1000}
	}
	return loads
}

// Guards against news that waits although nothing was sent for long, and against more messages
// than the intervals allow while loads keep changing.
func TestChangesAreSentAtOnceAndThenAtIntervals(t *testing.T) {
	p := occupancy.NewPublisher("a", 1, 0)
	var sent []string
	for now := time.Duration(0); now < 2500*ms; now += 10 * ms {
		loads := []occupancy.Load(nil)
		if now >= 30*ms { // every look brings another number of runs
			loads = []occupancy.Load{{Engine: "e", Runs: 100 + int(now/(10*ms)), Tokens: int64(now)}}
			if now == 1500*ms {
				loads = append(loads, loadsOf(300)...)
			}
		}
		for _, m := range p.Next(now, loads, []string{"a", "b"}) {
			if !slices.Equal(m.To, []string{"b"}) {
				t.Fatalf("sent to %v", m.To)
			}
			sent = append(sent, fmt.Sprint(now.Milliseconds(), " ", m.Full))
			p.Delivered("b")
		}
	}
	got := strings.Join(sent, ", ")
	const want = "30 true, 80 false, 130 false, 180 false, 230 false, 280 false, 330 false, 380 false, 430 false, 480 false, " +
		"680 false, 880 false, 1080 false, 1280 false, 1480 false, " + // steady
		"1500 false, 1550 false, 1600 false, 1650 false, 1700 false, 1750 false, 1800 false, 1850 false, 1900 false, 1950 false, " + // sudden
		"2030 true, 2230 false, 2430 false"
	if got != want {
		t.Errorf("sent at %s\nwant %s", got, want)
	}
}

// Guards against runners without runs that keep sending, which would cost every instance.
func TestARunnerWithoutRunsFallsSilent(t *testing.T) {
	p := occupancy.NewPublisher("a", 1, 0)
	messages := 0
	for now := time.Duration(0); now < 10*time.Second; now += 50 * ms {
		var loads []occupancy.Load
		if now == time.Second {
			loads = loadsOf(3)
		}
		for _, m := range p.Next(now, loads, []string{"b"}) {
			messages++
			p.Delivered(m.To[0])
		}
	}
	if messages != 2 || p.WakeAt() < time.Hour {
		t.Errorf("%d messages, wakes at %v", messages, p.WakeAt())
	}
}

// Guards against sums that miss a change, count one twice or go back in time when messages are
// lost or reordered, or when the sender restarts.
func TestMessagesOutOfSequenceChangeNothing(t *testing.T) {
	table := occupancy.NewTable("b")
	message := func(incarnation int64, sequence, base uint64, runs int) occupancy.Message {
		return occupancy.Message{
			From: "a", Incarnation: incarnation, Sequence: sequence, Base: base, Full: base == 0,
			Loads: []occupancy.Load{{Engine: "e", Runs: runs, Tokens: 10 * int64(runs)}},
		}
	}
	for i, c := range []struct {
		m    occupancy.Message
		err  error
		runs int
	}{
		{message(5, 3, 2, 1), occupancy.ErrFullNeeded, 0}, // the first message is lost
		{message(5, 4, 0, 2), nil, 2},
		{message(5, 5, 4, 3), nil, 3},
		{message(5, 4, 3, 9), occupancy.ErrFullNeeded, 3}, // overtaken
		{message(5, 3, 0, 9), occupancy.ErrFullNeeded, 3},
		{message(5, 5, 0, 3), nil, 3},                     // sent again, as the response was lost
		{message(5, 7, 6, 9), occupancy.ErrFullNeeded, 3}, // the one before is lost
		{message(5, 8, 4, 4), nil, 4},                     // holds what changed after 4
		{message(6, 9, 8, 9), occupancy.ErrFullNeeded, 4}, // restarted
		{message(6, 1, 0, 5), nil, 5},
		{message(5, 10, 0, 9), occupancy.ErrOldIncarnation, 5},
		{message(6, 2, 1, 0), nil, 0},
	} {
		if err := table.Apply(0, "a", c.m); !errors.Is(err, c.err) {
			t.Errorf("message %d: %v", i, err)
		}
		want := occupancy.Load{Engine: "e", Runs: c.runs, Tokens: 10 * int64(c.runs)}
		if got := table.Others(0, "e"); got != want {
			t.Errorf("after message %d: %+v, want %+v", i, got, want)
		}
	}
}

// Guards against loads of a runner that is gone.
func TestEntriesAreDropped(t *testing.T) {
	table := occupancy.NewTable("self")
	for i, name := range []string{"a", "b", "c"} {
		m := occupancy.Message{From: name, Incarnation: 1, Sequence: 1, Full: true, Loads: loadsOf(2)}
		if err := table.Apply(time.Duration(i)*time.Second, name, m); err != nil {
			t.Fatal(err)
		}
	}
	engine := loadsOf(1)[0].Engine
	sum := table.Sum(3 * time.Second)
	if sum.Runners != 3 || sum.OldestNews != 3*time.Second || sum.Loads[engine] != (occupancy.Load{Engine: engine, Runs: 3, Tokens: 3000}) {
		t.Errorf("%+v", sum)
	}
	if runs := table.Others(3001*ms, engine).Runs; runs != 2 {
		t.Errorf("%d runs after 3 s", runs)
	}
	table.Drop("c")
	if sum := table.Sum(3001 * ms); sum.Runners != 1 || sum.Loads[engine].Runs != 1 || sum.OldestNews != 2001*ms {
		t.Errorf("%+v", sum)
	}
}

// malformed returns messages that must be refused, by their fault.
func malformed(t testing.TB) map[string][]byte {
	out := map[string][]byte{"noise": []byte("noise"), "empty": nil, "array of 2^32 engines": {0xa1, 6, 0x9b, 0, 0, 0, 1, 0, 0, 0, 0}}
	for fault, fields := range map[string]map[int]any{
		"no sender":          {1: ""},
		"long sender":        {1: strings.Repeat("a", 300)},
		"no incarnation":     {2: 0},
		"no sequence number": {3: 0},
		"base too new":       {4: 2},
		"negative runs":      {7: []int{-1, 0}},
		"negative tokens":    {8: []int{0, -1}},
		"enormous tokens":    {8: []uint64{1 << 63, 0}},
		"engine twice":       {6: []string{"e", "e"}},
		"engine without id":  {6: []string{"", "f"}},
		"missing column":     {8: []int{1}},
		"millions of engines": {
			5: true, 6: make([]string, 3_000_000), 7: make([]int, 3_000_000), 8: make([]int, 3_000_000),
		},
	} {
		message := map[int]any{1: "a", 2: 1, 3: 2, 4: 1, 6: []string{"e", "f"}, 7: []int{1, 2}, 8: []int{3, 4}, 99: "unknown field"}
		if fault == "no sender" { // the message as it is must be accepted
			data, _ := cbor.Marshal(message)
			if _, err := occupancy.Decode(data); err != nil {
				t.Fatal(err)
			}
		}
		for k, v := range fields {
			message[k] = v
		}
		out[fault], _ = cbor.Marshal(message)
	}
	return out
}

// Guards against a message of a faulty instance that ends the process or spoils the sums.
func TestMalformedMessagesAreRefused(t *testing.T) {
	for fault, data := range malformed(t) {
		if m, err := occupancy.Decode(data); !errors.Is(err, occupancy.ErrMalformed) {
			t.Errorf("%s: decoded as %+v, %v", fault, m, err)
		}
	}
	m := occupancy.Message{From: "a", Incarnation: 1, Sequence: 1, Full: true}
	if err := occupancy.NewTable("a").Apply(0, "a", m); !errors.Is(err, occupancy.ErrMalformed) {
		t.Errorf("a message of the runner itself: %v", err)
	}
}

// FuzzDecode decodes arbitrary bytes. What is accepted must leave sums within the limits, and
// encode to a message that is accepted too.
func FuzzDecode(f *testing.F) {
	for _, data := range malformed(f) {
		f.Add(data[:min(len(data), 1000)])
	}
	good, _ := occupancy.Encode(occupancy.Message{From: "a", Incarnation: 1, Sequence: 1, Full: true, Loads: loadsOf(2)})
	f.Add(good)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := occupancy.Decode(data)
		if err != nil {
			return
		}
		again, err := occupancy.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := occupancy.Decode(again); err != nil {
			t.Fatalf("accepted, but not once encoded again: %v", err)
		}
		table := occupancy.NewTable("self")
		_ = table.Apply(0, m.From, m)
		for _, l := range table.Sum(0).Loads {
			if l.Runs < 0 || l.Tokens < 0 {
				t.Fatalf("%+v", l)
			}
		}
	})
}
