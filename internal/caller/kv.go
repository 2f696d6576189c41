package caller

import (
	"context"
	"time"

	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

// kvTimeout is the timeout of an export, and of an import, of a moved stream's KV cache.
const kvTimeout = 2 * time.Second

// kvLocation is the exported KV cache of a moved stream with the engine that holds it.
type kvLocation struct {
	target  route.Target
	cache   engine.KVCache
	version int64 // of the weights that made it
}

// exportKV exports the KV cache of a stream from the engine that it moves away from, if
// the stream has reached the service's KVMinTokens, from which an import saves time, and one version of
// the weights has made the cache. It returns nil if the cache is not exported: the next engine then
// computes it again.
func (s *Server) exportKV(ctx context.Context, req *completionRequest, from *route.Target, delivered *deliveredStream) *kvLocation {
	minTokens := req.service.KVMinTokens
	stream, version := delivered.kvOrigin()
	if minTokens == 0 || req.promptTokens()+delivered.tokens < minTokens || stream == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	cache, err := s.Engines.Export(ctx, from.URL, stream)
	if err != nil {
		s.Events.Record("kv export failed", events.F("request", req.id), events.F("target", from.ID), events.F("error", err.Error()))
		return nil
	}
	return &kvLocation{*from, cache, version}
}

// importKV imports the cache at the target and returns its handle. It returns "" if
// there is no cache, if the target has other weights, for which the cache is invalid,
// or if the import fails: the target then computes the cache again.
func (s *Server) importKV(ctx context.Context, req *completionRequest, source *kvLocation, to *route.Target) string {
	if source == nil || to.Version == 0 || to.Version != source.version {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	cache, err := s.Engines.Import(ctx, to.URL, source.target.URL, source.cache)
	if err != nil {
		s.Events.Record("kv import failed", events.F("request", req.id), events.F("target", to.ID), events.F("error", err.Error()))
		return ""
	}
	return cache.Handle
}
