package engine

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	api "github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/standin"
)

// maxGenerations bounds the generations whose KV cache can be exported.
const maxGenerations = 1024

// kvStore holds the KV caches of generations, also of cancelled ones, until
// newer ones displace them, and the imported ones until they are used.
type kvStore struct {
	generations map[string]*sequence // by completion id
	order       []string
	imported    map[string]bool // by handle
	next        int
}

func newKVStore() kvStore {
	return kvStore{generations: map[string]*sequence{}, imported: map[string]bool{}}
}

func (k *kvStore) store(id string, s *sequence) {
	k.generations[id] = s
	if k.order = append(k.order, id); len(k.order) > maxGenerations {
		delete(k.generations, k.order[0])
		k.order = k.order[1:]
	}
}

func (k *kvStore) importCache() string {
	k.next++
	handle := "kv-" + strconv.Itoa(k.next)
	k.imported[handle] = true
	return handle
}

// consume takes an imported cache and reports whether there is one.
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
		http.Error(w, "completion is not known", http.StatusNotFound)
		return
	}
	standin.WriteJSON(w, api.KVCache{Handle: req.Completion, Tokens: tokens})
}

// handleImport takes the time of the transfer. Source and handle are not
// followed: what an import saves is the prefill.
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

// storeKV remembers a generation's KV cache under the completion's id.
func (e *Engine) storeKV(id string, s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv.store(id, s)
}
