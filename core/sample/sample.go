// Package sample is the pure part of a trainer's owner: which samples to
// generate, which are complete, which batch a trainer is offered, and which
// samples are too stale to hand over.
package sample

import (
	"errors"
	"fmt"
)

// Segment is a run of tokens that one weight version produced.
type Segment struct {
	Version int64 `json:"version" cbor:"1,keyasint"`
	Tokens  int   `json:"tokens" cbor:"2,keyasint"`
}

// Sample is one finished completion.
type Sample struct {
	ID       string    `json:"id" cbor:"1,keyasint"`
	Group    string    `json:"group" cbor:"2,keyasint"`
	Prompt   string    `json:"prompt" cbor:"3,keyasint"`
	Text     string    `json:"text" cbor:"4,keyasint"`
	Segments []Segment `json:"segments" cbor:"5,keyasint"`
	Reward   float64   `json:"reward" cbor:"6,keyasint"`
}

// Oldest returns the oldest weight version of the sample, zero if unlabelled.
func (s *Sample) Oldest() int64 {
	var oldest int64
	for i, seg := range s.Segments {
		if i == 0 || seg.Version < oldest {
			oldest = seg.Version
		}
	}
	return oldest
}

// Group is a prompt whose samples are delivered together.
type Group struct {
	ID        string `json:"id" cbor:"1,keyasint"`
	Prompt    string `json:"prompt" cbor:"2,keyasint"`
	MaxTokens int    `json:"maxTokens" cbor:"3,keyasint"`
	Size      int    `json:"size" cbor:"4,keyasint"`
}

// Batch is a numbered set of samples offered to the trainer.
type Batch struct {
	Number  int64    `json:"number" cbor:"1,keyasint"`
	Samples []Sample `json:"samples" cbor:"2,keyasint"`
}

// Errors of Owner.
var (
	ErrGroupExists = errors.New("group was submitted with other contents")
	ErrUnlabelled  = errors.New("sample names no weight version")
	ErrUnknown     = errors.New("sample is not being generated")
)

// Job asks for one sample to be generated.
type Job struct {
	Sample string
	Group  Group
}

type groupState struct {
	Group
	done map[string]Sample // by sample id
}

// Owner is the state of one trainer's samples. It performs no I/O.
type Owner struct {
	maxStaleness int64
	groups       map[string]*groupState
	order        []string // groups in submission order
	delivered    map[string]bool
}

// NewOwner returns an empty owner. maxStaleness counts weight versions.
func NewOwner(maxStaleness int) *Owner {
	return &Owner{maxStaleness: int64(maxStaleness), groups: map[string]*groupState{}, delivered: map[string]bool{}}
}

// Submit adds a group and returns the samples to generate. Submitting the same
// group again is idempotent.
func (o *Owner) Submit(g Group) ([]Job, error) {
	if old, ok := o.groups[g.ID]; ok {
		if old.Group != g {
			return nil, fmt.Errorf("group %q: %w", g.ID, ErrGroupExists)
		}
		return nil, nil
	}
	if o.delivered[g.ID] {
		return nil, nil
	}
	o.groups[g.ID] = &groupState{Group: g, done: map[string]Sample{}}
	o.order = append(o.order, g.ID)
	jobs := make([]Job, g.Size)
	for i := range jobs {
		jobs[i] = Job{Sample: ID(g.ID, i), Group: g}
	}
	return jobs, nil
}

// ID names the i-th sample of a group.
func ID(group string, i int) string { return fmt.Sprintf("%s/%d", group, i) }

// Finish records a generated sample. A second result for one id is ignored.
func (o *Owner) Finish(s Sample) error {
	g, ok := o.groups[s.Group]
	if !ok {
		return fmt.Errorf("sample %q of group %q: %w", s.ID, s.Group, ErrUnknown)
	}
	for _, seg := range s.Segments {
		if seg.Version <= 0 {
			return fmt.Errorf("sample %q: %w", s.ID, ErrUnlabelled)
		}
	}
	if len(s.Segments) == 0 {
		return fmt.Errorf("sample %q: %w", s.ID, ErrUnlabelled)
	}
	if _, done := g.done[s.ID]; !done {
		g.done[s.ID] = s
	}
	return nil
}

// Next returns up to limit complete groups whose samples are fresh enough for a
// trainer at version, and jobs that replace samples which are too stale.
func (o *Owner) Next(version int64, limit int) (ready []Sample, again []Job) {
	groups := 0
	for _, id := range o.order {
		g := o.groups[id]
		again = append(again, o.dropStale(g, version)...)
		if groups == limit || len(g.done) < g.Size {
			continue
		}
		groups++
		for i := range g.Size {
			ready = append(ready, g.done[ID(id, i)])
		}
	}
	return ready, again
}

// Fresh reports whether the sample may be handed to a trainer at version.
func (o *Owner) Fresh(s *Sample, version int64) bool {
	return version-s.Oldest() <= o.maxStaleness
}

func (o *Owner) dropStale(g *groupState, version int64) []Job {
	var jobs []Job
	for i := range g.Size {
		id := ID(g.ID, i)
		s, done := g.done[id]
		if done && !o.Fresh(&s, version) {
			delete(g.done, id)
			jobs = append(jobs, Job{Sample: id, Group: g.Group})
		}
	}
	return jobs
}

// Delivered forgets the groups of samples that a batch has recorded.
func (o *Owner) Delivered(samples []Sample) {
	for i := range samples {
		o.delivered[samples[i].Group] = true
		delete(o.groups, samples[i].Group)
	}
	kept := o.order[:0]
	for _, id := range o.order {
		if _, open := o.groups[id]; open {
			kept = append(kept, id)
		}
	}
	o.order = kept
}
