package assign

import "time"

const (
	// freshNews is how old the news of the other runners may be for a start on an engine that
	// is not home to the model: two intervals between the messages of a runner.
	freshNews = 400 * time.Millisecond
	// newsWait is how long a task waits for such news. It is longer than the time within which
	// trainers that submit together do so (50 ms) and a message takes, and shorter than the
	// wait at an engine that several runners have filled (0.5 to 0.9 s).
	newsWait = 100 * time.Millisecond
	// overflowTurn is how long a free slot is left to each of the models that come before one in
	// the order of an engine that is home to neither: more than the interval between the messages
	// of a runner. maxOverflowPosition bounds the time for which a slot stays free.
	overflowTurn        = 300 * time.Millisecond
	maxOverflowPosition = 2
	// newsLifetime is how old news may be to be used at all.
	newsLifetime = 3 * time.Second
	// maxTaskTokens bounds the tokens that one run counts for.
	maxTaskTokens = 1 << 20
)

// Load is what a runner has, or several have, on an engine.
type Load struct {
	Runs   int
	Tokens int64 // that the runs are expected to hold when they end: prompts and outputs
}

// SetOccupancy replaces what the other runners have on the engines. at is the time of the
// oldest news in the sum. A nil map states that no other runner is known, an empty one that
// the others have no runs.
func (s *Scheduler) SetOccupancy(at time.Duration, others map[string]Load) {
	s.newsKnown, s.newsAt = others != nil, at
	for id, e := range s.engines {
		load := others[id]
		e.others = Load{max(0, load.Runs), max(0, load.Tokens)}
		switch full := e.occupied() >= e.Slots; {
		case full:
			e.full = true
		case e.full:
			e.full, e.freeSince = false, at
		}
	}
}

// Occupancy returns the own runs by engine, without engines that have none. Tasks of a group
// share their prompt, which counts once on an engine.
func (s *Scheduler) Occupancy() map[string]Load {
	out := map[string]Load{}
	for id, e := range s.engines {
		e.published = e.running
		if e.running > 0 {
			out[id] = Load{e.running, e.tokens}
		}
	}
	return out
}

// expireNews drops news of the other runners that is too old.
func (s *Scheduler) expireNews(now time.Duration) {
	if s.newsKnown && now-s.newsAt > newsLifetime {
		s.SetOccupancy(s.newsAt, nil)
	}
}

// occupied returns the number of runs on the engine, of all runners.
func (e *engine) occupied() int { return e.running + e.others.Runs }

// mayOverflow reports whether the task may start on an engine that is not home to its model.
// Runners that start at the same moment do not see each other's runs yet and would fill the
// same engines. The news must be newer than a task that has not run yet, or the task has waited
// for it.
func (s *Scheduler) mayOverflow(now time.Duration, t *Task) bool {
	if !s.newsKnown || now-t.WaitingSince >= newsWait {
		return true
	}
	return now-s.newsAt <= freshNews && (t.runs > 0 || s.newsAt > t.WaitingSince)
}

// addTokens adds what a run that starts holds.
func (e *engine) addTokens(t *Task) {
	e.tokens += t.outputTokens()
	if e.runsByGroup[t.Group] == 0 {
		e.tokens += t.promptTokens()
	}
}

// removeTokens removes what a run that ends held. The last one of its group frees the prompt.
func (e *engine) removeTokens(t *Task) {
	e.tokens -= t.outputTokens()
	if e.runsByGroup[t.Group] == 0 {
		e.tokens -= t.promptTokens()
	}
}

func (t *Task) outputTokens() int64 { return min(max(0, t.ExpectedTokens), maxTaskTokens) }
func (t *Task) promptTokens() int64 { return min(max(0, t.PromptTokens), maxTaskTokens) }

// mayOverflowOnto reports whether a run of the model may start on the engine. On an engine that
// is not home to it, it takes slots again that the others know as taken, and others in the
// engine's order of the models, so that several runners do not take the same free slot before
// they hear of each other.
func (s *Scheduler) mayOverflowOnto(now time.Duration, e *engine, model string) bool {
	if !s.newsKnown || e.homeModel == model || e.running < e.published {
		return true
	}
	return now-e.freeSince >= time.Duration(e.overflowPosition(model))*overflowTurn
}

// overflowPosition returns how many other models come before this one, up to a bound.
func (e *engine) overflowPosition(model string) int {
	position, known := e.positions[model]
	if known {
		return position
	}
	own := rank(model, e.ID)
	for _, other := range e.Serves {
		if other != e.homeModel && other != model && rank(other, e.ID) > own {
			position++
		}
	}
	e.positions[model] = min(position, maxOverflowPosition)
	return e.positions[model]
}
