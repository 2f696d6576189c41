package samples

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/sample"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

const (
	mirrorTimeout           = time.Second      // that a trainer's call waits for the mirror, and a new owner for its peers
	backgroundMirrorTimeout = 10 * time.Second // of one transfer in the background
	pageBytes               = 1 << 20          // of samples and prompts in one message, roughly
	mirrorTTL               = time.Minute
)

// mirrorPut carries what an owner would lose. Full replaces what the mirror
// has; otherwise Seq must follow the last message.
type mirrorPut struct {
	Trainer  string          `cbor:"1,keyasint"`
	Term     record.Offset   `cbor:"2,keyasint"` // of the owner's lease
	Seq      uint64          `cbor:"3,keyasint"`
	Full     bool            `cbor:"4,keyasint"`
	Contents sample.Snapshot `cbor:"5,keyasint"`
}

// mirrorReply tells whether the mirror has everything up to the message.
type mirrorReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// mirrorFetch asks for a page of a trainer's mirrored contents.
type mirrorFetch struct {
	Trainer string `cbor:"1,keyasint"`
	Page    int    `cbor:"2,keyasint"`
}

type mirrorPage struct {
	Contents sample.Snapshot `cbor:"1,keyasint"`
	More     bool            `cbor:"2,keyasint"`
}

// splitPages cuts contents into pages that fit into one message each.
func splitPages(c sample.Snapshot) []sample.Snapshot {
	var pages []sample.Snapshot
	var page sample.Snapshot
	size := 0
	grow := func(n int) {
		if size > 0 && size+n > pageBytes {
			pages = append(pages, page)
			page, size = sample.Snapshot{}, 0
		}
		size += n
	}
	for _, g := range c.Groups {
		grow(len(g.ID) + len(g.Prompt))
		page.Groups = append(page.Groups, g)
	}
	for i := range c.Samples {
		s := c.Samples[i]
		grow(len(s.ID) + len(s.Prompt) + len(s.Text))
		page.Samples = append(page.Samples, s)
	}
	return append(pages, page)
}

// mirrorSender is the sending side: what the owner's mirror has not seen yet.
type mirrorSender struct {
	trainer string
	term    record.Offset

	sending chan struct{} // one transfer at a time
	peer    string        // id of the mirror
	seq     uint64
	synced  bool // the mirror has all but pending

	mu      sync.Mutex
	pending sample.Snapshot
	failed  bool // the last transfer
}

func newMirrorSender(trainer string, term record.Offset) *mirrorSender {
	return &mirrorSender{trainer: trainer, term: term, sending: make(chan struct{}, 1)}
}

func (r *mirrorSender) add(c sample.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending.Groups = append(r.pending.Groups, c.Groups...)
	r.pending.Samples = append(r.pending.Samples, c.Samples...)
}

// needsSync reports whether the mirror lacks something.
func (r *mirrorSender) needsSync() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed || len(r.pending.Groups)+len(r.pending.Samples) > 0
}

func (r *mirrorSender) takePending() sample.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.pending
	r.pending = sample.Snapshot{}
	return c
}

// setResult is called while sending is held.
func (r *mirrorSender) setResult(ok bool) {
	r.synced = ok
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = !ok
}

// mirrorPeer chooses the mirror: a live peer, in another data centre if one is.
func mirrorPeer(s *control.Snapshot, trainer string) (member.Status, bool) {
	var near, far []string
	for _, p := range s.Peers {
		switch {
		case p.Suspect || p.Leaving:
		case p.DataCentre == s.Self.DataCentre:
			near = append(near, p.ID)
		default:
			far = append(far, p.ID)
		}
	}
	if len(far) == 0 {
		far = near
	}
	p, ok := s.PeerByID[member.Owner(trainer, far)]
	return p, ok
}

// syncMirror brings the mirror up to date within the timeout. A mirror that can't be
// reached holds up nothing beyond it: lost contents are produced again under the
// same ids.
func (o *owner) syncMirror(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := o.mirrorSender
	select {
	case r.sending <- struct{}{}:
		defer func() { <-r.sending }()
	case <-ctx.Done():
		return
	}
	p, ok := mirrorPeer(o.m.Loop.Snapshot(), o.trainer)
	contents := r.takePending()
	if !ok {
		r.setResult(false) // the next mirror gets everything
		return
	}
	full := !r.synced || r.peer != p.ID
	if full {
		o.mu.Lock()
		contents = o.state.Snapshot()
		o.mu.Unlock()
	}
	if !full && len(contents.Groups)+len(contents.Samples) == 0 {
		return
	}
	r.peer = p.ID
	err := o.sendPages(ctx, p.Address, splitPages(contents), full)
	r.setResult(err == nil)
	if err != nil {
		o.m.Events.Record("mirror failed", events.F("trainer", o.trainer), events.F("peer", p.ID), events.F("error", err.Error()))
	}
}

