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
	// claimAppendsPerSecond is the budget of all instances together for appends of
	// claims, since the platform limits the rate of appends.
	claimAppendsPerSecond = 150
	claimTimeout          = 2 * time.Second
	// claimMaxAge is the maximum age of a claim at which its request may be sent. An
	// older claim may have been evicted from the state, so that another attempt could
	// claim the request as well.
	claimMaxAge             = 10 * time.Second
	claimQueueLen           = 1024
	maxClaimsPerRecord      = 512
	cancelInterval          = 250 * time.Millisecond
	cancelTimeout           = 5 * time.Second
	maxPendingCancellations = 4096 // queued, or not confirmed by the log yet
)

// errClaimUnconfirmed refuses a non-repeatable request whose claim the log did not
// confirm in time. The request has not run and will not.
var errClaimUnconfirmed = errors.New("the log did not confirm in time that this is the first such request")

// claimBatcher claims non-repeatable requests in the log, many in one record, and
// cancels the claims of requests that have not run. It is safe for concurrent use.
type claimBatcher struct {
	loop          *control.Loop
	wall          func() time.Time
	queue         chan *pendingClaim
	cancellations chan claim.ID
}

// pendingClaim is a claim that waits in the queue or for its append. Exactly one value is
// sent, on one of its channels.
type pendingClaim struct {
	claim     claim.Claim
	decision  chan claim.Decision
	appendErr chan error
}

func newClaimBatcher(loop *control.Loop, wall func() time.Time) *claimBatcher {
	return &claimBatcher{loop: loop, wall: wall, queue: make(chan *pendingClaim, claimQueueLen), cancellations: make(chan claim.ID, maxPendingCancellations)}
}

// acquire claims a request in the log and returns the decision. After an error the
// request must not be sent; the claim is cancelled if it may have reached the log.
func (c *claimBatcher) acquire(ctx context.Context, key claim.Key, digest uint64) (claim.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	p := &pendingClaim{claim: claim.Claim{Key: key, ID: claim.ID(uuid.New()), Digest: digest}, decision: make(chan claim.Decision, 1), appendErr: make(chan error, 1)}
	select {
	case c.queue <- p:
	case <-ctx.Done():
		return claim.Decision{}, errClaimUnconfirmed
	}
	select {
	case d := <-p.decision:
		return d, nil
	case err := <-p.appendErr:
		if !errors.Is(err, control.ErrNotAppended) {
			c.cancel(p.claim.ID)
		}
		return claim.Decision{}, errClaimUnconfirmed
	case <-ctx.Done():
		c.cancel(p.claim.ID)
		return claim.Decision{}, errClaimUnconfirmed
	}
}

// cancel queues the cancellation of a claim whose request has not run. If the queue has
// no free slot, the cancellation is dropped and the claim stays in effect: repeats
// then get status 409 with the outcome unknown.
func (c *claimBatcher) cancel(id claim.ID) {
	select {
	case c.cancellations <- id:
	default:
	}
}

// run appends batches of claims until ctx ends, at most one per appendInterval. Appends
// may overlap.
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

// appendInterval returns the interval between two appends of this instance: each
// instance has an equal share of claimAppendsPerSecond.
func (c *claimBatcher) appendInterval() time.Duration {
	instances := max(len(c.loop.Snapshot().Owners), 1)
	return time.Duration(instances) * time.Second / claimAppendsPerSecond
}

// collectBatch returns first and the claims that are queued, up to maxClaimsPerRecord.
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

// append appends a record with the claims of the batch and delivers the decisions.
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
			p.appendErr <- err
		} else {
			p.decision <- res.Claims[i]
		}
	}
}

// runCancellations appends cancellations until ctx ends. Those that the log did not
// confirm are appended again.
func (c *claimBatcher) runCancellations(ctx context.Context) error {
	var pending []claim.ID
	for clock.Sleep(ctx, cancelInterval) {
		pending = c.collectCancellations(pending)
		if len(pending) == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
		_, err := c.loop.Append(callCtx, 0, record.ClaimsVoid{Claims: pending})
		cancel()
		if err == nil {
			pending = nil
		}
	}
	return nil
}

// collectCancellations returns pending with the queued cancellations, up to
// maxPendingCancellations.
func (c *claimBatcher) collectCancellations(pending []claim.ID) []claim.ID {
	for len(pending) < maxPendingCancellations {
		select {
		case id := <-c.cancellations:
			pending = append(pending, id)
		default:
			return pending
		}
	}
	return pending
}

// claimHeldError is returned when another attempt holds the claim of the request.
type claimHeldError struct{ decision claim.Decision }

// Error implements error.
func (e *claimHeldError) Error() string {
	return fmt.Sprintf("the request was claimed before, by %s", e.decision.Holder)
}

// claimFailure returns the failure of a request whose claim was not acquired and to which
// there is no stored response.
func claimFailure(d claim.Decision) *failure {
	if !d.SameContent {
		return refuse(http.StatusUnprocessableEntity, "request_id_reused", "the request id was used for another request")
	}
	return alreadyClaimed()
}
