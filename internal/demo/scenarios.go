package demo

import "context"

// scenario is one part of the demo on one deployment.
type scenario struct {
	name string
	run  func(d *deployment, ctx context.Context) error
}

// scenarios are run in this order on each deployment. The later ones use the state of the
// earlier ones, such as the trainer.
var scenarios = []scenario{
	{"callers", (*deployment).callers},
	{"trainer", (*deployment).trainOneStep},
	{"weights", (*deployment).publishDuringSteps},
	{"stale batch", (*deployment).staleBatch},
	{"owner lost", (*deployment).killTrainerOwner},
	{"withdrawal", (*deployment).withdrawKey},
	{"flood", (*deployment).flood},
	{"wrong keys", (*deployment).wrongKeys},
	{"kept-alive connection", (*deployment).withdrawOnKeptAlive},
	{"lost answer", (*deployment).loseResponses},
	{"repeats", (*deployment).repeats},
	{"refusals", (*deployment).refusals},
	{"drained target", (*deployment).drainedTarget},
	{"instance stopped", (*deployment).instanceStopped},
	{"engine crash", (*deployment).engineCrash},
	{"bills", (*deployment).usageReports},
	{"raced configuration", (*deployment).concurrentConfigChanges},
	{"log outage", (*deployment).logOutage},
	{"paused holder", (*deployment).pauseLeaseHolder},
	{"instances replaced", (*deployment).replaceInstances},
	{"cheap data centre reclaimed", (*deployment).reclaimDataCentre},
	{"order answers lost", (*deployment).orderResponsesLost},
	{"target stopped", (*deployment).targetStopped},
	{"holder killed before its report", (*deployment).usageReporterKilled},
	{"keys hidden", (*deployment).keysHidden},
}
