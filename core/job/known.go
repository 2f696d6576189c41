package job

import "time"

// KnownInstances repeats announcements that the log may not keep any more, for instances that have
// not read them.
type KnownInstances struct {
	Instances []KnownInstance `cbor:"1,keyasint"`
}

// KnownInstance is the latest announcement of an instance.
type KnownInstance struct {
	Writer         string          `cbor:"1,keyasint"` // of the announcement
	Started        InstanceStarted `cbor:"2,keyasint"`
	Offset         int64           `cbor:"3,keyasint"` // of the announcement in the log
	SinceAnnounced int64           `cbor:"4,keyasint"` // milliseconds
}

// maxSinceAnnounced bounds the age of a repeated announcement: older ones have lapsed long ago.
const maxSinceAnnounced = time.Hour

// KnownInstances returns the announcements that were read more than minAge ago, for instances
// whose names keep accepts.
func (s *State) KnownInstances(now, minAge time.Duration, keep func(name string) bool) (known []KnownInstance) {
	for name, i := range s.Instances {
		age := now - i.AnnouncedAt
		if age <= minAge || !keep(name) {
			continue
		}
		known = append(known, KnownInstance{
			Writer: i.Incarnation, Offset: i.AnnouncedOffset, SinceAnnounced: age.Milliseconds(),
			Started: InstanceStarted{Instance: name, PeerAddress: i.PeerAddress, StartedAt: i.StartedAt, KeyFingerprint: i.KeyFingerprint, KeepsVersion: !i.MixesVersions},
		})
	}
	return known
}

// mixesVersions reports whether the build of the incarnation may mix weight versions, as far as is known.
func (s *State) mixesVersions(incarnation string) bool {
	for _, i := range s.Instances {
		if i.Incarnation == incarnation {
			return i.MixesVersions
		}
	}
	return true
}

// applyKnown applies the announcements that were not read. It changes nothing for a reader of the
// whole log. It reports whether there were any.
func (s *State) applyKnown(now time.Duration, writer string, k KnownInstances) (changed bool) {
	for _, i := range k.Instances {
		current, found := s.Instances[i.Started.Instance]
		age := time.Duration(i.SinceAnnounced) * time.Millisecond
		switch {
		case found && current.AnnouncedOffset >= i.Offset:
		case found && current.Incarnation != i.Writer && current.StartedAt >= i.Started.StartedAt:
		case i.Writer == "" || i.SinceAnnounced < 0 || i.SinceAnnounced > maxSinceAnnounced.Milliseconds():
		default:
			// An earlier build repeats announcements without this.
			i.Started.KeepsVersion = i.Started.KeepsVersion || s.mixesVersions(writer)
			s.applyStarted(i.Offset, now-age, i.Writer, i.Started)
			changed = true
		}
	}
	return changed
}
