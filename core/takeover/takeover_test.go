package takeover_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/takeover"
)

const ms = time.Millisecond

// earlier is the policy before: heartbeats alone.
func earlier(r takeover.Runner) (bool, time.Duration) {
	r.Refused, r.Replaced = false, false
	return takeover.Claim(r)
}

// Replays runners that are killed at any moment between two heartbeats. The other runners exchange
// messages with them every 200 ms or so and get a refused connection; some processes start again
// after a while. The time until a claim is compared with that of heartbeats alone.
func TestKilledRunnersAreReplacedSoon(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	takes := func(policy func(takeover.Runner) (bool, time.Duration), beat, refusedAt, restartAt time.Duration) time.Duration {
		for now := time.Duration(0); ; now += 100 * ms {
			r := takeover.Runner{
				Named: true, Confirmed: true, SinceSeen: now + beat, Replaced: restartAt > 0 && now >= restartAt,
				Refused: refusedAt > 0 && now >= refusedAt, SinceRefused: now - refusedAt,
			}
			if due, jitter := policy(r); due {
				return now + jitter/2
			}
		}
	}
	const kills = 1000
	var before, after time.Duration
	for range kills {
		beat := time.Duration(random.Int64N(int64(takeover.HeartbeatInterval)))
		refusedAt := time.Duration(random.Int64N(int64(250*ms))) + ms
		before += takes(earlier, beat, refusedAt, 0)
		after += takes(takeover.Claim, beat, refusedAt, 0)
	}
	t.Logf("mean time until a claim: %v by heartbeats, %v now", before/kills, after/kills)
	if after > before/3 {
		t.Fatalf("%v until a claim, %v by heartbeats alone", after/kills, before/kills)
	}
	if got := takes(takeover.Claim, 0, 0, 600*ms); got > 800*ms {
		t.Fatalf("%v until a claim of a job whose runner started again after 600 ms", got)
	}
}

// Guards against claims of jobs whose runner lives.
func TestRunnerThatLivesKeepsItsJob(t *testing.T) {
	for name, r := range map[string]takeover.Runner{
		"between heartbeats":             {Named: true, Confirmed: true, SinceSeen: 600 * ms},
		"two heartbeats lost":            {Named: true, Confirmed: true, SinceSeen: 1400 * ms},
		"just named":                     {Named: true, SinceSeen: 300 * ms},
		"refused long ago, sends again":  {Named: true, Confirmed: true, SinceSeen: 100 * ms, Refused: true, SinceRefused: 3 * time.Second},
		"refused, but has enough jobs":   {Named: true, Confirmed: true, SinceSeen: 600 * ms, Refused: true, OwnJobs: 2},
		"negative time since it is seen": {Named: true, Confirmed: true, SinceSeen: -time.Second},
	} {
		if due, _ := takeover.Claim(r); due {
			t.Errorf("%s: the job may be claimed", name)
		}
	}
	if due, jitter := takeover.Claim(takeover.Runner{}); !due || jitter > 100*ms {
		t.Errorf("a job without a runner: due %t, jitter %v", due, jitter)
	}
}
