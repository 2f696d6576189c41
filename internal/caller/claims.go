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
	// claimAppends is how many appends a second all instances together spend on
	// claims.
	claimAppends = 150
	claimTimeout = 2 * time.Second
	// claimValid is how old a claim may be when its request is sent.
	claimValid   = 10 * time.Second
	claimQueue   = 1024
	maxClaims    = 512 // claims of one record
	voidInterval = 250 * time.Millisecond
	voidTimeout  = 5 * time.Second
	maxVoids     = 4096 // waiting for the log
)

// errNoClaim is why a non-repeatable request is refused while the log does not
// answer. The request has not run and will not.
var errNoClaim = errors.New("the log did not confirm in time that this is the first such request")

// claims takes non-repeatable requests in the log, many in one append, and
// gives up those that have not run.
type claims struct {
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

func newClaims(loop *control.Loop, wall func() time.Time) *claims {
	return &claims{loop: loop, wall: wall, queue: make(chan *pendingClaim, claimQueue), voids: make(chan claim.ID, maxVoids)}
}

// take claims a request. After an error the claim is given up: the request must
// not be sent.
func (c *claims) take(ctx context.Context, key claim.Key, digest uint64) (claim.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	p := &pendingClaim{claim: claim.Claim{Key: key, ID: claim.ID(uuid.New()), Digest: digest}, decided: make(chan claim.Decision, 1), failed: make(chan error, 1)}
	select {
	case c.queue <- p:
	case <-ctx.Done():
		return claim.Decision{}, errNoClaim
	}
	select {
	case d := <-p.decided:
		return d, nil
	case err := <-p.failed:
		if !errors.Is(err, control.ErrNotAppended) {
			c.giveUp(p.claim.ID)
		}
		return claim.Decision{}, errNoClaim
	case <-ctx.Done():
		c.giveUp(p.claim.ID)
		return claim.Decision{}, errNoClaim
	}
}

// giveUp frees a claim whose request has not run. A void that is lost leaves
// the claim standing: repeats are then refused as unknown.
func (c *claims) giveUp(id claim.ID) {
	select {
	case c.voids <- id:
	default:
	}
}

// run appends claims until ctx ends, each batch after its share of the budget
// of all instances.
func (c *claims) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.queue:
			batch := c.gather(first)
			go c.append(ctx, batch)
		}
		if !clock.Pause(ctx, c.gap()) {
			return nil
		}
	}
}

// gap is the time between two appends of one instance.
func (c *claims) gap() time.Duration {
	instances := max(len(c.loop.Snapshot().Owners), 1)
	return time.Duration(instances) * time.Second / claimAppends
}

func (c *claims) gather(first *pendingClaim) []*pendingClaim {
	batch := []*pendingClaim{first}
	for len(batch) < maxClaims {
		select {
		case p := <-c.queue:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

func (c *claims) append(ctx context.Context, batch []*pendingClaim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	body := record.Claims{At: c.wall().UnixMilli()}
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

// runVoids appends voids until ctx ends, and repeats those that the log did not
// confirm.
func (c *claims) runVoids(ctx context.Context) error {
	var waiting []claim.ID
	for clock.Pause(ctx, voidInterval) {
		waiting = c.gatherVoids(waiting)
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

func (c *claims) gatherVoids(waiting []claim.ID) []claim.ID {
	for len(waiting) < maxVoids {
		select {
		case id := <-c.voids:
			waiting = append(waiting, id)
		default:
			return waiting
		}
	}
	return waiting
}

// claimError is a claim that another attempt holds.
type claimError struct{ decision claim.Decision }

// Error implements error.
func (e *claimError) Error() string {
	return fmt.Sprintf("the request was claimed before, by %s", e.decision.Holder)
}

// failureOfClaim types a claim that was not taken, when no answer is known.
func failureOfClaim(d claim.Decision) *failure {
	if !d.Same {
		return refuse(http.StatusUnprocessableEntity, "request_id_reused", "the request id was used for another request")
	}
	return repeatUnknown()
}
