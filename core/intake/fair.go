package intake

import (
	"maps"
	"math"
	"slices"
)

// account holds the requests of a client account that wait, the first one first.
type account struct {
	requests []Request
	turn     int // number of turns that it has had, counted from the one with the fewest
}

func (q *Queue) account(name string) *account {
	a := q.accounts[name]
	if a == nil {
		a = &account{}
		q.accounts[name] = a
	}
	return a
}

// firstTurn returns the lowest turn of the other accounts with waiting requests: an account that
// had none gets no turns for that time.
func (q *Queue) firstTurn(except string) int {
	lowest := math.MaxInt
	for name, a := range q.accounts {
		if name != except && len(a.requests) > 0 {
			lowest = min(lowest, a.turn)
		}
	}
	if lowest == math.MaxInt {
		return 0
	}
	return lowest
}

// nextAccount returns the account whose turn it is: the one with the lowest turn, by name among
// equals. There must be a waiting request.
func (q *Queue) nextAccount() *account {
	var best *account
	for _, name := range q.names() {
		if a := q.accounts[name]; best == nil || a.turn < best.turn {
			best = a
		}
	}
	return best
}

// names returns the names of the accounts with waiting requests, sorted, and drops the others.
func (q *Queue) names() []string {
	maps.DeleteFunc(q.accounts, func(_ string, a *account) bool { return len(a.requests) == 0 })
	return slices.Sorted(maps.Keys(q.accounts))
}

// remove removes the account's request at a position.
func (q *Queue) remove(a *account, position int) {
	a.requests = slices.Delete(a.requests, position, position+1)
	q.waiting--
}
