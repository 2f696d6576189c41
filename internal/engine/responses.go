package engine

import (
	"math"
	"runtime/debug"

	"github.com/amaranthfold/amaranthfold/internal/httpclient"
)

const (
	responsesDivisor = 4         // responses may hold a quarter of the process's memory limit
	defaultResponses = 256 << 20 // bytes, without a memory limit
)

// Responses is the memory that the responses of all targets may hold together in this process: a
// quarter of the limit in GOMEMLIMIT.
var Responses = httpclient.NewBudget(responsesWithin(debug.SetMemoryLimit(-1)))

func responsesWithin(memoryLimit int64) int64 {
	if memoryLimit == math.MaxInt64 {
		return defaultResponses
	}
	return memoryLimit / responsesDivisor
}
