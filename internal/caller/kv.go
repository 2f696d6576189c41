package caller

import (
	"context"
	"time"

	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

// kvTimeout bounds the export and the import of a moved stream's KV cache.
const kvTimeout = 2 * time.Second

// kvLocation is where a moved stream's KV cache can be had.
type kvLocation struct {
	target route.Target
	cache  engine.KVCache
}

// exportKV asks the engine that a stream leaves for its KV cache, if the stream
// is long enough for an import to save time. Nil: the next engine computes it.
func (s *Server) exportKV(ctx context.Context, job *completion, from *route.Target, h *deliveredStream) *kvLocation {
	least := job.service.KVMinTokens
	if least == 0 || job.promptTokens()+h.tokens < least || h.engineID == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	cache, err := s.Engines.Export(ctx, from.URL, h.engineID)
	if err != nil {
		s.Events.Record("kv export failed", events.F("request", job.id), events.F("target", from.ID), events.F("error", err.Error()))
		return nil
	}
	return &kvLocation{*from, cache}
}

// importKV brings the cache to the target and returns its handle there. Caches
// of other weights are of no use; without a handle the target computes anew.
func (s *Server) importKV(ctx context.Context, job *completion, origin *kvLocation, to *route.Target) string {
	if origin == nil || to.Version == 0 || to.Version != origin.target.Version {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	cache, err := s.Engines.Import(ctx, to.URL, origin.target.URL, origin.cache)
	if err != nil {
		s.Events.Record("kv import failed", events.F("request", job.id), events.F("target", to.ID), events.F("error", err.Error()))
		return ""
	}
	return cache.Handle
}
