package engine

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	api "github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/standin"
)

// maxExportableGenerations is the number of latest generations whose KV cache can
// be exported.
const maxExportableGenerations = 1024

// kvStore holds the KV caches of generations, also of cancelled ones, until newer
// ones evict them, and the handles of imported caches until they are used.
type kvStore struct {
	generations    map[string]*sequence // by completion id
	insertionOrder []string             // completion ids, oldest first
	imported       map[string]bool      // by handle
	lastHandle     int
}

func newKVStore() kvStore {
	return kvStore{generations: map[string]*sequence{}, imported: map[string]bool{}}
}

func (k *kvStore) store(id string, s *sequence) {
	k.generations[id] = s
	if k.insertionOrder = append(k.insertionOrder, id); len(k.insertionOrder) > maxExportableGenerations {
		delete(k.generations, k.insertionOrder[0])
		k.insertionOrder = k.insertionOrder[1:]
	}
}

// importCache returns the handle of a new imported cache.
func (k *kvStore) importCache() string {
	k.lastHandle++
	handle := "kv-" + strconv.Itoa(k.lastHandle)
	k.imported[handle] = true
	return handle
}

// consume removes an imported cache and reports whether there was one.
func (k *kvStore) consume(handle string) bool {
	found := k.imported[handle]
	delete(k.imported, handle)
	return found
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var req api.KVExportRequest
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	s := e.kv.generations[req.Completion]
	tokens := 0
	if s != nil {
		tokens = len(strings.Fields(s.prompt)) + s.next
	}
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "completion does not exist", http.StatusNotFound)
		return
	}
	standin.WriteJSON(w, api.KVCache{Handle: req.Completion, Tokens: tokens})
}

// handleImport sleeps for the time that the transfer would take and returns a new
// handle. Nothing is transferred, and source and handle of the request are not
// used: a generation that uses the new handle skips its prefill.
func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var req api.KVImportRequest
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	time.Sleep(time.Duration(req.Cache.Tokens) * e.cfg.TransferPerToken)
	e.mu.Lock()
	handle := e.kv.importCache()
	e.mu.Unlock()
	standin.WriteJSON(w, api.KVCache{Handle: handle, Tokens: req.Cache.Tokens})
}

// storeKV keeps the KV cache of a generation under its completion id.
func (e *Engine) storeKV(id string, s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv.store(id, s)
}
