package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/amaranthfold/amaranthfold/core/claim"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
)

const (
	// claimAppendsPerSecond is how many appends a second all instances together spend on
	// claims.
	claimAppendsPerSecond = 150
	claimTimeout          = 2 * time.Second
	// claimMaxAge is how old a claim may be when its request is sent.
	claimMaxAge             = 10 * time.Second
	claimQueueLen           = 1024
	maxClaimsPerRecord      = 512 // claims of one record
	voidInterval            = 250 * time.Millisecond
	voidTimeout             = 5 * time.Second
	maxPendingCancellations = 4096 // waiting for the log
)

// errClaimUnconfirmed is why a non-repeatable request is refused while the log does not
// answer. The request has not run and will not.
var errClaimUnconfirmed = errors.New("the log did not confirm in time that this is the first such request")

// claimBatcher takes non-repeatable requests in the log, many in one append, and
// gives up those that have not run.
type claimBatcher struct {
	loop  *control.Loop
	wall  func() time.Time
	queue chan *pendingClaim
	voids chan claim.ID
}

type pendingClaim struct {
	claim   claim.Claim
	decided chan claim.Decision
	failed  chan error
}

func newClaimBatcher(loop *control.Loop, wall func() time.Time) *claimBatcher {
	return &claimBatcher{loop: loop, wall: wall, queue: make(chan *pendingClaim, claimQueueLen), voids: make(chan claim.ID, maxPendingCancellations)}
}

// acquire claims a request. After an error the claim is given up: the request must
// not be sent.
func (c *claimBatcher) acquire(ctx context.Context, key claim.Key, digest uint64) (claim.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	p := &pendingClaim{claim: claim.Claim{Key: key, ID: claim.ID(uuid.New()), Digest: digest}, decided: make(chan claim.Decision, 1), failed: make(chan error, 1)}
	select {
	case c.queue <- p:
	case <-ctx.Done():
		return claim.Decision{}, errClaimUnconfirmed
	}
	select {
	case d := <-p.decided:
		return d, nil
	case err := <-p.failed:
		if !errors.Is(err, control.ErrNotAppended) {
			c.cancel(p.claim.ID)
		}
		return claim.Decision{}, errClaimUnconfirmed
	case <-ctx.Done():
		c.cancel(p.claim.ID)
		return claim.Decision{}, errClaimUnconfirmed
	}
}

// cancel frees a claim whose request has not run. A void that is lost leaves
// the claim standing: repeats are then refused as unknown.
func (c *claimBatcher) cancel(id claim.ID) {
	select {
	case c.voids <- id:
	default:
	}
}

// run appends claims until ctx ends, each batch after its share of the budget
// of all instances.
func (c *claimBatcher) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.queue:
			batch := c.collectBatch(first)
			go c.append(ctx, batch)
		}
		if !clock.Sleep(ctx, c.appendInterval()) {
			return nil
		}
	}
}

// appendInterval is the time between two appends of one instance.
func (c *claimBatcher) appendInterval() time.Duration {
	instances := max(len(c.loop.Snapshot().Owners), 1)
	return time.Duration(instances) * time.Second / claimAppendsPerSecond
}

func (c *claimBatcher) collectBatch(first *pendingClaim) []*pendingClaim {
	batch := []*pendingClaim{first}
	for len(batch) < maxClaimsPerRecord {
		select {
		case p := <-c.queue:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

func (c *claimBatcher) append(ctx context.Context, batch []*pendingClaim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	body := record.Claims{UnixMillis: c.wall().UnixMilli()}
	for _, p := range batch {
		body.Claims = append(body.Claims, p.claim)
	}
	res, err := c.loop.Append(ctx, 0, body)
	for i, p := range batch {
		if err != nil {
			p.failed <- err
		} else {
			p.decided <- res.Claims[i]
		}
	}
}

// runCancellations appends voids until ctx ends, and repeats those that the log did not
// confirm.
func (c *claimBatcher) runCancellations(ctx context.Context) error {
	var waiting []claim.ID
	for clock.Sleep(ctx, voidInterval) {
		waiting = c.collectCancellations(waiting)
		if len(waiting) == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, voidTimeout)
		_, err := c.loop.Append(callCtx, 0, record.ClaimsVoid{Claims: waiting})
		cancel()
		if err == nil {
			waiting = nil
		}
	}
	return nil
}

func (c *claimBatcher) collectCancellations(waiting []claim.ID) []claim.ID {
	for len(waiting) < maxPendingCancellations {
		select {
		case id := <-c.voids:
			waiting = append(waiting, id)
		default:
			return waiting
		}
	}
	return waiting
}

// claimHeldError is a claim that another attempt holds.
type claimHeldError struct{ decision claim.Decision }

// Error implements error.
func (e *claimHeldError) Error() string {
	return fmt.Sprintf("the request was claimed before, by %s", e.decision.Holder)
}

// claimFailure types a claim that was not taken, when no answer is known.
func claimFailure(d claim.Decision) *failure {
	if !d.SameContent {
		return refuse(http.StatusUnprocessableEntity, "request_id_reused", "the request id was used for another request")
	}
	return duplicateUnknown()
}
