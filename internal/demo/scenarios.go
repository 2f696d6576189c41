package demo

import "context"

// scenario is one part of the demo on one site.
type scenario struct {
	name string
	run  func(s *site, ctx context.Context) error
}

// scenarios run in order on each site.
var scenarios = []scenario{
	{"callers", (*site).callers},
	{"trainer", (*site).trainer},
	{"weights", (*site).weights},
	{"stale batch", (*site).staleBatch},
	{"owner lost", (*site).ownerLost},
	{"withdrawal", (*site).withdrawal},
	{"flood", (*site).flood},
	{"wrong keys", (*site).wrongKeys},
	{"kept-alive connection", (*site).keptAlive},
	{"lost answer", (*site).lostAnswer},
	{"repeats", (*site).repeats},
	{"refusals", (*site).refusals},
	{"drained target", (*site).drainedTarget},
	{"instance stopped", (*site).instanceStopped},
	{"engine crash", (*site).engineCrash},
	{"bills", (*site).usageReports},
	{"raced configuration", (*site).racedConfiguration},
	{"log outage", (*site).logOutage},
	{"paused holder", (*site).pausedHolder},
	{"instances replaced", (*site).replaceInstances},
	{"cheap data centre reclaimed", (*site).reclaimDataCentre},
	{"order answers lost", (*site).orderResponsesLost},
	{"target stopped", (*site).targetStopped},
	{"holder killed before its report", (*site).usageReporterKilled},
	{"keys hidden", (*site).keysHidden},
}