func (o *owner) sendPages(ctx context.Context, address string, pages []sample.Snapshot, full bool) error {
	for i, page := range pages {
		o.mirrorSender.seq++
		put := mirrorPut{Trainer: o.trainer, Term: o.term, Seq: o.mirrorSender.seq, Full: full && i == 0, Contents: page}
		var reply mirrorReply
		if err := o.m.Peers.Call(ctx, address, peer.KindMirrorPut, put, &reply); err != nil {
			return err
		}
		if !reply.Accepted {
			return fmt.Errorf("mirror of trainer %q refused message %d", o.trainer, put.Seq)
		}
	}
	return nil
}

// fetchMirrors asks every peer for what it keeps of the trainer's samples.
func (m *Manager) fetchMirrors(ctx context.Context, trainer string) []sample.Snapshot {
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	found := m.mirrors.pages(trainer)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range m.Loop.Snapshot().Peers {
		wg.Go(func() {
			for page := 0; ; page++ {
				var reply mirrorPage
				if err := m.Peers.Call(ctx, p.Address, peer.KindMirrorFetch, mirrorFetch{trainer, page}, &reply); err != nil {
					return
				}
				mu.Lock()
				found = append(found, reply.Contents)
				mu.Unlock()
				if !reply.More {
					return
				}
			}
		})
	}
	wg.Wait()
	return groupsBeforeSamples(found)
}

// groupsBeforeSamples puts all groups before all samples, which belong to them.
func groupsBeforeSamples(found []sample.Snapshot) []sample.Snapshot {
	var groups, samples sample.Snapshot
	for _, c := range found {
		groups.Groups = append(groups.Groups, c.Groups...)
		samples.Samples = append(samples.Samples, c.Samples...)
	}
	return []sample.Snapshot{groups, samples}
}

// mirrorStore is the receiving side. It is safe for concurrent use.
type mirrorStore struct {
	mu      sync.Mutex
	entries map[string]*mirrorEntry // by trainer
}

type mirrorEntry struct {
	term         record.Offset
	seq          uint64
	changed      time.Duration // when the last message came
	prunedOffset record.Offset // ledger that acknowledged groups were forgotten by
	groups       map[string]sample.Group
	samples      map[string]sample.Sample
}

func newMirrorStore() *mirrorStore { return &mirrorStore{entries: map[string]*mirrorEntry{}} }

// put takes a message of an owner. A former owner's is refused.
func (k *mirrorStore) put(now time.Duration, p mirrorPut) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := k.entries[p.Trainer]
	if m != nil && p.Term < m.term {
		return false
	}
	if p.Full {
		m = &mirrorEntry{groups: map[string]sample.Group{}, samples: map[string]sample.Sample{}}
		k.entries[p.Trainer] = m
	} else if m == nil || m.term != p.Term || m.seq+1 != p.Seq {
		return false
	}
	m.term, m.seq, m.changed = p.Term, p.Seq, now
	for _, g := range p.Contents.Groups {
		m.groups[g.ID] = g
	}
	for _, s := range p.Contents.Samples {
		m.samples[s.ID] = s
	}
	return true
}

// pages returns what is kept of the trainer's samples.
func (k *mirrorStore) pages(trainer string) []sample.Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := k.entries[trainer]
	if m == nil {
		return nil
	}
	var c sample.Snapshot
	for _, id := range slices.Sorted(maps.Keys(m.groups)) {
		c.Groups = append(c.Groups, m.groups[id])
	}
	for _, id := range slices.Sorted(maps.Keys(m.samples)) {
		c.Samples = append(c.Samples, m.samples[id])
	}
	return splitPages(c)
}

// prune forgets acknowledged groups, by the ledger that every instance folds,
// and copies that a later owner has replaced elsewhere.
func (k *mirrorStore) prune(now time.Duration, s *control.Snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for trainer, m := range k.entries {
		term := s.Leases[control.TrainerLease(trainer)].Term
		if term > m.term && now-m.changed > mirrorTTL {
			delete(k.entries, trainer)
			continue
		}
		m.prune(s, trainer)
	}
}

func (m *mirrorEntry) prune(s *control.Snapshot, trainer string) {
	ledger := s.Deliveries[trainer]
	if ledger.LastOffset == m.prunedOffset {
		return
	}
	m.prunedOffset = ledger.LastOffset
	for id := range m.groups {
		if ledger.Delivered(id) {
			delete(m.groups, id)
		}
	}
	for id := range m.samples {
		if _, kept := m.groups[m.samples[id].Group]; !kept {
			delete(m.samples, id)
		}
	}
}

// HandleMirrorPut takes a message of a trainer's owner.
func (m *Manager) HandleMirrorPut(body []byte) (any, error) {
	put, err := peer.Decode[mirrorPut](body)
	if err != nil {
		return nil, err
	}
	return mirrorReply{m.mirrors.put(m.Clock.Now(), put)}, nil
}

// HandleMirrorFetch answers a new owner.
func (m *Manager) HandleMirrorFetch(body []byte) (any, error) {
	fetch, err := peer.Decode[mirrorFetch](body)
	if err != nil {
		return nil, err
	}
	pages := m.mirrors.pages(fetch.Trainer)
	if fetch.Page < 0 || fetch.Page >= len(pages) {
		return mirrorPage{}, nil
	}
	return mirrorPage{Contents: pages[fetch.Page], More: fetch.Page+1 < len(pages)}, nil
}
