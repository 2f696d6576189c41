package fold_test

import (
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/google/uuid"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

func recordID(n int) record.ID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], uint64(n)+1)
	return id
}

func mustApply(b *testing.B, s *fold.State, id int, supersedes record.Offset, body record.Body) fold.Result {
	data, err := record.EncodeEnvelope(record.Envelope{ID: recordID(id), Author: "a", Applied: s.Applied, Supersedes: supersedes}, body)
	if err != nil {
		b.Fatal(err)
	}
	res, err := s.Apply(s.Applied+1, data)
	if err != nil || res.Verdict != fold.Accepted {
		b.Fatal(res.Verdict, res.Err, err)
	}
	return res
}

// BenchmarkFold applies renewals of a lease, the most frequent kind of record.
func BenchmarkFold(b *testing.B) {
	s := fold.New()
	previous := record.Offset(0)
	for i := range b.N {
		previous = mustApply(b, s, i, previous, record.Lease{Name: "deployment", Holder: "a"}).Offset
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
}

// BenchmarkStateBytes measures the encoded bytes per entry of the state, by kind of
// entry.
func BenchmarkStateBytes(b *testing.B) {
	kinds := map[string]func(s *fold.State, i int){
		"key": func(s *fold.State, i int) {
			id := fmt.Sprintf("%08x", i)
			s.Keys[id] = fold.Key{ID: id, Account: "pull-list-shop", Digest: [32]byte{1}, Granted: 1 << 20}
		},
		"order": func(s *fold.State, i int) {
			id := recordID(i).String()
			s.Orders[id] = fold.Order{Offset: 1 << 20, Fencing: 1 << 19, Intent: record.OrderIntent{
				OrderID: id, Lease: "deployment", DataCentre: "kingston", Service: "sorter-models", Action: record.ActionStart,
			}}
		},
		"lease": func(s *fold.State, i int) {
			name := fmt.Sprint("trainer/", i)
			s.Leases[name] = fold.Lease{Name: name, Holder: "entry-1@1700000000000000000", Term: 1 << 20, LastOffset: 1 << 20, Duration: 6e9}
		},
		"ledger": func(s *fold.State, i int) {
			name := fmt.Sprint("trainer-", i)
			groups := make([]record.BatchGroup, 256) // of 8 samples
			for n := range groups {
				groups[n] = record.BatchGroup{ID: fmt.Sprintf("group-%d", n), Size: 8, Step: 9, Digest: 1 << 60}
			}
			recent := make([]fold.AckedBatch, 32) // as many as the state keeps
			for n := range recent {
				recent[n] = fold.AckedBatch{Number: int64(n), Step: int64(n), Groups: make([]byte, 8*len(groups))}
			}
			s.Deliveries[name] = fold.DeliveryState{Trainer: name, LastOffset: 1 << 20, Number: 40, Groups: groups, Recent: recent}
		},
	}
	for name, add := range kinds {
		b.Run(name, func(b *testing.B) {
			s := fold.New()
			for i := range 100 {
				add(s, i)
			}
			var baseline int
			for range b.N {
				data, err := s.Encode()
				if err != nil {
					b.Fatal(err)
				}
				baseline = len(data)
			}
			for i := range 100 {
				add(s, 100+i)
			}
			data, err := s.Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)-baseline)/100, "bytes/"+name)
		})
	}
}

// BenchmarkCheckpoint measures encoding and restoring a state whose window of record
// ids is full.
func BenchmarkCheckpoint(b *testing.B) {
	s := fold.New()
	previous := record.Offset(0)
	for i := range 1 << 14 {
		previous = mustApply(b, s, i, previous, record.Lease{Name: "deployment", Holder: "a"}).Offset
	}
	b.ResetTimer()
	size := 0
	for range b.N {
		parts, err := s.CheckpointParts()
		if err != nil {
			b.Fatal(err)
		}
		size = 0
		for _, p := range parts {
			size += len(p.Data)
		}
		if _, err := fold.Restore(parts); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes")
}
