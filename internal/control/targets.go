package control

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthfold/amaranthfold/core/lease"
	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/peer"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

const (
	// largeDeployment is the number of peers above which only a few instances read the
	// lists of targets from the platform, and the others fetch them from those.
	largeDeployment = 64
	// targetsIntervalPerTarget limits the reads of a long list to about 10 kB/s.
	targetsIntervalPerTarget = 20 * time.Millisecond
	// targetsFetchInterval is the time between two fetches of a list from a peer.
	targetsFetchInterval = 2 * time.Second
)

// TargetsRequest requests a data centre's targets from a peer.
type TargetsRequest struct {
	DataCentre string `cbor:"1,keyasint"`
	Version    uint64 `cbor:"2,keyasint"` // of the list that the sender has
}

// TargetsReply is a peer's list of a data centre's targets.
type TargetsReply struct {
	Known   bool              `cbor:"1,keyasint"` // the peer has a list
	Version uint64            `cbor:"2,keyasint"`
	Age     time.Duration     `cbor:"3,keyasint"`           // time since the list was requested from the platform
	Targets []platform.Target `cbor:"4,keyasint,omitempty"` // empty when the versions are equal
}

// HandleTargets replies to a peer's request for a list of targets. It fails if body cannot
// be decoded.
func (l *Loop) HandleTargets(body []byte) (any, error) {
	req, err := peer.Decode[TargetsRequest](body)
	if err != nil {
		return nil, err
	}
	s := l.Snapshot()
	at, found := s.TargetsRequestedAt[req.DataCentre]
	if !found {
		return TargetsReply{}, nil
	}
	list := s.targetsIn(req.DataCentre)
	reply := TargetsReply{Known: true, Version: versionOfTargets(list), Age: l.Clock.Now() - at}
	if reply.Version != req.Version {
		reply.Targets = list
	}
	return reply, nil
}

// targetsIn returns the platform's targets of a data centre.
func (s *Snapshot) targetsIn(dataCentre string) []platform.Target {
	var out []platform.Target
	for _, t := range s.PlatformTargets {
		if t.DataCentre == dataCentre {
			out = append(out, t)
		}
	}
	return out
}

// versionOfTargets returns a hash of all fields of the list's targets. It is never zero,
// the version of a request without a list.
func versionOfTargets(list []platform.Target) uint64 {
	h := xxhash.New()
	for _, t := range list {
		for _, field := range []string{t.ID, t.OrderID, t.Service, t.DataCentre, t.URL, string(t.State)} {
			_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(field)))) // never fails
			_, _ = h.WriteString(field)                                   // never fails
		}
		if t.Cheap {
			_, _ = h.Write([]byte{1}) // never fails
		}
	}
	return max(1, h.Sum64())
}

// readsTargets reports whether the instance reads the data centre's list of targets from
// the platform. In a small deployment every instance does; in a large one only the log
// readers of that data centre and the holder of the lease for its orders do.
func (l *Loop) readsTargets(s *Snapshot, dataCentre string) bool {
	if len(s.Peers) <= largeDeployment || dataCentre == s.Self.DataCentre && s.isReader(s.Self.ID) {
		return true
	}
	_, held := l.Held(lease.OrdersLeaseName(s.Config.Control.ShardBy, dataCentre), 0)
	return held
}

// pollTargets refreshes the targets of every configured data centre until ctx ends.
func (l *Loop) pollTargets(ctx context.Context) error {
	due := map[string]time.Duration{}
	for ctx.Err() == nil {
		s := l.Snapshot()
		if s.Config == nil {
			clock.Sleep(ctx, pollInterval)
			continue
		}
		for _, dc := range s.Config.DataCentres {
			if now := l.Clock.Now(); now >= due[dc.Name] {
				due[dc.Name] = now + l.refreshTargets(ctx, s, dc.Name)
			}
		}
		clock.Sleep(ctx, pollInterval)
	}
	return nil
}

// refreshTargets reads a data centre's targets once and returns the time until the next
// refresh. An instance that does not read them from the platform fetches a peer's list,
// and reads from the platform only if that fails.
func (l *Loop) refreshTargets(ctx context.Context, s *Snapshot, dataCentre string) time.Duration {
	if !l.readsTargets(s, dataCentre) && l.fetchTargetsFromReader(ctx, s, dataCentre) {
		return targetsFetchInterval
	}
	l.readTargets(ctx, dataCentre)
	if len(s.Peers) <= largeDeployment {
		return 0
	}
	return time.Duration(len(s.targetsIn(dataCentre))) * targetsIntervalPerTarget
}

// fetchTargetsFromReader fetches a data centre's targets from one of its log readers and
// reports whether it received the list. It returns false if this instance is itself one
// of these readers.
func (l *Loop) fetchTargetsFromReader(ctx context.Context, s *Snapshot, dataCentre string) bool {
	var candidates []string
	for _, p := range s.Peers {
		if p.DataCentre == dataCentre && !p.Suspect {
			candidates = append(candidates, p.ID)
		}
	}
	if dataCentre == s.Self.DataCentre {
		candidates = append(candidates, s.Self.ID)
	}
	readers := member.Rank("log-reader/"+dataCentre, candidates, s.Config.Control.LogReaders)
	if len(readers) == 0 || slices.Contains(readers, s.Self.ID) {
		return false
	}
	reader := s.PeerByID[readers[member.HashID(s.Self.ID)%uint64(len(readers))]]
	return l.fetchTargetsFrom(ctx, s, reader.Address, dataCentre)
}

// fetchTargetsFrom fetches a data centre's targets from the peer at address and reports
// whether the peer had a list.
func (l *Loop) fetchTargetsFrom(ctx context.Context, s *Snapshot, address, dataCentre string) bool {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sentAt := l.Clock.Now()
	list := s.targetsIn(dataCentre)
	req := TargetsRequest{DataCentre: dataCentre}
	if _, found := s.TargetsRequestedAt[dataCentre]; found {
		req.Version = versionOfTargets(list)
	}
	var reply TargetsReply
	if err := l.Peers.Call(callCtx, address, peer.KindTargets, req, &reply); err != nil || !reply.Known {
		return false
	}
	if reply.Version != req.Version {
		list = reply.Targets
	}
	// The peer requested its list Age before it replied, and it replied after sentAt: the
	// list was requested no earlier than sentAt - Age.
	requestedAt := sentAt - reply.Age
	if requestedAt <= s.TargetsRequestedAt[dataCentre] {
		return true // this instance's list is at least as recent
	}
	l.post(ctx, targetsRead{dataCentre, list})
	l.post(ctx, targetsRequested{dataCentre, requestedAt})
	return true
}
