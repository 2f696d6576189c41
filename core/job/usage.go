package job

// Window is the usage of one billing period: numbers of requests. The first seal fixes the
// billed counts; counts that are applied later do not change the bill.
type Window struct {
	Counts       map[string]map[string]int64 // by writer, then account
	SealedCounts map[string]int64            // billed counts by account; nil: not sealed
	Reported     bool                        // the platform has accepted the window's report
}

// windowFor returns the window with the id and creates it if there is none.
func (s *State) windowFor(id int64) *Window {
	w := s.Windows[id]
	if w == nil {
		w = &Window{Counts: map[string]map[string]int64{}}
		s.Windows[id] = w
	}
	return w
}

// applyCounted replaces the writer's counts, unless these are older: they only grow. It returns
// false if the window is sealed, as the counts do not change its bill.
func (s *State) applyCounted(writer string, c UsageCounted) bool {
	w := s.windowFor(c.Window)
	if requests(c.Counts) > requests(w.Counts[writer]) {
		w.Counts[writer] = c.Counts
	}
	return w.SealedCounts == nil
}

// requests returns the sum of counts by account.
func requests(counts map[string]int64) int64 {
	sum := int64(0)
	for _, n := range counts {
		sum += n
	}
	return sum
}

// applySealed sets the billed counts. It returns false if the window is sealed already.
func (s *State) applySealed(sealed UsageSealed) bool {
	w := s.windowFor(sealed.Window)
	if w.SealedCounts != nil {
		return false
	}
	w.SealedCounts = sealed.Counts
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
