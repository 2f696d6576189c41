// Package occupancy tells the runners of a service how many runs and tokens the other runners
// have on each engine.
//
// It answers the load of several runners that fill the same engines at once: with 4 runners, 44
// engines of 8 slots and 568 tasks submitted within 50 ms, 15 % of the runs waited 0.5 to 0.9 s in
// an engine's own queue, because each runner saw its own runs only.
//
// A Publisher decides which messages a runner sends to the others, and when; a Table holds what
// it has received. Every message states absolute values. An incremental message holds the engines
// that changed after the message with the sequence number Base; the receiver applies it only if
// it has that message or a later one, and otherwise waits for a full message.
//
// The package has no clock, no goroutine and no I/O: times are passed in as readings of one
// clock, and the caller sends what Next returns.
package occupancy

import (
	"errors"
	"fmt"
	"time"
)

const (
	// burstInterval is the shortest time between two messages to a runner. It is a few times the
	// delay of a message, so that runners that start at once see each other's first runs before
	// they place the next ones.
	burstInterval = 50 * time.Millisecond
	// steadyInterval is the shortest time between two messages outside a burst.
	steadyInterval = 200 * time.Millisecond
	// quietPeriod is the time without changes after which a change starts a burst.
	quietPeriod = 2 * steadyInterval
	// burstDuration and burstPause bound the bursts, and with them the messages to a runner, to
	// 14 a second on average.
	burstDuration = 500 * time.Millisecond
	burstPause    = 500 * time.Millisecond
	// One in burstFraction of the runs, by their largest number of late, must have changed since
	// the last message to start a burst while there are other changes: a step that starts while
	// the previous one ends. Measured by the current number, the last few ends of a step start
	// bursts, and the next step then falls into the pause.
	burstFraction = 8
	// peakDecay is the part of the largest number of runs that is forgotten at each full message.
	peakDecay = 8
	// fullInterval is the time between full messages.
	fullInterval = 2 * time.Second
	// entryLifetime is how long the loads of a runner count after its latest message. One full
	// message may be lost.
	entryLifetime = 3 * time.Second
	// failureBackoff is how long nothing is sent to a runner that has failed repeatedly.
	failureBackoff = time.Second
	// defaultTokenStep is the number of tokens below which a change waits for the next full
	// message. Every event of a run adds tokens, so that all engines would change all the time.
	defaultTokenStep = 4096
)

// Limits of a message. They are several times what 12,000 engines need.
const (
	MaxMessageBytes = 1 << 20
	maxEngines      = 1 << 15 // in one message
	maxNameBytes    = 256     // of an engine or runner
	maxRuns         = 1 << 20 // of one runner on one engine
	maxTokens       = 1 << 40 // of one runner on one engine
	maxRunners      = 256     // of which a Table holds loads
)

// Load is the number of runs on an engine and of the tokens that they hold.
type Load struct {
	Engine string
	Runs   int
	Tokens int64
}

func (l Load) empty() bool { return l.Runs == 0 && l.Tokens == 0 }

// Message holds loads of one runner.
type Message struct {
	// To lists the runners that the message is to be sent to. It is not encoded.
	To          []string
	From        string // the sender
	Incarnation int64  // start of the sender's process, Unix milliseconds
	// Sequence numbers the states that the incarnation has published, from 1.
	Sequence uint64
	// Base is the sequence number that an incremental message builds on. Full messages have none.
	Base uint64
	// Full is set if Loads holds all engines on which the sender has runs. Otherwise it holds
	// those that changed after Base; a load of zero removes the engine.
	Full  bool
	Loads []Load // sorted by engine
}

// Errors of Table.Apply. ErrMalformed and ErrTooManyRunners do not depend on earlier messages.
var (
	// ErrMalformed is returned for a message that no publisher generates.
	ErrMalformed = errors.New("malformed occupancy message")
	// ErrFullNeeded is returned for a message that does not follow the messages received.
	ErrFullNeeded = errors.New("occupancy message out of sequence: a full one is needed")
	// ErrOldIncarnation is returned for a message of an earlier process of the sender.
	ErrOldIncarnation = errors.New("occupancy message of an earlier incarnation")
	// ErrTooManyRunners is returned for a message of a further runner if the table is full.
	ErrTooManyRunners = errors.New("occupancy of too many runners")
)

// check returns an error that wraps ErrMalformed if the message is not valid.
func (m *Message) check() error {
	switch {
	case m.From == "" || len(m.From) > maxNameBytes:
		return fmt.Errorf("%w: sender name of %d bytes", ErrMalformed, len(m.From))
	case m.Incarnation <= 0:
		return fmt.Errorf("%w: incarnation %d", ErrMalformed, m.Incarnation)
	case m.Sequence == 0, !m.Full && m.Base >= m.Sequence:
		return fmt.Errorf("%w: sequence number %d after %d", ErrMalformed, m.Sequence, m.Base)
	case len(m.Loads) > maxEngines:
		return fmt.Errorf("%w: %d engines, at most %d are allowed", ErrMalformed, len(m.Loads), maxEngines)
	}
	for i, l := range m.Loads {
		switch {
		case l.Engine == "" || len(l.Engine) > maxNameBytes:
			return fmt.Errorf("%w: engine name of %d bytes", ErrMalformed, len(l.Engine))
		case i > 0 && l.Engine <= m.Loads[i-1].Engine:
			return fmt.Errorf("%w: engine %q is listed twice or out of order", ErrMalformed, l.Engine)
		case l.Runs < 0 || l.Runs > maxRuns:
			return fmt.Errorf("%w: %d runs on engine %q", ErrMalformed, l.Runs, l.Engine)
		case l.Tokens < 0 || l.Tokens > maxTokens:
			return fmt.Errorf("%w: %d tokens on engine %q", ErrMalformed, l.Tokens, l.Engine)
		}
	}
	return nil
}
