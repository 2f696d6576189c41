package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxDirectPeers is the largest number of peers to all of which an instance sends its
	// heartbeat. If there are more, it sends heartbeats only to those of its own data
	// centre, and relays send summaries between the data centres.
	maxDirectPeers = 64
	// relaysPerPair is the number of relays of a data centre to another one. Each pair of
	// data centres has its own relays, to spread the work over the instances.
	relaysPerPair = 2
	// maxLagging is the largest number of instances whose offsets a summary lists
	// individually: those with the lowest offsets.
	maxLagging = 8
)

// Summary describes the live instances of a data centre to other data centres. Live are
// those that its sender does not suspect, leaving ones included.
type Summary struct {
	DataCentre string        `cbor:"1,keyasint"`
	Version    uint64        `cbor:"2,keyasint"`           // hash of the set of live instances
	Offset     int64         `cbor:"3,keyasint"`           // applied by all live instances but those in Lagging
	Members    []Peer        `cbor:"4,keyasint,omitempty"` // the live instances; empty: the same as in the last summary with members
	Lagging    []LaggingPeer `cbor:"5,keyasint,omitempty"`
}

// LaggingPeer is an instance whose log offset is behind the Offset of its summary.
type LaggingPeer struct {
	ID     string `cbor:"1,keyasint"`
	Offset int64  `cbor:"2,keyasint"`
}

// Recipients are the peers to which an instance sends heartbeats and summaries.
type Recipients struct {
	// Direct are sent this instance's heartbeat and the summaries that it received from
	// other data centres.
	Direct []Status
	// Remote are relays of other data centres. They are sent this data centre's summary.
	Remote []Status
}

// HeartbeatRecipients returns the peers to which self sends heartbeats and summaries. All
// instances with the same view choose the same relays.
func HeartbeatRecipients(self Peer, peers []Status) Recipients {
	if len(peers) <= maxDirectPeers {
		return Recipients{Direct: peers}
	}
	var r Recipients
	relayCandidates := map[string][]string{self.DataCentre: {self.ID}}
	byID := make(map[string]Status, len(peers))
	for _, p := range peers {
		byID[p.ID] = p
		if p.DataCentre == self.DataCentre {
			r.Direct = append(r.Direct, p)
		}
		if !p.Suspect && !p.Leaving {
			relayCandidates[p.DataCentre] = append(relayCandidates[p.DataCentre], p.ID)
		}
	}
	for dc, remoteIDs := range relayCandidates {
		if dc == self.DataCentre || self.Leaving {
			continue
		}
		pairKey := "relay/" + min(dc, self.DataCentre) + "/" + max(dc, self.DataCentre)
		position := Position(pairKey, self.ID, relayCandidates[self.DataCentre])
		if position >= relaysPerPair {
			continue
		}
		remoteRelays := Rank(pairKey, remoteIDs, relaysPerPair)
		r.Remote = append(r.Remote, byID[remoteRelays[min(position, len(remoteRelays)-1)]])
	}
	slices.SortFunc(r.Remote, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return r
}

// Summary returns the summary of this instance's data centre, with all members. offset is
// the log offset that this instance has applied.
func (t *Table) Summary(now time.Duration, offset int64) Summary {
	live := []Status{{Peer: t.self, Offset: offset}}
	for _, s := range t.Peers(now) {
		if s.DataCentre == t.self.DataCentre && !s.Suspect {
			live = append(live, s)
		}
	}
	slices.SortFunc(live, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	summary := Summary{DataCentre: t.self.DataCentre}
	for _, s := range live {
		summary.Members = append(summary.Members, s.Peer)
	}
	summary.Version = versionOf(summary.Members)
	summary.Offset, summary.Lagging = commonOffset(live)
	return summary
}

// commonOffset returns the (maxLagging+1)-th lowest offset, or the highest one if there
// are fewer, and the instances below it, which are at most maxLagging.
func commonOffset(live []Status) (int64, []LaggingPeer) {
	byOffset := slices.Clone(live)
	slices.SortStableFunc(byOffset, func(a, b Status) int { return cmp.Compare(a.Offset, b.Offset) })
	laggingCount := min(maxLagging, len(byOffset)-1)
	common := byOffset[laggingCount].Offset
	var out []LaggingPeer
	for _, s := range byOffset[:laggingCount] {
		if s.Offset < common {
			out = append(out, LaggingPeer{s.ID, s.Offset})
		}
	}
	return common, out
}

// versionOf returns a hash of the ids, incarnations and leaving flags of the members.
func versionOf(members []Peer) uint64 {
	h := xxhash.New()
	for _, p := range members {
		_, _ = h.WriteString(p.ID)                                                // never fails
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(p.Incarnation))) // never fails
		leaving := byte(0)
		if p.Leaving {
			leaving = 1
		}
		_, _ = h.Write([]byte{leaving}) // never fails
	}
	return h.Sum64()
}

// ApplySummary applies the summary of another data centre as a heartbeat of each member.
// A summary without members refreshes those of the last summary that had any or, before
// the first one, all peers of that data centre in the view.
func (t *Table) ApplySummary(now time.Duration, summary Summary) {
	if summary.DataCentre == t.self.DataCentre {
		return
	}
	laggingOffsets := make(map[string]int64, len(summary.Lagging))
	for _, l := range summary.Lagging {
		laggingOffsets[l.ID] = l.Offset
	}
	offsetOf := func(id string) int64 {
		if offset, found := laggingOffsets[id]; found {
			return offset
		}
		return summary.Offset
	}
	if len(summary.Members) > 0 {
		t.remoteMembers[summary.DataCentre] = summary.Members
	}
	members, received := t.remoteMembers[summary.DataCentre]
	for _, p := range members {
		t.ApplyHeartbeat(now, p, offsetOf(p.ID))
	}
	if received {
		return
	}
	for id, s := range t.peers {
		if s.DataCentre == summary.DataCentre {
			t.refresh(now, s, offsetOf(id))
		}
	}
}
