package job

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// Instance is the latest incarnation of an instance.
type Instance struct {
	Incarnation string // instance and incarnation, as in Record.Writer
	PeerAddress string // listener for other instances, IP and port
	StartedAt   int64  // start of the process, Unix milliseconds
	// KeyFingerprint is that of its key; empty: its build has none.
	KeyFingerprint string
	// MixesVersions is set if its build may mix weight versions in a result of a job that allows
	// one: its own announcement does not say otherwise.
	MixesVersions bool
	// AnnouncedAt is when its latest announcement was read, by the reader's clock, and
	// AnnouncedOffset is the offset of that record.
	AnnouncedAt     time.Duration
	AnnouncedOffset int64

	// challenger is another incarnation that claims an earlier start and has announced itself
	// since the latest announcement of this one; empty: none.
	challenger string
}

// LastRead returns the last record that was read or skipped, zero if there is none.
func (s *State) LastRead() record.Offset { return s.lastRead }

// applyStarted replaces an instance's incarnation and releases the jobs and leases of the
// previous one. It rejects a record of the current incarnation, which renews the announcement,
// and one of an incarnation that started earlier: it was appended late. One whose writer had read the
// announcement of the current incarnation is no such case: it started after the wall clock of its
// machine was set back. Nor is, in earlier builds, which state nothing of that, one that announces
// itself twice, without the current one in between.
func (s *State) applyStarted(offset int64, now time.Duration, writer string, started InstanceStarted) bool {
	previous := s.Instances[started.Instance]
	switch {
	case previous.Incarnation == writer:
		previous.AnnouncedAt, previous.AnnouncedOffset, previous.challenger = now, offset, ""
		previous.MixesVersions = !started.KeepsVersion
		s.Instances[started.Instance] = previous
		return false
	case previous.StartedAt < started.StartedAt || previous.Incarnation == "":
	case started.ReadTo > 0 && LeaseOffset(previous.AnnouncedOffset) > started.ReadTo:
		return false
	case started.ReadTo == 0 && previous.challenger != writer:
		previous.challenger = writer
		s.Instances[started.Instance] = previous
		return false
	}
	s.Instances[started.Instance] = Instance{
		Incarnation: writer, PeerAddress: started.PeerAddress, StartedAt: started.StartedAt,
		KeyFingerprint: started.KeyFingerprint, MixesVersions: !started.KeepsVersion, AnnouncedAt: now, AnnouncedOffset: offset,
	}
	if previous.Incarnation == "" {
		return true
	}
	for _, j := range s.Jobs {
		if j.Runner == previous.Incarnation {
			j.Runner = ""
		}
	}
	s.removeRunner(previous.Incarnation)
	for name, l := range s.Leases {
		if l.Holder == previous.Incarnation {
			l.Holder = ""
			s.Leases[name] = l
		}
	}
	return true
}

// IsUnfit reports whether a runner, an incarnation of the instance, is known not to keep what a job
// asks for that may allow one weight version only.
func (s *State) IsUnfit(singleVersion bool, runner, instance string) bool {
	i := s.Instances[instance]
	return singleVersion && i.MixesVersions && i.Incarnation == runner
}

// removeRunner removes an incarnation from the runners of all models, so that it gets no
// further jobs. It stays the runner of its current jobs until other instances claim them. It
// returns false if the incarnation was not the runner of any model.
func (s *State) removeRunner(writer string) bool {
	removed := false
	for model, r := range s.Runners {
		if r.Name == writer {
			delete(s.Runners, model)
			removed = true
		}
	}
	return removed
}
