// Package weights is a stand-in for the platform's weight store. It holds the
// latest version of each model and serves every version up to it as a download of
// a fixed size. All downloads share one rate limit.
package weights

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"golang.org/x/time/rate"

	"github.com/amaranthfold/amaranthfold/internal/platform"
	"github.com/amaranthfold/amaranthfold/internal/standin"
)

// chunkBytes is the size of the parts in which a download is written, and the burst of
// the rate limit.
const chunkBytes = 4 << 10

// Store holds the latest version of each model and the rate limit of all downloads.
type Store struct {
	mu           sync.Mutex
	latest       map[string]int64
	versionBytes int64
	limiter      *rate.Limiter
}

// New returns a store without models. A version has versionBytes bytes, and all
// downloads together run at bytesPerSecond.
func New(versionBytes int64, bytesPerSecond float64) *Store {
	return &Store{latest: map[string]int64{}, versionBytes: versionBytes, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes)}
}

// Publish sets the latest version of a model.
func (s *Store) Publish(model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest[model] = version
}

// Latest returns the latest version of a model, zero if there is none.
func (s *Store) Latest(model string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest[model]
}

// Handler serves the interface of the weight store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}", func(w http.ResponseWriter, r *http.Request) {
		standin.WriteJSON(w, platform.WeightsReply{Latest: s.Latest(r.PathValue("model")), Bytes: s.versionBytes})
	})
	mux.HandleFunc("GET /weights/{model}/{version}", s.download)
	return mux
}

func (s *Store) download(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.PathValue("version"), 10, 64)
	if err != nil || version < 1 || version > s.Latest(r.PathValue("model")) {
		http.Error(w, "version does not exist", http.StatusNotFound)
		return
	}
	buf := make([]byte, chunkBytes)
	for remaining := s.versionBytes; remaining > 0; remaining -= chunkBytes {
		n := int(min(remaining, chunkBytes))
		if err := s.limiter.WaitN(r.Context(), n); err != nil {
			return
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
	}
}

// Fetch downloads a version from the store at base and discards the bytes. The
// engine stand-in uses it to load weights.
func Fetch(client *http.Client, base, model string, version int64) error {
	res, err := client.Get(base + "/weights/" + model + "/" + strconv.FormatInt(version, 10))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return &platform.StatusError{Status: res.StatusCode, Message: "weights " + model}
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err
}
