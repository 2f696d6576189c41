package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxDirectPeers is up to how many peers an instance sends its heartbeat to all
	// of them. Above, only those of its own data centre get it, and summaries go
	// between data centres.
	maxDirectPeers = 64
	// relaysPerPair instances of a data centre speak with another one. Each other
	// data centre has relays of its own, so that the work is spread.
	relaysPerPair = 2
	// maxLagging is how many of the instances that are furthest behind in the
	// log a summary names.
	maxLagging = 8
)

// Summary tells other data centres of the instances of one.
type Summary struct {
	DataCentre string        `cbor:"1,keyasint"`
	Version    uint64        `cbor:"2,keyasint"`           // of the set of live instances
	Offset     int64         `cbor:"3,keyasint"`           // that all but Behind have folded
	Members    []Peer        `cbor:"4,keyasint,omitempty"` // the live instances; empty: as in the last summary with them
	Lagging    []LaggingPeer `cbor:"5,keyasint,omitempty"`
}

// LaggingPeer is an instance that is behind the others of its data centre.
type LaggingPeer struct {
	ID     string `cbor:"1,keyasint"`
	Offset int64  `cbor:"2,keyasint"`
}

// Recipients are whom an instance sends what.
type Recipients struct {
	Direct []Status // get this instance's heartbeat, with the summaries that it has got from abroad
	Remote []Status // relays of other data centres; get this data centre's summary
}

// HeartbeatRecipients plans the heartbeats of self. Every instance with the same view makes
// the same choice of relays.
func HeartbeatRecipients(self Peer, peers []Status) Recipients {
	if len(peers) <= maxDirectPeers {
		return Recipients{Direct: peers}
	}
	var r Recipients
	live := map[string][]string{self.DataCentre: {self.ID}}
	byID := make(map[string]Status, len(peers))
	for _, p := range peers {
		byID[p.ID] = p
		if p.DataCentre == self.DataCentre {
			r.Direct = append(r.Direct, p)
		}
		if !p.Suspect && !p.Leaving {
			live[p.DataCentre] = append(live[p.DataCentre], p.ID)
		}
	}
	for centre, there := range live {
		if centre == self.DataCentre || self.Leaving {
			continue
		}
		pair := "relay/" + min(centre, self.DataCentre) + "/" + max(centre, self.DataCentre)
		place := Position(pair, self.ID, live[self.DataCentre])
		if place >= relaysPerPair {
			continue
		}
		opposite := Rank(pair, there, relaysPerPair)
		r.Remote = append(r.Remote, byID[opposite[min(place, len(opposite)-1)]])
	}
	slices.SortFunc(r.Remote, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return r
}

// Summary describes this instance's data centre at offset, with all members.
func (t *Table) Summary(now time.Duration, offset int64) Summary {
	live := []Status{{Peer: t.self, Offset: offset}}
	for _, s := range t.Peers(now) {
		if s.DataCentre == t.self.DataCentre && !s.Suspect {
			live = append(live, s)
		}
	}
	slices.SortFunc(live, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	b := Summary{DataCentre: t.self.DataCentre}
	for _, s := range live {
		b.Members = append(b.Members, s.Peer)
	}
	b.Version = versionOf(b.Members)
	b.Offset, b.Lagging = commonOffset(live)
	return b
}

// commonOffset returns the offset that all but a few have folded, and those few.
func commonOffset(live []Status) (int64, []LaggingPeer) {
	byOffset := slices.Clone(live)
	slices.SortStableFunc(byOffset, func(a, b Status) int { return cmp.Compare(a.Offset, b.Offset) })
	named := min(maxLagging, len(byOffset)-1)
	common := byOffset[named].Offset
	var out []LaggingPeer
	for _, s := range byOffset[:named] {
		if s.Offset < common {
			out = append(out, LaggingPeer{s.ID, s.Offset})
		}
	}
	return common, out
}

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

// ApplySummary takes another data centre's summary. Without its members it stands for
// those that the last summary with members named, or, before the first, for
// all that the list names.
func (t *Table) ApplySummary(now time.Duration, b Summary) {
	if b.DataCentre == t.self.DataCentre {
		return
	}
	behind := make(map[string]int64, len(b.Lagging))
	for _, l := range b.Lagging {
		behind[l.ID] = l.Offset
	}
	offsetOf := func(id string) int64 {
		if o, lags := behind[id]; lags {
			return o
		}
		return b.Offset
	}
	if len(b.Members) > 0 {
		t.remoteMembers[b.DataCentre] = b.Members
	}
	members, known := t.remoteMembers[b.DataCentre]
	for _, p := range members {
		t.ApplyHeartbeat(now, p, offsetOf(p.ID))
	}
	if known {
		return
	}
	for id, s := range t.peers {
		if s.DataCentre == b.DataCentre {
			t.refresh(now, s, offsetOf(id))
		}
	}
}
