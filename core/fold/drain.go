package fold

import (
	"errors"
	"fmt"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// maxDrainedTargets bounds the targets that are drained at once.
const maxDrainedTargets = 1 << 14

// errTooManyDrains is returned when too many targets are drained.
var errTooManyDrains = errors.New("too many targets are drained")

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
	case len(s.Drains) >= maxDrainedTargets:
		return Malformed, fmt.Errorf("%w: %d", errTooManyDrains, maxDrainedTargets)
	}
	if s.Drains == nil {
		s.Drains = map[string]record.Offset{}
	}
	s.Drains[b.Target] = at
	return Accepted, nil
}
