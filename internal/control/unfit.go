package control

import (
	"context"
	"maps"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// setOutOfService replaces the targets that the holder of the deployment lease has taken
// out of service.
type setOutOfService struct {
	term    record.Offset // the lease holder's fencing number
	targets []string
}

// SetOutOfService replaces the set of targets that the holder of the deployment lease has
// taken out of service. They get no new work from this instance. term is the holder's
// fencing number; a call with a lower one than an earlier call's is ignored.
func (l *Loop) SetOutOfService(ctx context.Context, term record.Offset, targets []string) {
	l.post(ctx, setOutOfService{term, targets})
}

func (m setOutOfService) handle(l *Loop) {
	if m.term < l.outOfServiceFencing {
		return
	}
	l.outOfServiceFencing = m.term
	next := make(map[string]bool, len(m.targets))
	for _, id := range m.targets {
		next[id] = true
	}
	if !maps.Equal(next, l.outOfService) {
		l.outOfService = next
		l.routing.targetsChanged = true
	}
}
