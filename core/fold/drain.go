package fold

import (
	"errors"
	"fmt"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// maxDrainedTargets is the largest number of targets drained at the same time.
const maxDrainedTargets = 1 << 14

// errTooManyDrains is the reason for rejecting a drain beyond maxDrainedTargets.
var errTooManyDrains = errors.New("too many targets are drained")

// foldTargetDrain sets the offset from which a target gets no new work, or deletes the
// target's entry if the drain is undone.
func (s *State) foldTargetDrain(offset record.Offset, b record.TargetDrain) (Verdict, error) {
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
	s.Drains[b.Target] = offset
	return Accepted, nil
}
