package samples

import (
	"cmp"
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
	// mirrorTimeout limits a sync of the mirror within a trainer's call, and a new owner's
	// fetch of mirrored groups and samples. When it expires, the caller continues without
	// the mirror.
	mirrorTimeout           = time.Second
	backgroundMirrorTimeout = 10 * time.Second // of one sync in the background

	// pageBytes is the approximate limit of the total size of the ids, prompts and texts in
	// one message. A single larger item exceeds it.
	pageBytes = 1 << 20

	// mirrorTTL is how long an entry of a superseded term is kept after its last update.
	mirrorTTL = time.Minute
)

// mirrorPut is an update of the mirror with groups and finished samples. If Full is set,
// Contents replaces the mirror's entry; otherwise Seq must follow that of the last
// message and Contents is added.
type mirrorPut struct {
	Trainer  string          `cbor:"1,keyasint"`
	Term     record.Offset   `cbor:"2,keyasint"` // term of the owner's lease
	Seq      uint64          `cbor:"3,keyasint"`
	Full     bool            `cbor:"4,keyasint"`
	Contents sample.Snapshot `cbor:"5,keyasint"`
}

// mirrorReply reports whether the mirror has accepted the message. If not, the owner must
// send its full contents.
type mirrorReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// mirrorFetch requests one page of a trainer's mirrored contents.
type mirrorFetch struct {
	Trainer string `cbor:"1,keyasint"`
	Page    int    `cbor:"2,keyasint"` // from 0
}

// mirrorPage is a page of a trainer's mirrored contents.
type mirrorPage struct {
	Contents sample.Snapshot `cbor:"1,keyasint"`
	More     bool            `cbor:"2,keyasint"`
	Term     record.Offset   `cbor:"3,keyasint,omitempty"` // of the owner; zero in replies of earlier builds
}

// splitPages splits contents into pages of about pageBytes, each for one message. An item
// larger than that has a page of its own. There is at least one page.
func splitPages(c sample.Snapshot) []sample.Snapshot {
	var pages []sample.Snapshot
	var page sample.Snapshot
	size := 0
	// reserve starts a new page if n more bytes do not fit into the current one.
	reserve := func(n int) {
		if size > 0 && size+n > pageBytes {
			pages = append(pages, page)
			page, size = sample.Snapshot{}, 0
		}
		size += n
	}
	for _, g := range c.Groups {
		reserve(len(g.ID) + len(g.Prompt))
		page.Groups = append(page.Groups, g)
	}
	for i := range c.Samples {
		s := c.Samples[i]
		reserve(len(s.ID) + len(s.Prompt) + len(s.Text))
		page.Samples = append(page.Samples, s)
	}
	return append(pages, page)
}

// mirrorSender is the owner's side of the mirror: it holds the contents that are still to
// be sent. peer, seq and synced are guarded by sending, the rest by mu.
type mirrorSender struct {
	trainer string
	term    record.Offset

	sending chan struct{} // semaphore of one: serialises syncs
	peer    string        // instance id of the mirror
	seq     uint64
	synced  bool // the mirror has all groups and finished samples except pending

	mu      sync.Mutex
	pending sample.Snapshot
	failed  bool // the last sync failed
}

// newMirrorSender returns the sender of an owner that starts at now. Its numbers follow those of an
// earlier owner of the same term, which has sent fewer than one message a nanosecond.
func newMirrorSender(trainer string, term record.Offset, now time.Duration) *mirrorSender {
	return &mirrorSender{trainer: trainer, term: term, sending: make(chan struct{}, 1), seq: uint64(now)}
}

// add queues contents for the next sync.
func (r *mirrorSender) add(c sample.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending.Groups = append(r.pending.Groups, c.Groups...)
	r.pending.Samples = append(r.pending.Samples, c.Samples...)
}

