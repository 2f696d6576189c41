package assign

// candidate is an engine with its score at the time when it was computed.
type candidate struct {
	*engine
	score float64
}

// candidates is a heap of the engines that meet some criteria, the one with the highest score
// first. Within a call of Assign scores only fall, when a run starts on the engine or a task
// waits for a permit for it. A score is therefore computed again only when its engine is first.
type candidates struct {
	criteria
	heap []candidate
}

func (p *placement) newCandidates(c criteria) *candidates {
	list := &candidates{criteria: c}
	for _, e := range p.s.preferred(c.model) {
		if p.meets(e, c) {
			list.heap = append(list.heap, candidate{e, p.score(e, c)})
		}
	}
	for i := len(list.heap)/2 - 1; i >= 0; i-- {
		list.down(i)
	}
	return list
}

// better returns the candidate with the higher score, or of two with the same score the one
// that comes first in the order of preference of the model.
func better(model string, a, b candidate) candidate {
	if b.engine == nil || a.engine != nil && comesBefore(model, a, b) {
		return a
	}
	return b
}

func comesBefore(model string, a, b candidate) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	if ra, rb := rank(model, a.ID), rank(model, b.ID); ra != rb {
		return ra > rb
	}
	return a.ID < b.ID
}

// top returns the first candidate that still meets the criteria.
func (l *candidates) top(p *placement) (candidate, bool) {
	for len(l.heap) > 0 {
		first := &l.heap[0]
		if !p.meets(first.engine, l.criteria) {
			l.pop()
			continue
		}
		score := p.score(first.engine, l.criteria)
		if score >= first.score {
			return *first, true
		}
		first.score = score
		l.down(0)
	}
	return candidate{}, false
}

func (l *candidates) pop() candidate {
	first, last := l.heap[0], len(l.heap)-1
	l.heap[0] = l.heap[last]
	l.heap = l.heap[:last]
	l.down(0)
	return first
}

func (l *candidates) push(c candidate) {
	l.heap = append(l.heap, c)
	for i := len(l.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !comesBefore(l.model, l.heap[i], l.heap[parent]) {
			return
		}
		l.heap[i], l.heap[parent] = l.heap[parent], l.heap[i]
		i = parent
	}
}

func (l *candidates) down(i int) {
	for {
		next := 2*i + 1
		if next >= len(l.heap) {
			return
		}
		if right := next + 1; right < len(l.heap) && comesBefore(l.model, l.heap[right], l.heap[next]) {
			next = right
		}
		if !comesBefore(l.model, l.heap[next], l.heap[i]) {
			return
		}
		l.heap[i], l.heap[next] = l.heap[next], l.heap[i]
		i = next
	}
}
