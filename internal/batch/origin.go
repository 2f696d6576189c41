package batch

import (
	"strings"

	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/job"
)

// originSeparator stands in no name of a service.
const originSeparator = "\x1f"

// originOf returns what the events of a target are made by, its software version and service, in one
// text: what differs in it does not fit together. It is empty if the version is not known.
func originOf(t directory.Target) string { return originText(t.Service, t.Software) }

func originText(service, software string) string {
	if software == "" || service == "" {
		return software
	}
	return service + originSeparator + software
}

// originOfChunk is originOf for a stored part of an output. One of an earlier build does not state
// its service, which is then the one that the route leads to.
func originOfChunk(c job.Chunk, routed string) string {
	if c.Service == "" {
		return originText(routed, c.Software)
	}
	return originText(c.Service, c.Software)
}

// splitOrigin returns the service and the software version of an origin.
func splitOrigin(origin string) (service, software string) {
	service, software, found := strings.Cut(origin, originSeparator)
	if !found {
		return "", origin
	}
	return service, software
}
