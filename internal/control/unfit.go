package control

import (
	"context"
	"maps"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// unfit are the targets that the deployment's holder has taken out of service.
type unfit struct {
	term    record.Offset // the holder's fencing number
	targets []string
}

// SetUnfit makes the targets get no new work at this instance, in place of those
// that an earlier call named. A former holder's word is ignored.
func (l *Loop) SetUnfit(ctx context.Context, term record.Offset, targets []string) {
	l.post(ctx, unfit{term, targets})
}

func (m unfit) handle(l *Loop) {
	if m.term < l.unfitTerm {
		return
	}
	l.unfitTerm = m.term
	next := make(map[string]bool, len(m.targets))
	for _, id := range m.targets {
		next[id] = true
	}
	if !maps.Equal(next, l.unfit) {
		l.unfit = next
		l.routing.changed = true
	}
}
