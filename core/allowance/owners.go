package allowance

import (
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/member"
)

const (
	// failureBackoff is how long an instance that did not answer is not asked again.
	failureBackoff = time.Second
	// goneAfter is how long an instance must fail to answer until it counts as gone, and the
	// next one as the owner of its targets.
	goneAfter = 5 * time.Second
	// goneBackoff is failureBackoff for an instance that counts as gone.
	goneBackoff = 5 * time.Second
)

// shares are the shares of a target's rate that its owner and the instance after it grant:
// both may grant at once while the instances disagree about who can be reached.
var shares = []float64{1, 0.15}

// Owner is an instance that grants requests to a target, and the share of the target's rate
// that it may grant.
type Owner struct {
	Instance string
	Share    float64
}

// Owners chooses the instances to ask. It is not safe for concurrent use.
type Owners struct {
	failures map[string]failure // of the instances that did not answer the latest call
}

type failure struct {
	since, askAgainAt time.Duration
}

// NewOwners returns an Owners for which every instance answers.
func NewOwners() *Owners { return &Owners{failures: map[string]failure{}} }

// For returns the instance to ask about the target, out of the known instances. It returns
// false if the first ones in the order of the target have not answered of late.
func (o *Owners) For(now time.Duration, target string, instances []string) (Owner, bool) {
	candidates := instances
	if len(o.failures) > 0 {
		candidates = slices.DeleteFunc(slices.Clone(instances), func(id string) bool { return o.gone(now, id) })
	}
	for _, share := range shares {
		id := member.Owner(target, candidates)
		if id == "" || now >= o.failures[id].askAgainAt {
			return Owner{id, share}, id != ""
		}
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(other string) bool { return other == id })
	}
	return Owner{}, false
}

// gone reports whether an instance counts as gone and is not due to be asked again.
func (o *Owners) gone(now time.Duration, id string) bool {
	f, failing := o.failures[id]
	return failing && now-f.since >= goneAfter && now < f.askAgainAt
}

// Failed records that an instance did not answer.
func (o *Owners) Failed(now time.Duration, instance string) {
	f, failing := o.failures[instance]
	if !failing {
		f.since = now
	}
	f.askAgainAt = now + failureBackoff
	if now-f.since >= goneAfter {
		f.askAgainAt = now + goneBackoff
	}
	o.failures[instance] = f
}

// Answered records that an instance answered. It reports whether it failed before.
func (o *Owners) Answered(instance string) bool {
	_, failing := o.failures[instance]
	delete(o.failures, instance)
	return failing
}
