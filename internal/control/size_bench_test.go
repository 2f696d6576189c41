package control

import (
	"crypto/sha256"
	"runtime"
	"strconv"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/route"
)

func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkStateBytes reports the heap that an instance uses for each key and each target
// of a deployment of the size that the service is built for.
func BenchmarkStateBytes(b *testing.B) {
	b.Run("key", func(b *testing.B) {
		const n = 100_000
		for b.Loop() {
			before := liveHeap()
			keys := make(map[string]fold.Key, n)
			for i := range n {
				id := strconv.Itoa(i)
				keys[id] = fold.Key{ID: id, Account: "account-" + strconv.Itoa(i%1000), Digest: sha256.Sum256([]byte(id))}
			}
			index := NewKeyIndex(keys)
			b.ReportMetric((liveHeap()-before)/n, "bytes/key")
			runtime.KeepAlive(keys)
			runtime.KeepAlive(index)
		}
	})
	b.Run("target", func(b *testing.B) {
		const n = 12_000
		for b.Loop() {
			before := liveHeap()
			targets := make([]route.Target, n)
			for i := range targets {
				id := "sorter-models-data-centre-" + strconv.Itoa(i)
				targets[i] = route.Target{
					ID: id, Service: "sorter-models", DataCentre: "data-centre-" + strconv.Itoa(i%27),
					URL: "http://10.0.0." + strconv.Itoa(i), Owner: "entry-" + strconv.Itoa(i%1700), Capacity: 16,
				}
			}
			table := route.NewTable(targets)
			b.ReportMetric((liveHeap()-before)/n, "bytes/target")
			runtime.KeepAlive(table)
			runtime.KeepAlive(targets)
		}
	})
}
