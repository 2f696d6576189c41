package job

// Window is the usage of one billing period. The first seal fixes its billed counts; Counts
// that arrive later have no effect on the bill.
type Window struct {
	Counts       map[string]map[string]int64 // by writer, then account
	SealedCounts map[string]int64            // billed counts by account; nil: not sealed
	Reported     bool
}

// windowFor returns the window of an id, new if there is none.
func (s *State) windowFor(id int64) *Window {
	w := s.Windows[id]
	if w == nil {
		w = &Window{Counts: map[string]map[string]int64{}}
		s.Windows[id] = w
	}
	return w
}

// applyCounted replaces the writer's counts. It reports whether they can still be billed.
func (s *State) applyCounted(writer string, c UsageCounted) bool {
	w := s.windowFor(c.Window)
	w.Counts[writer] = c.Counts
	return w.SealedCounts == nil
}

func (s *State) applySealed(l UsageSealed) bool {
	w := s.windowFor(l.Window)
	if w.SealedCounts != nil {
		return false
	}
	w.SealedCounts = l.Counts
	if w.SealedCounts == nil {
		w.SealedCounts = map[string]int64{}
	}
	return true
}

// Total returns the window's requests by account, over all writers.
func (w *Window) Total() map[string]int64 {
	out := map[string]int64{}
	for _, counts := range w.Counts {
		for account, n := range counts {
			out[account] += n
		}
	}
	return out
}
