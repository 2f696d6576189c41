package job

// Window is the usage of one window.
type Window struct {
	Counts   map[string]map[string]int64 // by writer, then account
	Sealed   map[string]int64            // nil: not sealed
	Reported bool
}

func (s *State) window(id int64) *Window {
	w := s.Windows[id]
	if w == nil {
		w = &Window{Counts: map[string]map[string]int64{}}
		s.Windows[id] = w
	}
	return w
}

func (s *State) count(writer string, c Counted) bool {
	w := s.window(c.Window)
	w.Counts[writer] = c.Counts
	return w.Sealed == nil
}

func (s *State) seal(l Sealed) bool {
	w := s.window(l.Window)
	if w.Sealed != nil {
		return false
	}
	w.Sealed = l.Counts
	if w.Sealed == nil {
		w.Sealed = map[string]int64{}
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
