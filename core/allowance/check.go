package allowance

import (
	"errors"
	"time"
)

// Bounds of a request of another instance. They are far above what an instance asks for.
const (
	maxCount = 1 << 16 // each request takes time to grant
	maxSpan  = time.Hour
)

// ErrInvalid is returned for a request that no instance makes.
var ErrInvalid = errors.New("not a request for an allowance")

// Check returns ErrInvalid if the request has a negative rate or numbers out of all proportion.
func (r Request) Check() error {
	if r.Target == "" || r.Count < 1 || r.Count > maxCount || r.PerSecond < 0 || r.Share < 0 || r.Share > 1 ||
		r.MaxDelay < -maxSpan || r.MaxDelay > maxSpan || r.Burst < 0 || r.Burst > maxSpan {
		return ErrInvalid
	}
	return nil
}
