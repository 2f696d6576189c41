package engine

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	api "github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/standin"
)

// maxExportableSequences is the number of latest sequences whose KV cache can be
// exported.
const maxExportableSequences = 1024

// kvStore holds the sequences whose KV caches can be exported, cancelled ones included,
// until newer ones evict them. It holds the handles of imported caches until they are
// used.
type kvStore struct {
	sequences      map[string]*sequence // by completion id
	insertionOrder []string             // completion ids, oldest first
	imported       map[string]bool      // by handle
	lastHandle     int
}

func newKVStore() kvStore {
	return kvStore{sequences: map[string]*sequence{}, imported: map[string]bool{}}
}

func (k *kvStore) store(id string, s *sequence) {
	k.sequences[id] = s
	if k.insertionOrder = append(k.insertionOrder, id); len(k.insertionOrder) > maxExportableSequences {
		delete(k.sequences, k.insertionOrder[0])
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
	s := e.kv.sequences[req.Completion]
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

// handleImport sleeps for the time that the transfer would take and responds with a
// new handle. It transfers nothing and ignores the source and the handle of the
// request. A sequence with the new handle skips its prefill.
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

// storeKV makes the KV cache of a sequence exportable by its completion id.
func (e *Engine) storeKV(id string, s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv.store(id, s)
}
