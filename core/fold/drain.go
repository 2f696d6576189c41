package fold

import (
	"errors"
	"fmt"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// maxDrains bounds the targets that are drained at once.
const maxDrains = 1 << 14

// errDrains is returned when too many targets are drained.
var errDrains = errors.New("too many targets are drained")

// foldDrain notes from which offset on a target gets no new work.
func (s *State) foldDrain(at record.Offset, b record.TargetDrain) (Verdict, error) {
	_, drained := s.Drains[b.Target]
	switch {
	case b.Target == "":
		return Malformed, errors.New("drain names no target")
	case drained != b.Undo:
		return Conflict, fmt.Errorf("target %q: drained is %t already", b.Target, drained)
	case b.Undo:
		delete(s.Drains, b.Target)
		return Accepted, nil
	case len(s.Drains) >= maxDrains:
		return Malformed, fmt.Errorf("%w: %d", errDrains, maxDrains)
	}
	if s.Drains == nil {
		s.Drains = map[string]record.Offset{}
	}
	s.Drains[b.Target] = at
	return Accepted, nil
}
