package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// KVExportRequest asks an engine to hold the KV cache of a generation for another
// engine. The generation may have been cancelled shortly before.
type KVExportRequest struct {
	Completion string `json:"completion"` // id of its chunks
}

// KVCache names a KV cache at one engine.
type KVCache struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"` // prompt and generated
}

// KVImportRequest asks an engine to fetch a KV cache from another.
type KVImportRequest struct {
	Source string  `json:"source"` // URL of the exporting engine
	Cache  KVCache `json:"cache"`
}

// Export makes the engine at base hold the KV cache of a completion.
func (c *Client) Export(ctx context.Context, base, completion string) (KVCache, error) {
	var cache KVCache
	err := c.post(ctx, base+"/kv/export", KVExportRequest{completion}, &cache)
	return cache, err
}

// Import makes the engine at base fetch a KV cache that the engine at source
// holds, and returns the handle for a Continuation.
func (c *Client) Import(ctx context.Context, base, source string, cache KVCache) (KVCache, error) {
	var imported KVCache
	err := c.post(ctx, base+"/kv/import", KVImportRequest{source, cache}, &imported)
	return imported, err
}

func (c *Client) post(ctx context.Context, url string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("post %s: %w", url, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("post %s: %w", url, err)
	}
	req.Header.Set("Content-Type", "application/json")
	return c.do(req, out)
}
