package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// KVExportRequest requests that an engine keeps the KV cache of a completion for another
// engine. The completion may have been cancelled shortly before.
type KVExportRequest struct {
	Completion string `json:"completion"` // id of its chunks
}

// KVCache identifies a KV cache at one engine.
type KVCache struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"` // prompt and generated tokens
}

// KVImportRequest requests that an engine fetches a KV cache from another engine.
type KVImportRequest struct {
	Source string  `json:"source"` // URL of the exporting engine
	Cache  KVCache `json:"cache"`
}

// Export makes the engine at base keep the KV cache of a completion for Import.
func (c *Client) Export(ctx context.Context, base, completion string) (KVCache, error) {
	var cache KVCache
	err := c.post(ctx, base+"/kv/export", KVExportRequest{completion}, &cache)
	return cache, err
}

// Import makes the engine at base fetch an exported KV cache from the engine at source,
// and returns the cache with its handle for a Continuation.
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
