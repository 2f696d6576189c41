// Package batch accepts jobs, answers requests about them and runs those that the log assigns to
// this instance, their runner: it assigns tasks to engines, keeps and stores their outputs,
// obtains their scores, records their results, and hands jobs over to other instances or claims
// theirs.
package batch

import (
	"context"
	"net/http"

	"github.com/amaranthfold/amaranthfold/internal/forward"
	"github.com/amaranthfold/amaranthfold/internal/node"
)

// Batch accepts jobs and runs those that the log assigns to this instance.
type Batch struct {
	*node.Node
	forwarder    *forward.Forwarder
	runner       *runner
	resultWriter *resultWriter
	scorer       *scorer
	restater     *restater
}

// New returns the batch role of a node. It sends score calls and responses to callers
// through the forwarder.
func New(n *node.Node, f *forward.Forwarder) *Batch {
	b := &Batch{Node: n, forwarder: f}
	b.runner = newRunner(b)
	b.resultWriter = newResultWriter(b)
	b.scorer = newScorer(b)
	b.restater = newRestater(b)
	return b
}

// Loops returns the functions that run, record, score and claim jobs. Each runs until its
// context ends.
func (b *Batch) Loops() []func(context.Context) error {
	return []func(context.Context) error{b.runner.run, b.runner.occupancy.exchange.Run, b.resultWriter.run, b.scorer.run, b.claimOrphans, b.restater.run}
}

// OccupancyHandler serves messages of other runners about the engines that they use.
func (b *Batch) OccupancyHandler() http.Handler { return b.runner.occupancy.exchange.Handler() }

// WaitForHandover waits until this instance runs no job, or ctx ends.
func (b *Batch) WaitForHandover(ctx context.Context) { b.runner.waitForHandover(ctx) }
