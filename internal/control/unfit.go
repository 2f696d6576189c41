package control

import (
	"context"
	"maps"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// setOutOfService are the targets that the deployment's holder has taken out of service.
type setOutOfService struct {
	term    record.Offset // the holder's fencing number
	targets []string
}

// SetOutOfService makes the targets get no new work at this instance, in place of those
// that an earlier call named. A former holder's word is ignored.
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
