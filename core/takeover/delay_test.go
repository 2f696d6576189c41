package takeover_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/pace"
	"github.com/amaranthfold/amaranthfold/core/takeover"
)

// slowLog simulates instances that live and share a log, which executes the calls of all of them
// one after the other. The first ones run a job each, the others add a record now and then.
type slowLog struct {
	instances, jobs int
	aware           bool // the instances estimate the delay of the log and wait for their claims
}

// run makes the log 50 times slower for 8 s and returns the claims that it gets until 20 s, and how
// often a job changes its runner.
func (l slowLog) run() (claims, changes int) {
	type entry struct {
		at         time.Duration
		job, claim int // claim: the term; zero: a heartbeat, or nothing if job is negative
	}
	random := rand.New(rand.NewPCG(7, 7))
	queued := make([][]entry, l.instances)
	claimAt := make([][]time.Duration, l.instances)
	for i := range claimAt {
		claimAt[i] = make([]time.Duration, l.jobs)
	}
	var calls []int                        // instances whose call waits in the log, at most one each
	called := make([][]entry, l.instances) // by instance: the records of its call
	seen, term, runner := make([]time.Duration, l.jobs), make([]int, l.jobs), make([]int, l.jobs)
	for j := range runner {
		runner[j] = j
	}
	delay, freeAt := takeover.LogDelay{}, time.Duration(0)
	for now := time.Duration(0); now < 20*time.Second; now += 2 * ms {
		if now%(10*ms) == 0 {
			i := random.IntN(l.instances)
			queued[i] = append(queued[i], entry{at: now, job: -1})
		}
		for j, i := range runner {
			if now%takeover.HeartbeatInterval == 0 {
				queued[i] = append(queued[i], entry{at: now, job: j})
			}
		}
		for i := range l.instances {
			if (now+time.Duration(i%50)*2*ms)%(100*ms) != 0 {
				continue
			}
			estimate := time.Duration(0)
			if l.aware {
				estimate = delay.Estimate(now)
			}
			for j := range l.jobs {
				due, jitter := takeover.Claim(takeover.Runner{Named: true, Confirmed: true, SinceSeen: now - seen[j], LogDelay: estimate})
				pending := l.aware && slices.ContainsFunc(slices.Concat(called[i], queued[i]), func(e entry) bool { return e.claim > 0 })
				switch at := claimAt[i][j]; {
				case !due || runner[j] == i:
					claimAt[i][j] = 0
				case at == 0:
					claimAt[i][j] = now + 1 + time.Duration(random.Int64N(int64(pace.Spread(jitter, l.instances, estimate))))
				case now >= at && !pending:
					claimAt[i][j] = now + 1500*ms
					queued[i] = append(queued[i], entry{now, j, term[j] + 1})
				}
			}
		}
		for i := range queued {
			if len(queued[i]) > 0 && len(called[i]) == 0 {
				calls, called[i], queued[i] = append(calls, i), queued[i], nil
			}
		}
		if len(calls) == 0 || now < freeAt {
			continue
		}
		freeAt = now + 2*ms
		if now > 2*time.Second && now < 10*time.Second {
			freeAt = now + 100*ms
		}
		i := calls[0]
		for _, e := range called[i] {
			delay.Observe(now, string(rune(i)), now-e.at)
			switch {
			case e.claim > 0:
				claims++
				if e.claim == term[e.job]+1 {
					term[e.job], runner[e.job], seen[e.job] = e.claim, i, now
					changes++
				}
			case e.job >= 0 && runner[e.job] == i:
				seen[e.job] = now
			}
		}
		calls, called[i] = calls[1:], nil
	}
	return claims, changes
}

// Guards against instances that claim each other's jobs by the hundred while the log is slow.
func TestLogThatIsSlowForAllBringsNoHerdOfClaims(t *testing.T) {
	for _, instances := range []int{9, 295, 1700} {
		earlierClaims, earlierChanges := slowLog{instances: instances, jobs: 6}.run()
		claims, changes := slowLog{instances: instances, jobs: 6, aware: true}.run()
		t.Logf("%d instances: %d claims, %d changes of a runner; without the delay of the log %d and %d",
			instances, claims, changes, earlierClaims, earlierChanges)
		if claims > 6*8 || changes > 6 {
			t.Errorf("%d instances: %d claims of 6 jobs, %d changes of a runner, all of which live", instances, claims, changes)
		}
	}
}

// Guards against clocks that are wrong, and records that a writer sends after it was cut off.
func TestDelayOfTheLogIsThatOfMostWriters(t *testing.T) {
	var d takeover.LogDelay
	d.Observe(0, "cut off", 8*time.Second)
	d.Observe(0, "clock behind", time.Hour)
	for _, writer := range []string{"a", "b", "c"} {
		d.Observe(time.Second, writer, 20*ms)
	}
	if got := d.Estimate(time.Second); got != 20*ms {
		t.Errorf("estimate %v, most records take 20 ms", got)
	}
	if got := d.Estimate(10 * time.Second); got != 0 {
		t.Errorf("estimate %v from records that are read no more", got)
	}
}