// needsSync reports whether contents are pending or the last sync failed.
func (r *mirrorSender) needsSync() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed || len(r.pending.Groups)+len(r.pending.Samples) > 0
}

// takePending returns the pending contents and clears them.
func (r *mirrorSender) takePending() sample.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.pending
	r.pending = sample.Snapshot{}
	return c
}

// setResult records the outcome of a sync. The caller must hold sending.
func (r *mirrorSender) setResult(ok bool) {
	r.synced = ok
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = !ok
}

// mirrorPeer returns the peer that mirrors the trainer: one that is neither suspect nor
// leaving, in another data centre if there is one. It reports false if there is none.
func mirrorPeer(s *control.Snapshot, trainer string) (member.Status, bool) {
	var sameDataCentre, candidates []string
	for _, p := range s.Peers {
		switch {
		case p.Suspect || p.Leaving:
		case p.DataCentre == s.Self.DataCentre:
			sameDataCentre = append(sameDataCentre, p.ID)
		default:
			candidates = append(candidates, p.ID)
		}
	}
	if len(candidates) == 0 {
		candidates = sameDataCentre
	}
	p, ok := s.PeerByID[member.Owner(trainer, candidates)]
	return p, ok
}

// syncMirror sends the pending groups and finished samples to the mirror. A new mirror, or
// one whose last sync failed, gets all of them. It takes at most the timeout and returns no
// error: samples that are lost with the owner are generated again under the same ids.
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
		r.setResult(false) // the next mirror gets the full contents
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

// sendPages sends the pages in order. It fails at the first page that the mirror does not
// accept.
func (o *owner) sendPages(ctx context.Context, address string, pages []sample.Snapshot, full bool) error {
	for i, page := range pages {
		o.mirrorSender.seq++
		put := mirrorPut{Trainer: o.trainer, Term: o.term, Seq: o.mirrorSender.seq, Full: full && i == 0, Contents: page}
		var reply mirrorReply
		if err := o.m.Peers.Call(ctx, address, peer.KindMirrorPut, put, &reply); err != nil {
			return err
		}
		if !reply.Accepted {
			return fmt.Errorf("mirror of trainer %q rejected message %d", o.trainer, put.Seq)
		}
	}
	return nil
}

// fetchMirrors returns the trainer's mirrored groups and samples from this instance and
// all peers, without those that do not arrive within mirrorTimeout.
func (m *Manager) fetchMirrors(ctx context.Context, trainer string) []sample.Snapshot {
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	own, term := m.mirrors.pages(trainer)
	fetched := make([]mirrorPage, 0, len(own))
	for _, c := range own {
		fetched = append(fetched, mirrorPage{Contents: c, Term: term})
	}
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
				fetched = append(fetched, reply)
				mu.Unlock()
				if !reply.More {
					return
				}
			}
		})
	}
	wg.Wait()
	return groupsBeforeSamples(fetched)
}

// groupsBeforeSamples puts all groups before all samples, since a sample can be restored
// only after its group. The contents of later owners come first: they replace those of former ones.
func groupsBeforeSamples(pages []mirrorPage) []sample.Snapshot {
	slices.SortStableFunc(pages, func(a, b mirrorPage) int { return cmp.Compare(b.Term, a.Term) })
	var groups, samples sample.Snapshot
	for _, p := range pages {
		groups.Groups = append(groups.Groups, p.Contents.Groups...)
		samples.Samples = append(samples.Samples, p.Contents.Samples...)
	}
	return []sample.Snapshot{groups, samples}
}

// mirrorStore is the receiving side of the mirror: it keeps the groups and finished
// samples of the owners that mirror to this instance. It is safe for concurrent use.
type mirrorStore struct {
	mu      sync.Mutex
	entries map[string]*mirrorEntry // by trainer
}

// mirrorEntry holds the groups and finished samples of one trainer's owner.
type mirrorEntry struct {
	term         record.Offset
	seq          uint64
	updatedAt    time.Duration // time of the last accepted message
	prunedOffset record.Offset // LastOffset of the delivery state at the last prune
	groups       map[string]sample.Group
	samples      map[string]sample.Sample
}

