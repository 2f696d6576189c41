package occupancy

import (
	"fmt"
	"maps"
	"time"
)

// Table holds the loads of the other runners. It is not safe for concurrent use.
type Table struct {
	self    string
	senders map[string]*sender
	totals  map[string]Load // by engine, over all senders
	sum     map[string]Load // copy of totals that Sum has returned; nil: totals has changed since
	version uint64
	applied uint64 // number of messages applied
}

// sender holds the loads of another runner.
type sender struct {
	incarnation int64
	sequence    uint64
	heardAt     time.Duration // when a message was last applied
	loads       map[string]heldLoad
}

// heldLoad is a load with the number of the message that set it, in the order of Apply.
type heldLoad struct {
	Load
	applied uint64
}

// Sum is the sum of the loads of the other runners.
type Sum struct {
	Loads   map[string]Load // by engine; must not be changed
	Version uint64          // changes with Loads
	Runners int             // number of runners whose loads are included
	// OldestNews is the age of the latest message of the runner that was heard least recently.
	OldestNews time.Duration
}

// NewTable returns an empty table of the runner self.
func NewTable(self string) *Table {
	return &Table{self: self, senders: map[string]*sender{}, totals: map[string]Load{}}
}

// Apply applies a message that the runner from has sent. A message that is not applied changes
// nothing; see the errors of this package.
func (t *Table) Apply(now time.Duration, from string, m Message) error {
	if err := m.check(); err != nil {
		return err
	}
	if from != m.From || from == t.self {
		return fmt.Errorf("%w: a message of %q came from %q to %q", ErrMalformed, m.From, from, t.self)
	}
	t.expire(now)
	s := t.senders[from]
	switch {
	case s != nil && m.Incarnation < s.incarnation:
		return ErrOldIncarnation
	case s != nil && m.Incarnation == s.incarnation && (m.Sequence < s.sequence || m.Sequence == s.sequence && !m.Full):
		return ErrFullNeeded // overtaken by a later message
	case !m.Full && (s == nil || m.Incarnation != s.incarnation || m.Base > s.sequence):
		return ErrFullNeeded
	case s == nil && len(t.senders) >= maxRunners:
		return ErrTooManyRunners
	}
	if s == nil {
		s = &sender{loads: make(map[string]heldLoad, len(m.Loads))}
		t.senders[from] = s
	}
	s.incarnation, s.sequence, s.heardAt = m.Incarnation, m.Sequence, now
	t.applied++
	for _, l := range m.Loads {
		before := s.loads[l.Engine].Load
		t.add(l.Engine, l.Runs-before.Runs, l.Tokens-before.Tokens)
		if l.empty() {
			delete(s.loads, l.Engine)
		} else {
			s.loads[l.Engine] = heldLoad{l, t.applied}
		}
	}
	if m.Full {
		for engine, l := range s.loads {
			if l.applied != t.applied {
				t.add(engine, -l.Runs, -l.Tokens)
				delete(s.loads, engine)
			}
		}
	}
	return nil
}

// Drop removes the loads of a runner that is gone.
func (t *Table) Drop(name string) {
	s := t.senders[name]
	if s == nil {
		return
	}
	for _, l := range s.loads {
		t.add(l.Engine, -l.Runs, -l.Tokens)
	}
	delete(t.senders, name)
}

// Others returns the sum of the loads of the other runners on the engine.
func (t *Table) Others(now time.Duration, engine string) Load {
	t.expire(now)
	l := t.totals[engine]
	l.Engine = engine
	return l
}

// Sum returns the sums over all engines on which other runners have runs.
func (t *Table) Sum(now time.Duration) Sum {
	t.expire(now)
	if t.sum == nil {
		t.sum = maps.Clone(t.totals)
		t.version++
	}
	s := Sum{Loads: t.sum, Version: t.version, Runners: len(t.senders)}
	for _, other := range t.senders {
		s.OldestNews = max(s.OldestNews, now-other.heardAt)
	}
	return s
}

// add adds to the total of an engine.
func (t *Table) add(engine string, runs int, tokens int64) {
	if runs == 0 && tokens == 0 {
		return
	}
	t.sum = nil
	l := Load{engine, t.totals[engine].Runs + runs, t.totals[engine].Tokens + tokens}
	if l.empty() {
		delete(t.totals, engine)
	} else {
		t.totals[engine] = l
	}
}

func (t *Table) expire(now time.Duration) {
	for name, s := range t.senders {
		if now-s.heardAt > entryLifetime {
			t.Drop(name)
		}
	}
}
