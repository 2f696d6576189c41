// Package takeover decides when an instance may claim a job of another one, its runner.
//
// Load pattern: instances are killed, alone or many at the same moment, while their jobs' longest
// tasks have just as much time left as they need: each tenth of a second until another instance
// goes on costs groups. A runner that is only slow, frozen or cut off from the log must not lose its
// jobs too early, since what it has not stored is generated again. While the log is slow for all
// instances, every runner is silent, and hundreds of instances that all claim all jobs would add
// thousands of records to the log for one that counts.
//
// The package has no clock and no I/O.
package takeover

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats of a runner.
	HeartbeatInterval = 500 * time.Millisecond
	// silence is the time without a heartbeat after which a job may be claimed: three intervals.
	silence = 3 * HeartbeatInterval
	// heartbeatAppends is the number of appends until a heartbeat is in the log: it may refer to events
	// that are stored first.
	heartbeatAppends = 2
	// confirmTime is how long a new runner may take to confirm that it runs the job: two appends to
	// a slow log.
	confirmTime = 700 * time.Millisecond
	// refusalValidity is how long a refused connection counts. By then the process has started again
	// and announced itself, or the heartbeats are missing.
	refusalValidity = 2 * time.Second
	// maxEarlyJobs bounds the jobs of an instance that claims early: few instances know of a refused
	// connection, after a loss of many perhaps one, and it must not run all jobs.
	maxEarlyJobs = 2
	// claimJitter is the longest random delay of a claim on a small deployment. It keeps the
	// instances from claiming a job all at once.
	claimJitter = 300 * time.Millisecond
	// urgentJitter is that delay where the job may have no runs until it is claimed, and for the few
	// instances that know of a refused connection.
	urgentJitter = 60 * time.Millisecond
)

// Runner is what an instance knows of the runner of a job.
type Runner struct {
	Named     bool          // the job has a runner
	Confirmed bool          // it has appended a record of the job
	SinceSeen time.Duration // since its latest record was read, or the log has been read without a gap
	// Replaced is set if a later process of the same instance has announced itself.
	Replaced bool
	// Unfit is set if it does not keep what the job asks for.
	Unfit bool
	// Refused is set if its listener has refused a connection SinceRefused ago: no process listens
	// there.
	Refused      bool
	SinceRefused time.Duration
	// OwnJobs is the number of open jobs that the instance runs or is about to claim.
	OwnJobs int
	// LogDelay is how long records take into the log. Heartbeats come that much later.
	LogDelay time.Duration
}

// Claim reports whether the job may be claimed, and the longest random delay of the claim.
func Claim(r Runner) (due bool, jitter time.Duration) {
	switch {
	case !r.Named, r.Unfit:
		return true, urgentJitter
	case r.Refused && r.SinceRefused <= refusalValidity && r.OwnJobs < maxEarlyJobs:
		return true, urgentJitter
	case r.Replaced:
		return true, claimJitter
	case r.Confirmed:
		return r.SinceSeen >= silence+heartbeatAppends*r.LogDelay, claimJitter
	default:
		return r.SinceSeen >= confirmTime+r.LogDelay, claimJitter
	}
}