func newMirrorStore() *mirrorStore { return &mirrorStore{entries: map[string]*mirrorEntry{}} }

// put applies a message of an owner and reports whether it was accepted. Messages of a
// superseded term, those that were overtaken and those out of sequence are rejected.
func (k *mirrorStore) put(now time.Duration, p mirrorPut) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := k.entries[p.Trainer]
	if m != nil && (p.Term < m.term || p.Term == m.term && p.Seq <= m.seq) {
		return false
	}
	if p.Full {
		m = &mirrorEntry{groups: map[string]sample.Group{}, samples: map[string]sample.Sample{}}
		k.entries[p.Trainer] = m
	} else if m == nil || m.term != p.Term || m.seq+1 != p.Seq {
		return false
	}
	m.term, m.seq, m.updatedAt = p.Term, p.Seq, now
	for _, g := range p.Contents.Groups {
		m.groups[g.ID] = g
	}
	for _, s := range p.Contents.Samples {
		m.samples[s.ID] = s
	}
	return true
}

// pages returns the trainer's groups and samples, sorted by id and split into pages. The
// pages are rebuilt at each call.
func (k *mirrorStore) pages(trainer string) ([]sample.Snapshot, record.Offset) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := k.entries[trainer]
	if m == nil {
		return nil, 0
	}
	var c sample.Snapshot
	for _, id := range slices.Sorted(maps.Keys(m.groups)) {
		c.Groups = append(c.Groups, m.groups[id])
	}
	for _, id := range slices.Sorted(maps.Keys(m.samples)) {
		c.Samples = append(c.Samples, m.samples[id])
	}
	return splitPages(c), m.term
}

// prune removes the groups whose batch was acknowledged, according to the delivery state
// in the snapshot, and the entries whose term is superseded and that had no update for
// mirrorTTL.
func (k *mirrorStore) prune(now time.Duration, s *control.Snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for trainer, m := range k.entries {
		term := s.Leases[control.TrainerLease(trainer)].Term
		if term > m.term && now-m.updatedAt > mirrorTTL {
			delete(k.entries, trainer)
			continue
		}
		m.prune(s, trainer)
	}
}

// prune removes acknowledged groups and their samples if the delivery state has changed
// since the last call.
func (m *mirrorEntry) prune(s *control.Snapshot, trainer string) {
	deliveries := s.Deliveries[trainer]
	if deliveries.LastOffset == m.prunedOffset {
		return
	}
	m.prunedOffset = deliveries.LastOffset
	for id := range m.groups {
		if deliveries.Delivered(id) {
			delete(m.groups, id)
		}
	}
	for id := range m.samples {
		if _, present := m.groups[m.samples[id].Group]; !present {
			delete(m.samples, id)
		}
	}
}

// HandleMirrorPut applies a mirror update of a trainer's owner and returns the reply.
func (m *Manager) HandleMirrorPut(body []byte) (any, error) {
	put, err := peer.Decode[mirrorPut](body)
	if err != nil {
		return nil, err
	}
	return mirrorReply{m.mirrors.put(m.Clock.Now(), put)}, nil
}

// HandleMirrorFetch returns a page of a trainer's mirrored contents to a new owner. A
// page that does not exist is empty.
func (m *Manager) HandleMirrorFetch(body []byte) (any, error) {
	fetch, err := peer.Decode[mirrorFetch](body)
	if err != nil {
		return nil, err
	}
	pages, term := m.mirrors.pages(fetch.Trainer)
	if fetch.Page < 0 || fetch.Page >= len(pages) {
		return mirrorPage{}, nil
	}
	return mirrorPage{Contents: pages[fetch.Page], More: fetch.Page+1 < len(pages), Term: term}, nil
}
