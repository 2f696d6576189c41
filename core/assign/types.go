package assign

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/speed"
)

// Limits are the thresholds of the decisions that no observation gives.
type Limits struct {
	// Backoff is how long an engine gets no run after it refused one, had too old weights for
	// one or had one moved off it. After a broken stream it is twice as long.
	Backoff time.Duration
	// MinRunAge is the age below which a run does not move for speed alone: its engine's speed
	// is not known from less.
	MinRunAge time.Duration
	// GainOverCost is by how much the expected gain of a move must exceed its expected cost.
	GainOverCost float64
	// MinSpeedGain is the smallest part of its remaining time that a run must gain on a faster
	// engine.
	MinSpeedGain float64
	// MinDueGain is the smallest part of the time until its job is due that it must gain as well.
	MinDueGain float64
}

// DefaultLimits returns the limits of the service.
func DefaultLimits() Limits {
	return Limits{
		// A few decode steps, after which a slot is usually free on an engine that had none.
		Backoff:   150 * time.Millisecond,
		MinRunAge: 400 * time.Millisecond,
		// Intervals and lengths are estimates; a move that gains little is not worth the prefill
		// that it takes from the runs of the other engine.
		GainOverCost: 3,
		// The estimates of equal engines differ by some percent. Without a margin a run moves from
		// one to the other again and again.
		MinSpeedGain: 0.12,
		// A group that is whole a moment earlier long before it is due helps nobody, while each move
		// takes a connection and a prefill.
		MinDueGain: 0.06,
	}
}

// Key identifies a task by its job and its index in the job.
type Key struct {
	Job  string
	Task int
}

// Task is a task that waits for an engine or runs on one.
type Task struct {
	Key            Key
	Service        string
	Model          string
	MinVersion     int64
	Group          string // tasks of a group have the same prompt
	ExpectedTokens int64  // expected output, a hint that is often far off; zero or less: unknown
	PromptTokens   int64  // zero: unknown
	// Resubmitted is set if an earlier job had the task. The task starts first, because its
	// trainer waits for it in any case.
	Resubmitted  bool
	Submitted    time.Duration // time of its job's submission; breaks ties, the earlier starts first
	Kept         Kept          // of earlier runs
	WaitingSince time.Duration // when it began to wait for an engine

	notBefore   time.Duration // earliest start of the next run
	avoidEngine string        // engine of its last run
	runs        int           // runs started
	run         *run          // nil: the task waits
	moved       bool          // its last run was moved: it starts first
	stuckRuns   int           // runs that were moved for want of events
	group       *group
	remaining   time.Duration // expected, as of the latest order; zero: unknown
	slack       time.Duration // until it must start to be in time, as of the latest order
}

// Engine is a target that runs tasks. Slots is the maximum number of concurrent runs.
type Engine struct {
	ID            string
	Service       string
	Software      string // what its events are made by: the version of its program, not of its weights, and its service
	Slots         int
	Ready         bool
	Versions      map[string]int64 // weight versions by model
	LoadOrderedAt time.Duration    // time of the latest order to load weights; zero: none
	LoadingModel  string           // model of that order
	ReclaimedAt   time.Duration    // when the engine goes; zero: unknown
	// Limited is set for an engine that limits the rate of its requests: a run needs a permit.
	Limited bool
	// Serves lists the models whose next job the engine can run. Of these models one is the
	// engine's home model.
	Serves []string
}

// Start asks the caller to start a run of a task on an engine.
type Start struct {
	Run         int64
	Task        Key
	Engine      string
	ResumeAfter int64 // number of the last event kept: the run resumes after it; zero: it starts from the first
	Inputs      Inputs
}

// Inputs are what a start was decided on.
type Inputs struct {
	Remaining  time.Duration // expected duration of the run; zero: unknown
	Slack      time.Duration // until the task must have started to be in time
	SlackKnown bool
	Waited     time.Duration // since the task could start
	Runs       int           // of the task, with this one
	Own        int           // runs on the engine, with this one
	Others     int           // runs of the other runners on the engine
	NewsAge    time.Duration // of the runs of the others; zero: no other runner is known
}

// Stop asks the caller to end a run. RunsToMove leaves the run assigned until the caller calls
// Requeue; Drop has removed the run and its task.
type Stop struct {
	Run    int64
	Task   Key
	Engine string
	Reason string
}

// Outcome states how a run ended.
type Outcome uint8

// Only Completed and Canceled remove the task; after the others it waits again.
const (
	Completed Outcome = iota
	NotRun            // the engine refused the request
	Broken            // the stream was interrupted or did not start
	Stale             // the engine's weights are too old
	Canceled          // ended by the caller
)

// run is a run that was started and has not been released.
type run struct {
	id          int64
	task        *Task
	engine      *engine
	started     time.Duration
	resumed     int64 // events kept from earlier runs
	events      int64 // received from this run
	lastEventAt time.Duration
	moving      bool // RunsToMove has returned it
	stuck       bool // and it makes no progress
	long        bool // counted in longRuns of its engine
}

// engine is an engine with its runs and its observed speed.
type engine struct {
	Engine
	running           int
	longRuns          int
	tokens            int64                    // that the runs are expected to hold
	others            Load                     // of the other runners
	published         int                      // own runs when the others were last told
	full              bool                     // by the latest news
	freeSince         time.Duration            // when news first had a free slot
	positions         map[string]int           // by model, in the order of overflow
	backoffUntil      time.Duration            // no run starts on the engine earlier
	lastLoadOrderedAt time.Duration            // latest LoadOrderedAt so far; a load pauses the runs
	runsByGroup       map[string]int           // numbers of runs
	homeModel         string                   // empty: none
	permits           permits                  // used while Limited
	service           *speed.Service           // estimates of the engine's service
	speeds            map[string]*speed.Engine // by model
}

// speed returns the estimates of the engine for a model.
func (e *engine) speed(model string) *speed.Engine {
	estimate := e.speeds[model]
	if estimate == nil {
		estimate = e.service.Engine(e.ID, model)
		e.speeds[model] = estimate
	}
	return estimate
}

// load returns what the engine runs, with some runs more.
func (e *engine) load(moreRuns int) speed.Load {
	return speed.Load{Runs: e.occupied() + moreRuns, Tokens: e.tokens + e.others.Tokens}
}
